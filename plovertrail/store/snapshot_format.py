"""The format of a snapshot and its journal (format 2).

A snapshot is a line that names the format, a header frame, and parts compressed with Zstandard (RFC 8878):
one for the endpoint lists of each pool, and one for everything else. A journal is a sequence of frames. The
first holds the nonce of the snapshot that the journal belongs to; each of the others holds one step, which is
a list of records applied as a whole.

The header is JSON. Its keys, and the fields of SnapshotHeader:

    instance    instance
    boot        boot_id
    ahead       clock_offset_us
    written_us  written_unix_us
    nonce       nonce
    parts       parts
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import msgspec
import zstandard

from plovertrail.decisions.endpoint_list import EndpointListState
from plovertrail.store import format_1
from plovertrail.store.clock_reading import ClockReading
from plovertrail.store.endpoint_list_records import state_from_records
from plovertrail.store.errors import InvalidRecordsError, StateFileError
from plovertrail.store.frames import (
    FRAME_HEADER,
    MAX_PAYLOAD_BYTES,
    NONCE_BYTES,
    decode_frames,
    digest,
    encode_frame,
)
from plovertrail.store.records import ENDPOINT_LIST_KINDS, Key, Record, StoredState
from plovertrail.store.warm_state_records import warm_state_from_records

FIRST_LINE = b"plovertrail-state 2\n"
HEADER_NONCE = bytes(NONCE_BYTES)  # the header holds the nonce, so its own frame has a fixed one
WARM_STATE_PART = ""  # holds everything but endpoint lists; no pool has an empty name
COMPRESSION_LEVEL = 1

PartRecords = dict[Key, Any]  # all records of one part


class SnapshotHeader(msgspec.Struct, frozen=True):
    """The origin of a snapshot, and the locations of its parts."""

    instance: str
    boot_id: str = msgspec.field(name="boot")
    clock_offset_us: int = msgspec.field(name="ahead")
    written_unix_us: int = msgspec.field(name="written_us")
    nonce: bytes
    parts: list[tuple[str, int, int, bytes]]  # name, offset, length, digest


@dataclass(slots=True)
class LoadResult:
    """What was loaded at startup. State that a problem concerns isn't restored."""

    stored: StoredState = field(default_factory=StoredState)
    problems: list[str] = field(default_factory=list)
    replayed_steps: int = 0
    snapshot_age_us: int | None = None  # None: there was no snapshot, or one of format 1


def encode_snapshot(
    parts: Mapping[str, Sequence[Record]],
    instance: str,
    clock_offset_us: int,
    clocks: ClockReading,
    nonce: bytes,
) -> bytes:
    """Encode a snapshot."""
    compressor = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL)
    part_locations: list[tuple[str, int, int, bytes]] = []
    bodies: list[bytes] = []
    offset = 0
    for number, (name, records) in enumerate(parts.items(), 1):
        body = compressor.compress(encode_records(records))
        part_locations.append((name, offset, len(body), digest(nonce, number, body)))
        bodies.append(body)
        offset += len(body)
    header = SnapshotHeader(instance, clocks.boot_id, clock_offset_us, clocks.unix_us, nonce, part_locations)
    return FIRST_LINE + encode_frame(HEADER_NONCE, 0, msgspec.json.encode(header)) + b"".join(bodies)


def encode_records(records: Sequence[Record]) -> bytes:
    """Encode records as a JSON array of arrays, each of the strings of a key and the value."""
    return msgspec.json.encode([[*key, value] for key, value in records])


def _decode_records(payload: bytes) -> list[Record]:
    """Decode records; raises ValueError or TypeError."""
    rows = msgspec.json.decode(payload, type=list[list[Any]])
    return [(tuple(map(str, words)), value) for *words, value in rows]


def decode_state(data: bytes, journal: bytes, instance: str, clocks: ClockReading) -> LoadResult:
    """Decode a snapshot and its journal; raises StateFileError if nothing can be used.

    Each part is used completely or not at all, and the journal up to the first damaged frame.
    """
    if not data.startswith(FIRST_LINE):
        if format_1.FIRST_LINE.match(data) is None:
            raise StateFileError("it has no valid first line, or its format is unknown to this version")
        return LoadResult(StoredState(format_1.decode(data, clocks)))
    header, body_offset = _decode_header(data)
    reader = _SnapshotReader(header)
    reader.read_parts(data, body_offset)
    reader.replay(journal)
    stored = reader.stored_state(instance, clocks)
    age_us = clocks.unix_us - header.written_unix_us
    return LoadResult(stored, reader.problems, reader.replayed_steps, age_us)


