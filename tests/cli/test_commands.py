"""The commands that start no daemon, and the demo."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from plovertrail.cli import main
from plovertrail.sources.lists import sealed
from tests.config.test_operator import EXAMPLE


def call(*arguments: str) -> Result:
    return CliRunner().invoke(main, list(arguments))


def test_check_sums_up_a_good_file_and_lists_the_problems_of_a_bad_one(tmp_path: Path) -> None:
    good = call("check", str(EXAMPLE))
    assert good.exit_code == 0
    assert "7 routes, 2 pools with 4 servers, 4 classes" in good.output
    path = tmp_path / "bad.toml"
    path.write_text(
        EXAMPLE.read_text().replace('"chapter-buy"', '"chapter-by"').replace('"127.0.0.1:9001"', '"s1"')
    )
    bad = call("check", str(path))
    assert bad.exit_code == 2
    assert "2 problems" in bad.output
    assert 'did you mean "chapter-buy"?' in bad.output
    assert "pools.store.servers[0].address" in bad.output
    assert call("check", str(tmp_path / "none")).exit_code == 2


@pytest.mark.parametrize(
    ("place", "told"), [("no/such/state", "there is no folder"), ("", "is a folder"), ("state", "")]
)
def test_check_refuses_a_state_file_that_can_not_be_written(tmp_path: Path, place: str, told: str) -> None:
    path, state = tmp_path / "site.toml", tmp_path / "disk" / place
    (tmp_path / "disk").mkdir()
    path.write_text(f'[daemon]\nstate_file = "{state}"\n' + EXAMPLE.read_text().replace("[daemon]", "[was]"))
    found = call("check", str(path))
    assert (found.exit_code == 0) == (not told), found.output
    assert told in found.output
    assert not told or "daemon.state_file" in found.output


@pytest.mark.parametrize(
    ("arguments", "told"),
    [
        (
            ("POST", "http://shop.example/buy/7%41?x=1", "-H", "X-Publisher: big-serial"),
            [
                "route     buy",
                "pools     store, then reserve",
                "class     chapter-buy (unsafe), deadline 1200 ms",
                "to server POST /buy/7A?x=1",
                "tenant    big-serial",
                "topup: another path",
                "pages: another method",
            ],
        ),
        (
            ("GET", "/covers/one.png", "-H", "Host: a"),
            [
                "route     covers",
                "to server GET /images/one.png",
                "pages: matches, but another route goes first",
            ],
        ),
        (("GET", "/x", "-H", "Host: a"), ["route     pages", "without x-debug"]),
    ],
)
def test_route_says_which_route_and_why_the_others_lost(arguments: tuple[str, ...], told: list[str]) -> None:
    done = call("route", str(EXAMPLE), *arguments)
    assert done.exit_code == 0
    for words in told:
        assert words in done.output


@pytest.mark.parametrize(
    ("arguments", "told"),
    [
        (("DELETE", "/x"), "answered 405"),
        (("GET", "/buy/..%2fx"), "answered 400: an encoded slash"),
        (("POST", "/x"), "Allow: GET, HEAD, OPTIONS"),
    ],
)
def test_route_exits_with_1_where_no_route_takes_a_request(arguments: tuple[str, ...], told: str) -> None:
    done = call("route", str(EXAMPLE), *arguments)
    assert done.exit_code == 1
    assert told in done.output


def test_route_wants_headers_with_a_name() -> None:
    assert call("route", str(EXAMPLE), "GET", "/", "-H", "nonsense").exit_code == 2


def test_the_demo_serves_and_ends_with_a_summary() -> None:
    done = call("demo", "--seconds", "1")
    assert done.exit_code == 0
    assert "curl -i http://127.0.0.1:" in done.output
    assert "answered 200" in done.output
    assert "s3: " in done.output


def test_check_tells_of_lists_in_files(tmp_path: Path) -> None:
    listed, torn, path = tmp_path / "a.list", tmp_path / "b.list", tmp_path / "site.toml"
    listed.write_bytes(sealed("a.list", b"127.0.0.1:80\n"))
    torn.write_bytes(b"127.0.0.1:80\n")
    path.write_text(EXAMPLE.read_text().replace("attempts = 4", f'servers_from = ["{listed}", "{torn}"]'))
    good = call("check", str(path))
    assert good.exit_code == 0
    assert f"{listed}: 1 servers" in good.output
    assert f"{torn}: no list now: it doesn't end with its checksum" in good.output
