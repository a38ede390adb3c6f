"""The sidecar's configuration file: which files are rejected, at the start and on SIGHUP."""

from __future__ import annotations

import asyncio
import copy
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from plovertrail.__main__ import follow_configuration
from plovertrail.config.platform import Config, ConfigurationError, load
from plovertrail.problem_log import ProblemLog
from tests.daemons import run
from tests.net import SETTINGS, configuration, until

NEW_DISCOVERY = "127.0.0.1:8501"
KEYED = {
    "name": "mark",
    "aim": 400000,
    "deadline": 1200000,
    "effect": "deduplicated",
    "group": "cell",
    "memory-span": 8000000,
    "late-worth": 0.3,
    "stream": False,
    "worth": 10.0,
}
UNSAFE = KEYED | {"name": "pay", "effect": "at_most_once", "group": "all"}


def whole_file(folder: Path) -> dict[str, Any]:
    """The content of a file with the keys that have defaults, and some that the program does not read."""
    document: dict[str, Any] = json.loads(configuration(folder).read_text())
    settings = copy.deepcopy(SETTINGS)
    settings["bounds"] |= {"max-retry-after": 2000000, "cpu-us-per-request": 0.0}
    settings["invariants"] |= {"drain-grace": 2000000}
    settings |= {
        "fees": {"cross-zone": 0.02},
        "over-share-worth": 0.1,
        "value-by": "request",
        "family": "mesh",
    }
    settings["request-classes"] = [UNSAFE | {"aim-stretch": 0.5}, KEYED]
    settings["accounts"] = [{"name": "t", "allowance-per-s": 100.0, "share": 0.5}]
    settings["self-index"] = 1
    document["settings"] = settings
    document["peers"] = ["127.0.0.1:7946"]
    return document


class RecordedAddresses:
    """Stands for Discovery: records the addresses that it is told to follow."""

    def __init__(self) -> None:
        self.addresses: list[tuple[str, int]] = []

    def change_address(self, address: tuple[str, int]) -> None:
        self.addresses.append(address)


def after_reloads(folder: Path, *contents: str) -> tuple[list[str], ProblemLog]:
    """Follow the configuration through files that replace a whole one; the addresses that were applied."""
    path = folder / "config.json"
    path.write_text(json.dumps(whole_file(folder)))
    current: Config = load(str(path))
    discovery, problems = RecordedAddresses(), ProblemLog()

    async def test() -> None:
        reload = asyncio.Event()
        task = asyncio.create_task(
            follow_configuration(current, reload, discovery, problems)  # type: ignore[arg-type]
        )
        for count, content in enumerate(contents, 1):
            path.write_text(content)
            reload.set()
            await until(lambda seen=count: task.done() or sum(problems.counts.values()) == seen)  # type: ignore[misc]
        assert not task.done()
        task.cancel()

    run(test)
    return [f"{host}:{port}" for host, port in discovery.addresses], problems


def changed(folder: Path, change: Callable[[dict[str, Any]], object]) -> str:
    """A whole file with another address of discovery, and a change."""
    document = whole_file(folder) | {"discovery": NEW_DISCOVERY}
    change(document)
    return json.dumps(document)


def first_class(document: dict[str, Any]) -> dict[str, Any]:
    found: dict[str, Any] = document["settings"]["request-classes"][0]
    return found


MALFORMED: dict[str, Callable[[dict[str, Any]], object]] = {
    "discovery is null": lambda it: it.update(discovery=None),
    "listen is null": lambda it: it.update(listen=None),
    "discovery is a list": lambda it: it.update(discovery=[]),
    "no such port": lambda it: it.update(discovery="127.0.0.1:70000"),
    "an infinite time": lambda it: it["settings"]["bounds"].update({"conn-idle": 1e999}),
    "a null class": lambda it: it["settings"].update({"request-classes": [None]}),
    "no class": lambda it: it["settings"].update({"request-classes": []}),
    "a deadline of 0": lambda it: first_class(it).update(deadline=0),
    "a negative deadline": lambda it: first_class(it).update(deadline=-1),
    "a deadline that is no number": lambda it: first_class(it).update(deadline="soon"),
    "a null deadline": lambda it: first_class(it).update(deadline=None),
    "no attempts": lambda it: it["settings"]["bounds"].update({"most-tries": 0}),
    "attempts that are no number": lambda it: it["settings"]["bounds"].update({"most-tries": True}),
}


# Guards against a malformed file that ends the task which reads them, so that none is read again.
@pytest.mark.parametrize("name", MALFORMED)
def test_a_malformed_file_is_rejected_and_the_next_one_applied(tmp_path: Path, name: str) -> None:
    good = changed(tmp_path, lambda _it: None)
    addresses, problems = after_reloads(tmp_path, changed(tmp_path, MALFORMED[name]), good)
    assert addresses == [NEW_DISCOVERY]
    assert problems.counts == {"configurations_rejected": 1, "configurations_applied": 1}


@pytest.mark.parametrize("content", ["", "{", "[]", "null", "[" * 100_000, "\ufeff{}", "1e999"])
def test_a_file_that_is_no_object_is_rejected_and_the_next_one_applied(tmp_path: Path, content: str) -> None:
    addresses, _problems = after_reloads(tmp_path, content, changed(tmp_path, lambda _it: None))
    assert addresses == [NEW_DISCOVERY]


def test_a_missing_file_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(ConfigurationError, match="FileNotFoundError"):
        load(str(tmp_path / "none.json"))