def _decode_header(data: bytes) -> tuple[SnapshotHeader, int]:
    """Decode the header; returns it and the offset after it; raises StateFileError."""
    first_frame = next(decode_frames(HEADER_NONCE, data, len(FIRST_LINE)), None)
    if first_frame is None:
        raise StateFileError("it is damaged: its header can't be read")
    payload, body_offset = first_frame
    try:
        return msgspec.json.decode(payload, type=SnapshotHeader), body_offset
    except msgspec.MsgspecError as error:
        raise StateFileError(f"its header is invalid: {error}") from None


class _SnapshotReader:
    """Decodes the parts of one snapshot, and applies the steps of the journal to them."""

    def __init__(self, header: SnapshotHeader) -> None:
        self.header = header
        self.parts: dict[str, PartRecords] = {}  # intact parts by name
        self.damaged: set[str] = set()  # names of the damaged parts
        self.problems: list[str] = []
        self.replayed_steps = 0

    def read_parts(self, data: bytes, body_offset: int) -> None:
        """Decode all parts that are intact."""
        for number, (name, offset, length, expected_digest) in enumerate(self.header.parts, 1):
            start = body_offset + offset
            body = data[start : start + length]
            try:
                if len(body) < length or digest(self.header.nonce, number, body) != expected_digest:
                    raise ValueError("its length or digest is wrong")
                payload = zstandard.ZstdDecompressor().decompress(body, max_output_size=MAX_PAYLOAD_BYTES)
                self.parts[name] = dict(_decode_records(payload))
            except (ValueError, TypeError, zstandard.ZstdError) as error:
                self.damaged.add(name)
                subject = f"what is kept of the pool {name!r}" if name else "what is kept besides lists"
                self.problems.append(f"{subject} is not used: {error}")

    def replay(self, journal: bytes) -> None:
        """Apply the journal's steps to the parts."""
        if not journal:
            return
        nonce = journal[FRAME_HEADER.size : FRAME_HEADER.size + NONCE_BYTES]
        if len(nonce) < NONCE_BYTES or next(decode_frames(nonce, journal), (b"", 0))[0] != nonce:
            self.problems.append("the beginning of its journal is cut or damaged: no step of it is used")
            return
        if nonce != self.header.nonce:
            return  # it belongs to an earlier snapshot, and this one includes its steps
        frames = decode_frames(nonce, journal)
        _, used_bytes = next(frames)  # the nonce
        for payload, end in frames:
            try:
                records = _decode_records(payload)
            except (ValueError, TypeError):
                break
            self._apply(records)
            self.replayed_steps += 1
            used_bytes = end
        if used_bytes < len(journal):
            self.problems.append(
                f"the last {len(journal) - used_bytes} bytes of its journal are cut or damaged: "
                f"{self.replayed_steps} steps before them are used"
            )

    def _apply(self, records: list[Record]) -> None:
        """Apply one step."""
        for key, value in records:
            is_list_record = len(key) > 1 and key[0] in ENDPOINT_LIST_KINDS
            part = key[1] if is_list_record else WARM_STATE_PART
            if part in self.damaged:
                continue  # without the part, the changes alone would make up a wrong list
            part_records = self.parts.setdefault(part, {})
            if value is None:
                part_records.pop(key, None)
            else:
                part_records[key] = value

    def stored_state(self, instance: str, clocks: ClockReading) -> StoredState:
        """Build the state from the records of all parts."""
        # Without a reboot the monotonic clock continued, so setting the system clock shifts no stored time.
        same_boot = bool(clocks.boot_id) and self.header.boot_id == clocks.boot_id
        clock_offset_us = self.header.clock_offset_us if same_boot else clocks.offset_us
        lists: dict[str, EndpointListState] = {}
        for name, part_records in self.parts.items():
            if name != WARM_STATE_PART and part_records:
                try:
                    lists[name] = state_from_records(part_records, name, clock_offset_us, clocks.now_us)
                except InvalidRecordsError as error:
                    self.problems.append(f"{error}; its lists are read from their sources")
        warm_state = warm_state_from_records(self.parts.get(WARM_STATE_PART, {}), clock_offset_us)
        if self.header.instance != instance:
            # On a copied disk, the warm state of another instance would count as this one's own.
            warm_state = StoredState()
            self.problems.append(
                f"it is of the instance {self.header.instance!r}, and this is {instance!r}: lists, "
                "start times and drains are restored; endpoint histories, limits and counters start empty"
            )
        return StoredState(lists, warm_state.pool_histories, warm_state.limiters, warm_state.counters)
