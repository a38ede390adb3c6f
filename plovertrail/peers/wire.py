"""Datagrams of shared counts, version 1 of what an envelope (peers/envelope.py) holds:

    8 the sender's incarnation, 8 sequence, 8 the sender's time since its start (us), 4 bucket (us), 2
    buckets, 1 length of the name, the name, 2 rows; each row: 8 the key, varint its newest bucket, varint how
    many counts, varint each, the newest first.

Varints are LEB128.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Sequence

from plovertrail.config.peers import LONGEST_NAME
from plovertrail.decisions.counter_rows import CounterMessage, CountingWindow
from plovertrail.peers.envelope import MAX_BODY_BYTES, BadDatagramError, DropReason, Envelope

VERSION = 1
HEAD = struct.Struct(">QQQIHB")
COUNT = struct.Struct(">H")
KEY = struct.Struct(">Q")
MOST_ROWS = 200


def varint(value: int) -> bytes:
    """A non-negative integer as LEB128: seven bits a byte, the lowest first."""
    found = bytearray()
    while value > 127:
        found.append(value & 127 | 128)
        value >>= 7
    found.append(value)
    return bytes(found)


def read_varint(data: bytes, at: int) -> tuple[int, int]:
    """The value there, and what comes after it; raises BadDatagramError."""
    value = 0
    for number in range(10):
        if at + number >= len(data):
            break
        byte = data[at + number]
        value |= (byte & 127) << 7 * number
        if byte < 128:
            return value, at + number + 1
    raise BadDatagramError(DropReason.MALFORMED)


def row_bytes(row: tuple[int, int, tuple[int, ...]]) -> bytes:
    """One row as the module's docstring has it, from the key, the newest bucket's number and the counts, the
    newest first."""
    key, newest, counts = row
    return b"".join([KEY.pack(key), varint(newest), varint(len(counts)), *map(varint, counts)])


class Codec:
    """Writes and reads the counts of one fleet."""

    def __init__(self, fleet: str, keys: Sequence[bytes], window: CountingWindow) -> None:
        self.envelope = Envelope(fleet, keys)
        self.window = window

    def room(self, name: str) -> int:
        """Bytes that are left for rows."""
        return MAX_BODY_BYTES - HEAD.size - len(name.encode()) - COUNT.size

    def write(
        self, to: bytes, name: str, incarnation: int, sequence: int, sent_us: int, rows: Iterable[bytes]
    ) -> bytes:
        """A datagram; `rows` fit into `room`."""
        plain = name.encode()
        packed = list(rows)
        head = HEAD.pack(
            incarnation, sequence, sent_us, self.window.bucket_us, self.window.buckets, len(plain)
        )
        return self.envelope.seal(VERSION, to, b"".join([head, plain, COUNT.pack(len(packed)), *packed]))

    def read(self, datagram: bytes, me: bytes) -> CounterMessage:
        """The message of a datagram to `me`; raises BadDatagramError."""
        data = self.envelope.open(VERSION, datagram, (me,))
        if len(data) < HEAD.size + COUNT.size:
            raise BadDatagramError(DropReason.MALFORMED)
        incarnation, sequence, sent_us, bucket_us, buckets, length = HEAD.unpack_from(data)
        if (bucket_us, buckets) != (self.window.bucket_us, self.window.buckets):
            raise BadDatagramError(DropReason.OTHER_WINDOW)
        at = HEAD.size
        try:
            name = data[at : at + length].decode()
        except UnicodeDecodeError:
            raise BadDatagramError(DropReason.MALFORMED) from None
        at += length
        end = len(data)
        if at + COUNT.size > end or not 0 < length <= LONGEST_NAME:
            raise BadDatagramError(DropReason.MALFORMED)
        (count,) = COUNT.unpack_from(data, at)
        rows, at = self._rows(data, at + COUNT.size, count)
        if at != end:
            raise BadDatagramError(DropReason.MALFORMED)
        return CounterMessage(name, incarnation, sequence, sent_us, rows)

    def _rows(
        self, data: bytes, at: int, count: int
    ) -> tuple[tuple[tuple[int, int, tuple[int, ...]], ...], int]:
        if count > MOST_ROWS:
            raise BadDatagramError(DropReason.MALFORMED)
        rows = []
        for _ in range(count):
            if at + KEY.size > len(data):
                raise BadDatagramError(DropReason.MALFORMED)
            (key,) = KEY.unpack_from(data, at)
            newest, at = read_varint(data, at + KEY.size)
            length, at = read_varint(data, at)
            if not 0 < length <= self.window.slots:
                raise BadDatagramError(DropReason.MALFORMED)
            counts = []
            for _ in range(length):
                each, at = read_varint(data, at)
                counts.append(each)
            rows.append((key, newest, tuple(counts)))
        return tuple(rows), at
