"""The commands for those who write hooks, and the worked examples in both languages."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from plovertrail.cli import main
from tests.config.test_operator import GOOD
from tests.hooks import wat

EXAMPLES = Path(__file__).resolve().parents[2] / "examples" / "hooks"
PROMO = ["promo_block.wat", "assemblyscript/promo_block.wasm"]
SERIAL = ["serial_tag.wat", "assemblyscript/serial_tag.wasm"]


def hook(*arguments: str) -> Result:
    return CliRunner().invoke(main, ["hook", *arguments])


def verdict(result: Result) -> object:
    assert result.exit_code == 0, result.output
    first, last = result.output.splitlines()
    assert last.startswith("fuel ")
    return json.loads(first)


@pytest.mark.parametrize("name", PROMO)
@pytest.mark.parametrize(
    ("header", "blocked"),
    [
        ("X-Promo-Code: KOMIKS50", True),
        ("x-promo-code: BAYANI", True),
        ("X-Promo-Code: KOMIKS", False),
        ("X-Promo-Code: KOMIKS500", False),
        ("X-Promo-Code: KOMIKS50,BAYANI", False),
        ("X-Promo-Code:", False),
        ("X-Other: KOMIKS50", False),
    ],
)
def test_the_promo_example_blocks_the_listed_codes_only(name: str, header: str, blocked: bool) -> None:
    config = ("--config", "codes=KOMIKS50,BAYANI", "--counter", "blocked")
    told = verdict(hook("run", str(EXAMPLES / name), *config, "-H", header))
    refusal = {"refuse": 403, "body": "this promo code is over", "counts": {"blocked": 1}}
    assert told == (refusal if blocked else {})


@pytest.mark.parametrize("name", SERIAL)
@pytest.mark.parametrize(
    ("path", "tag"),
    [
        ("/serials/kidlat/7", "kidlat"),
        ("/serials/a", "a"),
        ("/serials/", ""),
        ("/serial/kidlat", ""),
        ("/", ""),
        ("/x/serials/kidlat", ""),
        ("/serials//x", ""),
    ],
)
def test_the_serial_example_tags_by_the_path(name: str, path: str, tag: str, tmp_path: Path) -> None:
    request = tmp_path / "request.json"
    request.write_text(json.dumps({"path": path}))
    told = verdict(hook("run", str(EXAMPLES / name), "--counter", "tagged", "--request", str(request)))
    assert told == ({"set_headers": [["X-Serial", tag]], "counts": {"tagged": 1}} if tag else {})


@pytest.mark.parametrize("name", PROMO + SERIAL)
def test_the_examples_pass_the_daemons_own_check(name: str) -> None:
    counters = ("--counter", "blocked", "--counter", "tagged")
    result = hook("check", str(EXAMPLES / name), "--config", "codes=A", *counters)
    assert result.exit_code == 0
    assert "good: on_request; sha256 " in result.output


def test_a_new_hook_is_built_checked_and_run(tmp_path: Path) -> None:
    assert hook("new", str(tmp_path / "mine")).exit_code == 0
    source = tmp_path / "mine" / "hook.wat"
    assert hook("new", str(tmp_path / "mine")).exit_code == 2  # nothing is overwritten
    assert hook("build", str(source)).exit_code == 0
    assert hook("check", str(source.with_suffix(".wasm"))).exit_code == 0
    assert verdict(hook("run", str(source))) == {"set_headers": [["X-Example", "hello"]]}


def test_a_new_hook_in_assemblyscript_has_all_that_its_build_needs(tmp_path: Path) -> None:
    result = hook("new", str(tmp_path), "--language", "assemblyscript")
    assert result.exit_code == 0
    assert "npm run build" in result.output
    assert {path.name for path in tmp_path.iterdir()} == {"hook.ts", "plovertrail.ts", "package.json"}


def test_faults_and_files_that_are_no_hooks_are_told(tmp_path: Path) -> None:
    loop = tmp_path / "loop.wasm"
    loop.write_bytes(wat.module(on_request=wat.LOOP))
    result = hook("run", str(loop))
    assert result.exit_code == 1
    assert "used up its fuel" in result.output
    result = hook("check", str(loop))
    assert result.exit_code == 1
    assert "tried out, on_request" in result.output
    (tmp_path / "bad.wat").write_text("(module")
    for name, command in (("bad.wat", "check"), ("missing.wasm", "run"), ("bad.wat", "build")):
        assert hook(command, str(tmp_path / name)).exit_code == 2
    assert hook("run", str(loop), "--phase", "on_end").exit_code == 2
    assert hook("run", str(loop), "-H", "no header").exit_code == 2
    assert hook("run", str(loop), "--config", "x").exit_code == 2
    assert hook("check", str(loop), "--memory", "1").exit_code == 2
    (tmp_path / "request.json").write_text('{"verb": "GET"}')
    result = hook("run", str(loop), "--request", str(tmp_path / "request.json"))
    assert result.exit_code == 2
    assert "verb" in result.output


@pytest.mark.parametrize("phase", ["on_request", "on_answer", "on_end"])
def test_every_phase_can_be_run(phase: str, tmp_path: Path) -> None:
    path = tmp_path / "all.wasm"
    path.write_bytes(wat.module(on_request=wat.ALLOW, on_answer=wat.ALLOW, on_end=wat.ALLOW))
    assert verdict(hook("run", str(path), "--phase", phase)) == {}


def test_check_and_route_tell_of_a_files_hooks(tmp_path: Path) -> None:
    good = tmp_path / "good.wasm"
    good.write_bytes(wat.module(on_request=wat.ALLOW))
    path = tmp_path / "site.toml"
    hooks = f'[hooks.mine]\nfile = "{good}"\n'
    path.write_text(hooks + GOOD.replace('name = "rest"', 'name = "rest"\nhooks = ["mine"]'))
    result = CliRunner().invoke(main, ["check", str(path)])
    assert result.exit_code == 0
    assert "hooks.mine: on_request; sha256 " in result.output
    result = CliRunner().invoke(main, ["route", str(path), "GET", "/x"])
    assert "hooks     mine (without one it fails; not asked here)" in result.output
    good.write_bytes(b"noise")
    result = CliRunner().invoke(main, ["check", str(path)])
    assert result.exit_code == 2
    assert "hooks.mine.file" in result.output
