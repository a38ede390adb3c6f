"""The operator's file, `[classes.NAME]`: what may be repeated, and in what time."""

from __future__ import annotations

from typing import Any

from plovertrail.config.schema import ClassTable, OverrideTable
from plovertrail.config.table_reader import TableReader
from plovertrail.config.tables import duration_us, key_path, read_table
from plovertrail.decisions.settings import RequestClass

EFFECTS = {"safe": "idempotent", "keyed": "deduplicated", "unsafe": "at_most_once"}


class ClassReader(TableReader):
    """Reads the classes, and what pools change of them."""

    def classes(self, raw: dict[str, Any]) -> tuple[dict[str, RequestClass], tuple[bytes, ...]]:
        """The classes by name, and the key header of each."""
        found: dict[str, RequestClass] = {}
        keys: list[bytes] = []
        for name, item in raw.items():
            place = key_path("classes", name)
            self.name(name, place)
            table = read_table(ClassTable, item, place, self.problems)
            if table is None:
                # known by name, so that routes that name it are not called wrong as well
                found[name], keys = RequestClass(name, 1, 1), [*keys, b""]
                continue
            aim_us = duration_us(table.aim, f"{place}.aim", self.problems)
            deadline_us = duration_us(table.deadline, f"{place}.deadline", self.problems)
            if aim_us > deadline_us:
                self.wrong(f"{place}.aim", "the aim is longer than the deadline", "write an aim within it")
            memory_us = self._memory_us(table, place)
            key = self.header_name(table.key_header, f"{place}.key_header") if table.key_header else b""
            found[name] = RequestClass(
                name,
                aim_us,
                deadline_us,
                table.worth,
                table.late_worth,
                effect=EFFECTS[table.effect],
                dedup_scope=table.group or "all",
                dedup_window_us=memory_us,
            )
            keys.append(key)
        if not raw:
            self.wrong("classes", "there is no class", "write at least one [classes.NAME]")
        return found, tuple(keys)

    def _memory_us(self, table: ClassTable, place: str) -> int:
        """For how long servers remember a key. What it says of repeats must not contradict its effect."""
        if table.effect == "keyed":
            if table.key_header is None:
                self.wrong(
                    place,
                    "a keyed class with no key header: servers could not tell a repeat",
                    'write key_header = "Idempotency-Key"',
                )
            if table.memory is None:
                self.wrong(
                    place,
                    "a keyed class that doesn't say for how long servers remember a key",
                    'write memory = "8s", or less than they do',
                )
                return 0
            return duration_us(table.memory, f"{place}.memory", self.problems)
        for key in ("key_header", "group", "memory"):
            if getattr(table, key) is not None:
                why = (
                    "an unsafe class is never repeated"
                    if table.effect == "unsafe"
                    else "a safe class may always be repeated"
                )
                self.wrong(
                    f"{place}.{key}",
                    f"{why}, and has no {key}",
                    f'leave {key} out, or write effect = "keyed"',
                )
        return 0

    def overridden(self, kind: RequestClass, changes: OverrideTable, place: str) -> RequestClass:
        """A class with what a pool changes of it."""
        aim_us = kind.latency_objective_us
        if changes.aim is not None:
            aim_us = duration_us(changes.aim, f"{place}.aim", self.problems)
            if aim_us > kind.deadline_us:
                self.wrong(
                    f"{place}.aim", "the aim is longer than the class's deadline", "write an aim within it"
                )
        return RequestClass(
            kind.name,
            aim_us,
            kind.deadline_us,
            kind.priority_weight if changes.worth is None else changes.worth,
            kind.late_weight if changes.late_worth is None else changes.late_worth,
            effect=kind.effect,
            dedup_scope=kind.dedup_scope,
            dedup_window_us=kind.dedup_window_us,
        )
