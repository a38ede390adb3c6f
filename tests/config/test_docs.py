"""The operator's page has every key of the file, and no other."""

from __future__ import annotations

import re
from pathlib import Path

import msgspec
import pytest

from plovertrail.config import schema
from plovertrail.config.hooks import HookTable
from plovertrail.config.limiters import LimiterTable
from plovertrail.config.peers import PeersTable
from plovertrail.decisions.state_inventory import STATE_KINDS

PAGE = (Path(__file__).resolve().parents[2] / "docs" / "operator.md").read_text()
SECTIONS: dict[str, type[msgspec.Struct]] = {
    "[limits]": schema.LimitsTable,
    "[listeners.NAME]": schema.ListenerTable,
    "[classes.NAME]": schema.ClassTable,
    "[pools.NAME]": schema.PoolTable,
    "[[routes]]": schema.RouteTableRow,
    "[hooks.NAME]": HookTable,
    "[daemon]": schema.DaemonTable,
    "[fleet]": schema.FleetTable,
    "[pools.NAME.share]": schema.ShareTable,
}


@pytest.mark.parametrize("name", SECTIONS)
def test_every_key_is_on_the_page_with_its_default(name: str) -> None:
    text = PAGE.split(f"## `{name}`")[1].split("\n## ")[0]
    rows = [line.split("|") for line in text.splitlines() if line.startswith("| `")]
    told = {key.split(".")[0]: row[2] for row in rows for key in re.findall(r"`([a-z_]+)[.`]", row[1])}
    fields = msgspec.structs.fields(SECTIONS[name])
    assert set(told) == {field.encode_name for field in fields}
    for field in fields:
        default = field.default
        if isinstance(default, str) and default:
            assert f'"{default}"' in told[field.encode_name], field.name
        elif isinstance(default, float | int) and not isinstance(default, bool):
            assert re.search(rf"\b{default:g}\b", told[field.encode_name]), field.name


def test_every_limit_of_sockets_is_on_their_page() -> None:
    page = (Path(__file__).resolve().parents[2] / "docs" / "sockets.md").read_text()
    text = page.split("## `[websockets.NAME]`")[1].split("\n## ")[0]
    told = dict(re.findall(r"^\| `([a-z_]+)` \| `?\"?([^`\"|]+?)\"?`? \|", text, re.M))
    fields = {field.name: field.default for field in msgspec.structs.fields(schema.WebSocketTable)}
    assert set(told) == set(fields)
    for name, default in fields.items():
        if not isinstance(default, msgspec.UnsetType) and name != "origins":
            assert told[name] == (default if isinstance(default, str) else f"{default:g}"), name


def test_every_key_of_peers_is_on_its_page() -> None:
    page = (Path(__file__).resolve().parents[2] / "docs" / "peers.md").read_text()
    text = page.split("## `[peers]`")[1].split("\n`scope")[0]
    rows = [line.split("|") for line in text.splitlines() if line.startswith("| `")]
    told = {key: row[2] for row in rows for key in re.findall(r"`([a-z_]+)`", row[1])}
    fields = {field.encode_name: field.default for field in msgspec.structs.fields(PeersTable)}
    assert set(told) == set(fields)
    for name, default in fields.items():
        if isinstance(default, str | float | int) and default != "":
            shown = f'"{default}"' if isinstance(default, str) else f"{default:g}"
            assert shown in told[name], name


def test_every_key_of_fair_is_on_its_page() -> None:
    page = (Path(__file__).resolve().parents[2] / "docs" / "fair.md").read_text()
    text = page.split("## `fair` of")[1].split("\n## ")[0]
    told = dict(re.findall(r"^\| `([a-z_]+)` \| `\"?([^`\"|]+?)\"?` \|", text, re.M))
    for field in msgspec.structs.fields(schema.FairTable):
        assert told.pop(field.name) == str(field.default)
    assert not told


def test_every_key_of_limiters_is_on_the_page_of_shares() -> None:
    page = (Path(__file__).resolve().parents[2] / "docs" / "fair.md").read_text()
    text = page.split("## Limits: `[limiters.NAME]`")[1].split("\n## ")[0]
    told = dict(re.findall(r"^\| `([a-z_]+)` \| `?\"?([^`\"|]+?)\"?`? \|", text, re.M))
    fields = {field.name: field.default for field in msgspec.structs.fields(LimiterTable)}
    assert set(told) == set(fields)
    for name, default in fields.items():
        if isinstance(default, str | int | float):
            assert told[name] == (
                default
                if isinstance(default, str)
                else f"{default:g}"
                if not isinstance(default, bool)
                else str(default).lower()
            ), name


def test_every_guard_is_on_the_page_of_lists() -> None:
    page = (Path(__file__).resolve().parents[2] / "docs" / "lists.md").read_text()
    text = page.split("## Guards")[1].split("\n## ")[0]
    rows = dict(re.findall(r"^\| `([a-z_]+)` \| (\S+) \|", text, re.M))
    assert set(rows) == {field.name for field in msgspec.structs.fields(schema.GuardsTable)}
    assert rows["most_dropped"] == "`0.5`"
    assert rows["judged_from"] == "`4`"
    assert rows["damping"] == "`true`"


def test_the_page_on_outages_has_the_state_as_the_program_tells_it() -> None:
    page = (Path(__file__).resolve().parents[2] / "docs" / "outage.md").read_text()
    rows = [
        tuple(cell.strip() for cell in line.split("|")[1:-1])
        for line in page.split("| state |")[1].splitlines()[2:]
        if line.startswith("|")
    ]
    assert rows == [(kind.name, kind.restored_from, kind.max_age, kind.while_missing) for kind in STATE_KINDS]
    assert len({kind.name for kind in STATE_KINDS}) == len(STATE_KINDS)
