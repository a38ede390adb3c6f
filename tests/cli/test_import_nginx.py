"""`plovertrail import-nginx`: files, reports and exit statuses."""

from __future__ import annotations

from pathlib import Path

from click.testing import CliRunner

from plovertrail.cli import main

GOOD = (
    "http { upstream u { server 127.0.0.1:9; } server { listen 127.0.0.1:8001; "
    "location / { proxy_pass http://u; } } }"
)


def call(*args: str) -> tuple[int, str, str]:
    found = CliRunner().invoke(main, ["import-nginx", *args])
    return found.exit_code, found.stdout, found.stderr


def test_a_file_and_a_report_are_written_and_the_file_passes_check(tmp_path: Path) -> None:
    conf, out, report = tmp_path / "nginx.conf", tmp_path / "site.toml", tmp_path / "report.txt"
    conf.write_text(GOOD)
    assert call(str(conf), "-o", str(out), "--report", str(report)) == (0, "", "")
    assert CliRunner().invoke(main, ["check", str(out)]).exit_code == 0
    assert "7 directives" in report.read_text()
    assert "nginx.conf:1: location /: mapped" in report.read_text()
    assert "# nginx.conf:1: proxy_pass http://u" in out.read_text()


def test_without_paths_both_go_to_the_terminal(tmp_path: Path) -> None:
    conf = tmp_path / "nginx.conf"
    conf.write_text(GOOD)
    status, out, told = call(str(conf))
    assert status == 0
    assert "[pools.u]" in out
    assert told.startswith("# 7 directives")


def test_strict_writes_nothing_where_something_is_not_mapped(tmp_path: Path) -> None:
    conf, out = tmp_path / "nginx.conf", tmp_path / "site.toml"
    conf.write_text(GOOD.replace("location /", "frobnicate; location /"))
    status, _, told = call(str(conf), "-o", str(out), "--strict")
    assert status == 1
    assert not out.exists()
    assert "directives are not mapped" in told
    conf.write_text(GOOD)
    assert call(str(conf), "-o", str(out), "--strict")[0] == 0
    assert out.exists()


def test_a_file_that_can_t_be_read_is_told(tmp_path: Path) -> None:
    conf = tmp_path / "nginx.conf"
    status, _, told = call(str(conf))
    assert status == 2
    assert "nginx.conf" in told
    conf.write_text("http {")
    status, out, told = call(str(conf))
    assert status == 2
    assert not out
    assert "unexpected end of file" in told
