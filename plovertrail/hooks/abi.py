"""The binary form of what a hook reads and writes, version 1 (docs/hook-abi.md). Pure.

Both are records one after the other, little-endian: a tag and the length of a name, 16 bits each, the length
of a value, 32 bits, then name and value as bytes. A reader skips tags that it doesn't know.
"""

from __future__ import annotations

import enum
import struct
from collections.abc import Iterable, Sequence

from plovertrail.decisions.verdicts import InvalidVerdictError, Verdict

VERSION = 1
HEAD = struct.Struct("<HHI")
U32 = struct.Struct("<I")
MOST_RECORDS = 128  # of a verdict


class Read(enum.IntEnum):
    """What a hook is told."""

    METHOD = 1
    PATH = 2
    QUERY = 3
    HOST = 4
    HEADER = 5
    TENANT = 6
    CLASS = 7
    ROUTE = 8
    REMAINING_MS = 9
    BODY = 10
    BODY_SIZE = 11
    CONFIG = 12
    COUNTER = 13
    CLIENT = 14
    MAY_CHOOSE = 15
    STATUS = 16
    OUTCOME = 17
    ELAPSED_MS = 18


class Write(enum.IntEnum):
    """What a hook may answer."""

    REFUSE = 64
    SET_HEADER = 65
    REMOVE_HEADER = 66
    TENANT = 67
    CLASS = 68
    COUNT = 69
    LOG = 70


def record(tag: int, value: bytes, name: bytes = b"") -> bytes:
    """One record."""
    return HEAD.pack(tag, len(name), len(value)) + name + value


def number(tag: int, value: int, name: bytes = b"") -> bytes:
    """One record whose value is a whole number; what is beyond 32 bits is told as the most."""
    return record(tag, U32.pack(min(max(value, 0), 0xFFFF_FFFF)), name)


def headers(pairs: Iterable[tuple[bytes, bytes]]) -> bytes:
    """A record for each header, its name in lower case."""
    pack, tag = HEAD.pack, int(Read.HEADER)
    return b"".join([pack(tag, len(name), len(value)) + name.lower() + value for name, value in pairs])


def unnamed(fields: Iterable[tuple[int, bytes]]) -> bytes:
    """Records without names; quicker than one by one, as each request has several."""
    pack = HEAD.pack
    return b"".join([pack(tag, 0, len(value)) + value for tag, value in fields])


def records(data: bytes) -> list[tuple[int, bytes, bytes]]:
    """Tags, names and values; raises InvalidVerdictError if a record goes over the end."""
    found: list[tuple[int, bytes, bytes]] = []
    at = 0
    while at < len(data):
        if len(found) == MOST_RECORDS:
            raise InvalidVerdictError(f"more than {MOST_RECORDS} records")
        if at + HEAD.size > len(data):
            raise InvalidVerdictError("a record is cut off")
        tag, name_size, value_size = HEAD.unpack_from(data, at)
        at += HEAD.size
        end = at + name_size + value_size
        if end > len(data):
            raise InvalidVerdictError("a record goes over the end of the verdict")
        found.append((tag, data[at : at + name_size], data[at + name_size : end]))
        at = end
    return found


def read_verdict(data: bytes) -> Verdict:
    """Read a verdict as a hook wrote it; raises InvalidVerdictError.

    Hazard: a tag that a later version gives a meaning must not be passed over here, so an unknown one is an
    error.
    """
    verdict = Verdict()
    for tag, name, value in records(data):
        if tag == Write.REFUSE:
            if verdict.refuse or len(value) < 2:
                raise InvalidVerdictError("refused twice, or without a status")
            verdict.refuse = int.from_bytes(value[:2], "little")
            if not verdict.refuse:
                raise InvalidVerdictError("refused with the status 0")
            verdict.body = value[2:]
        elif tag == Write.SET_HEADER:
            verdict.set_headers.append((name, value))
        elif tag == Write.REMOVE_HEADER:
            verdict.remove_headers.append(name)
        elif tag == Write.TENANT:
            verdict.tenant = value
        elif tag == Write.CLASS:
            verdict.class_name = value
        elif tag == Write.COUNT:
            if len(value) != U32.size:
                raise InvalidVerdictError("a count is 4 bytes")
            verdict.counts.append((name, U32.unpack(value)[0]))
        elif tag == Write.LOG:
            verdict.logs.append(value)
        else:
            raise InvalidVerdictError(f"an unknown tag, {tag}")
    return verdict


def write_verdict(verdict: Verdict) -> bytes:
    """The other way round, for tests and tools."""
    parts: list[bytes] = []
    if verdict.refuse:
        parts.append(record(Write.REFUSE, verdict.refuse.to_bytes(2, "little") + verdict.body))
    parts += [record(Write.SET_HEADER, value, name) for name, value in verdict.set_headers]
    parts += [record(Write.REMOVE_HEADER, b"", name) for name in verdict.remove_headers]
    parts += [record(Write.TENANT, verdict.tenant)] if verdict.tenant is not None else []
    parts += [record(Write.CLASS, verdict.class_name)] if verdict.class_name is not None else []
    parts += [number(Write.COUNT, count, name) for name, count in verdict.counts]
    parts += [record(Write.LOG, text) for text in verdict.logs]
    return b"".join(parts)


def config(pairs: Sequence[tuple[str, str]]) -> bytes:
    """The operator's key-value strings."""
    return b"".join(record(Read.CONFIG, value.encode(), key.encode()) for key, value in pairs)
