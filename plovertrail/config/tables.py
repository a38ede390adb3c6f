"""Reads one table of a TOML file into a typed value, with every problem in it and not just the first."""

from __future__ import annotations

import functools
import re
from collections.abc import Mapping
from typing import Any, TypeVar

import msgspec

from plovertrail.config.problems import Problem, did_you_mean

T = TypeVar("T", bound=msgspec.Struct)

DURATION = re.compile(r"(\d+(?:\.\d+)?)\s*(us|ms|s|m|h)")
UNITS_US = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}
SIZE = re.compile(r"(\d+)\s*(B|KiB|MiB|GiB)")
UNITS_BYTES = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}


def key_path(place: str, key: str) -> str:
    """The path of a key in a table; keys that are not plain words are quoted, as in TOML."""
    word = key if re.fullmatch(r"[A-Za-z0-9_-]+", key) else f'"{key}"'
    return f"{place}.{word}" if place else word


def read_table(kind: type[T], raw: object, place: str, problems: list[Problem]) -> T | None:
    """The value of a table; None, and problems, if it has none."""
    if not isinstance(raw, Mapping):
        problems.append(Problem(place, f"expected a table, got {_shown(raw)}"))
        return None
    fields = _fields(kind)
    known = len(problems)
    values: dict[str, Any] = {}
    for key, item in raw.items():
        if key not in fields:
            problems.append(Problem(key_path(place, key), "unknown key", did_you_mean(key, fields)))
            continue
        try:
            values[fields[key].name] = msgspec.convert(item, fields[key].type)
        except msgspec.ValidationError as error:
            text = str(error)[:1].lower() + str(error)[1:]
            problems.append(Problem(key_path(place, key), f"{text}, got {_shown(item)}"))
    for key, field in fields.items():
        if field.required and key not in raw:
            problems.append(Problem(place, f"the key {key} is missing", f"write {key} = ..."))
    return kind(**values) if len(problems) == known else None


@functools.cache
def _fields(kind: type[msgspec.Struct]) -> dict[str, msgspec.structs.FieldInfo]:
    """The keys of a table. Hazard: msgspec evaluates all annotations anew each time, a millisecond a row."""
    return {field.encode_name: field for field in msgspec.structs.fields(kind)}


def _shown(item: object) -> str:
    text = repr(item)
    return text if len(text) <= 60 else text[:57] + "..."


def duration_us(text: str, place: str, problems: list[Problem], least_us: int = 1) -> int:
    """Microseconds of a time such as "400ms"."""
    found = DURATION.fullmatch(text)
    if found is None:
        problems.append(
            Problem(place, f"{text!r} is no time", 'write a number and us, ms, s, m or h, as "400ms"')
        )
        return least_us
    value = int(float(found[1]) * UNITS_US[found[2]])
    if not least_us <= value <= 24 * UNITS_US["h"]:
        low = "0 s" if least_us == 0 else "1 us"
        problems.append(Problem(place, f"{text!r} is out of range", f"write a time from {low} to 24h"))
        return least_us
    return value


def size_bytes(text: str, place: str, problems: list[Problem], least: int, most: int) -> int:
    """Bytes of a size such as "64KiB"."""
    found = SIZE.fullmatch(text)
    value = int(found[1]) * UNITS_BYTES[found[2]] if found is not None else -1
    if not least <= value <= most:
        what = "is no size" if found is None else "is out of range"
        problems.append(
            Problem(
                place,
                f"{text!r} {what}",
                f'write a number and B, KiB or MiB, as "64KiB": {least} to {most} bytes',
            )
        )
        return least
    return value
