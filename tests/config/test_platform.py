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
    settings["request-classes"] = [UNSAFE | {"aim-stretch": 0.5}, dict(KEYED)]
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
    "a port that nobody listens on": lambda it: it.update(discovery="127.0.0.1:0"),
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


def key_paths(value: object, path: tuple[str | int, ...] = ()) -> list[tuple[str | int, ...]]:
    """The paths of all keys of a file, in the objects of lists too."""
    if isinstance(value, dict):
        children = [(path + (key,), child) for key, child in value.items()]
        return [at for at, child in children for at in (at, *key_paths(child, at))]
    if isinstance(value, list):
        return [at for index, child in enumerate(value) for at in key_paths(child, (*path, index))]
    return []


def without(document: Any, path: tuple[str | int, ...]) -> dict[str, Any]:
    """A file without one key."""
    *parents, key = path
    parent = document
    for step in parents:
        parent = parent[step]
    del parent[key]
    found: dict[str, Any] = document
    return found


def is_optional(path: tuple[str | int, ...]) -> bool:
    """Whether a complete file may lack a key."""
    return bool({"known", "aim-stretch"} & set(path))


# Guards against a sidecar that follows the discovery of a file that was cut off, and hears of no drain.
def test_a_file_that_lacks_any_key_of_the_one_in_force_is_rejected_whole(tmp_path: Path) -> None:
    required = [path for path in key_paths(whole_file(tmp_path)) if not is_optional(path)]
    contents = [changed(tmp_path, lambda it, path=path: without(it, path)) for path in required]  # type: ignore[misc]
    nulls = [json.dumps(json.loads(content) | {"settings": None}) for content in contents[:1]]
    addresses, problems = after_reloads(tmp_path, *contents, *nulls)
    assert addresses == []
    assert problems.counts == {"configurations_rejected": len(required) + 1}
    assert len(required) > 50


@pytest.mark.parametrize("value", [{}, [], [{}], {"figure": 1}, "8000000", False])
def test_a_value_of_another_kind_is_rejected_like_a_missing_one(tmp_path: Path, value: object) -> None:
    def changed_span(document: dict[str, Any]) -> None:
        first_class(document).update({"memory-span": value})

    assert after_reloads(tmp_path, changed(tmp_path, changed_span))[0] == []
    no_list = changed(tmp_path, lambda it: it["settings"].update(accounts="none"))
    no_text = changed(tmp_path, lambda it: it.update(peers=["127.0.0.1:7946", value]))
    assert after_reloads(tmp_path, no_list)[0] == []
    assert after_reloads(tmp_path, no_text)[0] == ([NEW_DISCOVERY] if isinstance(value, str) else [])


def new_class(document: dict[str, Any]) -> None:
    document["settings"]["request-classes"].append(UNSAFE | {"name": "refund"})


COMPLETE: dict[str, Callable[[dict[str, Any]], object]] = {
    "the same": lambda _it: None,
    "no known list": lambda it: it.pop("known"),
    "no key that may be absent": lambda it: first_class(it).pop("aim-stretch"),
    "a new class": new_class,
    "a class less": lambda it: it["settings"]["request-classes"].pop(),
    "no tenants": lambda it: it["settings"].update(accounts=[]),
    "no peers": lambda it: it.update(peers=[]),
    "new keys": lambda it: it["settings"].update({"new": {"figure": 1}}),
    "another figure": lambda it: first_class(it).update({"memory-span": 5e6}),
    "an empty text": lambda it: it.update(name=""),
    "fewer attempts": lambda it: it["settings"]["bounds"].update({"most-tries": 1}),
    "a stricter effect": lambda it: it["settings"]["request-classes"][1].update(effect="at_most_once"),
}


@pytest.mark.parametrize("name", COMPLETE)
def test_a_complete_file_is_applied(tmp_path: Path, name: str) -> None:
    addresses, _problems = after_reloads(tmp_path, changed(tmp_path, COMPLETE[name]))
    assert addresses == [NEW_DISCOVERY]


def test_what_a_file_lacks_is_compared_with_the_last_one_that_was_applied(tmp_path: Path) -> None:
    more = changed(tmp_path, lambda it: it["settings"].update({"new": {"figure": 1}}))
    less = changed(tmp_path, lambda it: it.update(discovery="127.0.0.1:8502"))
    addresses, problems = after_reloads(tmp_path, more, less, more)
    assert addresses == [NEW_DISCOVERY, NEW_DISCOVERY]
    assert problems.counts["configurations_rejected"] == 1


# Guards against keyed requests that are repeated outside their group, as a default stood in for it.
@pytest.mark.parametrize("key", ["group", "memory-span"])
def test_a_keyed_class_without_the_limits_of_its_repeats_is_rejected_at_the_start(
    tmp_path: Path, key: str
) -> None:
    path = tmp_path / "config.json"
    path.write_text(changed(tmp_path, lambda it: it["settings"]["request-classes"][1].pop(key)))
    with pytest.raises(ConfigurationError, match=key):
        load(str(path))
    path.write_text(changed(tmp_path, lambda it: first_class(it).pop(key)))  # unsafe: never repeated
    assert load(str(path)).settings.classes[0].effect == "at_most_once"
