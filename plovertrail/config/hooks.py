"""The operator's file, `[hooks.NAME]`: modules and their bounds. Nothing is compiled here."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated

import msgspec

from plovertrail.config.problems import Problem
from plovertrail.config.tables import key_path, read_table, size_bytes

MOST_HOOKS = 32
MOST_A_ROUTE = 8
MOST_CONFIG_BYTES = 4 << 10
MOST_COUNTERS = 32
WORD = re.compile(r"[A-Za-z0-9_.-]{1,64}")


class HookTable(msgspec.Struct, kw_only=True):
    """A table [hooks.NAME] as the operator writes it."""

    file: str
    fuel: Annotated[int, msgspec.Meta(ge=1_000, le=50_000_000)] = 500_000
    memory: str = "1MiB"
    reuse: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 1000
    body: str = "0B"
    config: dict[str, str] = {}
    counters: list[str] = []


@dataclass(frozen=True, slots=True)
class HookSetup:
    """One hook, as the file has it."""

    name: str
    path: str
    fuel: int  # of one call
    memory: int  # bytes that an instance may have
    reuse: int  # calls that one instance serves, unless it faults
    body: int  # bytes of a request's body that it is told; 0 = none
    config: tuple[tuple[str, str], ...]
    counters: tuple[str, ...]


def read_hook(name: str, raw: object, problems: list[Problem]) -> HookSetup | None:
    """One table; None, and problems, if it can't be used."""
    place = key_path("hooks", name)
    known = len(problems)
    table = read_table(HookTable, raw, place, problems)
    if table is None:
        return None
    if not WORD.fullmatch(name):
        problems.append(Problem(place, f"{name!r} is no name", "write letters, digits, _ . or -, 64 at most"))
    if not table.file:
        problems.append(
            Problem(f"{place}.file", "empty", 'write the path of a module, as "hooks/promo.wasm"')
        )
    memory = size_bytes(table.memory, f"{place}.memory", problems, 64 << 10, 64 << 20)
    body = size_bytes(table.body, f"{place}.body", problems, 0, 256 << 10)
    for key in table.config:
        if not WORD.fullmatch(key):
            problems.append(
                Problem(
                    key_path(f"{place}.config", key),
                    f"{key!r} is no key",
                    "write letters, digits, _ . or -, 64 at most",
                )
            )
    if sum(len(key) + len(value.encode()) for key, value in table.config.items()) > MOST_CONFIG_BYTES:
        problems.append(
            Problem(
                f"{place}.config",
                f"more than {MOST_CONFIG_BYTES} bytes",
                "keep long lists in the module itself",
            )
        )
    for number, counter in enumerate(table.counters):
        if not WORD.fullmatch(counter) or counter in table.counters[:number]:
            problems.append(
                Problem(
                    f"{place}.counters[{number}]",
                    f"{counter!r} is no name, or there twice",
                    "write letters, digits, _ . or -, 64 at most, each name once",
                )
            )
    if len(table.counters) > MOST_COUNTERS:
        problems.append(Problem(f"{place}.counters", f"more than {MOST_COUNTERS}", "keep the main ones"))
    if len(problems) > known:
        return None
    return HookSetup(
        name,
        table.file,
        table.fuel,
        memory,
        table.reuse,
        body,
        tuple(table.config.items()),
        tuple(table.counters),
    )


def read_hooks(raw: Mapping[str, object], problems: list[Problem]) -> dict[str, HookSetup]:
    """All hooks of a file."""
    if len(raw) > MOST_HOOKS:
        problems.append(Problem("hooks", f"{len(raw)} hooks; at most {MOST_HOOKS} are taken", "remove some"))
    return {name: hook for name, item in raw.items() if (hook := read_hook(name, item, problems)) is not None}
