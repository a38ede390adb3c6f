"""Blocks within blocks, and which level's directives hold in one."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field

from plovertrail.nginx.directives import GUARDS, guards
from plovertrail.nginx.tree import Directive
from plovertrail.nginx.variables import UnmappableError

TIME = re.compile(r"(\d+)(ms|s|m|h|d|w|M|y)?")
UNITS_MS = {
    "ms": 1,
    "s": 1000,
    "": 1000,
    "m": 60_000,
    "h": 3_600_000,
    "d": 86_400_000,
    "w": 604_800_000,
    "M": 2_592_000_000,
    "y": 31_536_000_000,
}
SIZE = re.compile(r"(\d+)([kKmMgG]?)")
UNITS_BYTES = {"": 1, "k": 1 << 10, "m": 1 << 20, "g": 1 << 30}


@dataclass(slots=True)
class Scope:
    """One block with those around it; main, http, server, location."""

    directives: list[Directive]
    outer: Scope | None = None
    location: bool = False
    by_name: dict[str, list[Directive]] = field(default_factory=dict)
    looked: bool = False  # for what guards this level
    found: Directive | None = None

    def __post_init__(self) -> None:
        for directive in self.directives:
            self.by_name.setdefault(directive.name, []).append(directive)

    def own(self, name: str) -> list[Directive]:
        """The directives of this name at this level, in their order."""
        return self.by_name.get(name, [])

    def nearest(self, name: str) -> list[Directive]:
        """Those of the closest level that has any: nginx inherits all or nothing."""
        scope: Scope | None = self
        while scope is not None:
            if name in scope.by_name:
                return scope.by_name[name]
            scope = scope.outer
        return []

    def constants(self) -> dict[str, str]:
        """The variables that `set` gives one value here, with no other variable in it: of this level and of
        the server; what a location around this one sets isn't run for it."""
        found: dict[str, list[str]] = {}
        for scope in self.levels():
            if scope is self or not scope.location:
                for directive in scope.own("set"):
                    if len(directive.args) == 2:
                        found.setdefault(directive.args[0].removeprefix("$"), []).append(directive.args[1])
        once = {name: values[0] for name, values in found.items() if len(values) == 1}
        return {name: value for name, value in once.items() if "$" not in value}

    def one(self, name: str) -> Directive | None:
        """The directive of this name that holds here; the last one if there are several."""
        found = self.nearest(name)
        return found[-1] if found else None

    def levels(self) -> Iterator[Scope]:
        """This level and those around it, the innermost first."""
        scope: Scope | None = self
        while scope is not None:
            yield scope
            scope = scope.outer

    def guard(self) -> Directive | None:
        """What shuts a location here, as it isn't carried over; the closest one. Hazard: opened without its
        guard, a location would let in whom nginx keeps out."""
        return next((found for scope in self.levels() if (found := scope.own_guard()) is not None), None)

    def own_guard(self) -> Directive | None:
        """The first one of this level, looked for once."""
        if not self.looked:
            self.looked = True
            self.found = next(
                (
                    directive
                    for directive in self.directives
                    if directive.wrong
                    or guards(directive.name, directive.args)
                    or any("\ufffd" in text for text in (directive.name, *directive.args))
                ),
                None,
            )
        return self.found


def guard_note(directive: Directive) -> str:
    """Why a location under a guard is shut."""
    if directive.name in GUARDS:
        return "not carried over, and it decides who may pass or what is told: 501 for what stands under it"
    return "the importer doesn't know it, so it may guard what stands under it: that is answered 501"


def time_ms(text: str) -> int:
    """Milliseconds of nginx's times, as 1m30s; raises UnmappableError."""
    total, at = 0, 0
    for found in TIME.finditer(text):
        if found.start() != at:
            break
        total, at = total + int(found[1]) * UNITS_MS[found[2] or ""], found.end()
    if not text or at != len(text):
        raise UnmappableError(f"{text!r} is no time")
    return total


def size_bytes(text: str) -> int:
    """Bytes of nginx's sizes, as 10m; raises UnmappableError."""
    found = SIZE.fullmatch(text)
    if found is None:
        raise UnmappableError(f"{text!r} is no size")
    return int(found[1]) * UNITS_BYTES[found[2].lower()]


def time_text(ms: int) -> str:
    """As an operator's file has it, a day at most."""
    return f"{min(max(ms, 1), 86_400_000)}ms"
