"""Datagrams of shared counters: version 1 of the body of an envelope (peers/envelope.py).

Field sizes in bytes:

    8 the sender's incarnation, 8 sequence, 8 the sender's time since its start (us), 4 bucket length (us),
    2 number of buckets, 1 length of the name, the name, 2 number of rows; each row: 8 the key, varint its
    newest bucket, varint number of counts, a varint for each count, the newest first.

Integers are big-endian, varints are LEB128.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Sequence

from plovertrail.config.peers import LONGEST_NAME
from plovertrail.decisions.counter_rows import CounterMessage, CountingWindow, EncodedRow
from plovertrail.peers.envelope import MAX_BODY_BYTES, BadDatagramError, DropReason, Envelope

VERSION = 1
HEADER = struct.Struct(">QQQIHB")
ROW_COUNT = struct.Struct(">H")
KEY = struct.Struct(">Q")
MAX_ROWS = 200
MAX_VARINT_BYTES = 10


def encode_varint(value: int) -> bytes:
    """Return a non-negative integer as LEB128: seven bits per byte, the lowest first."""
    encoded = bytearray()
    while value > 127:
        encoded.append(value & 127 | 128)
        value >>= 7
    encoded.append(value)
    return bytes(encoded)


def decode_varint(data: bytes, position: int) -> tuple[int, int]:
    """Return the varint at a position and the position after it; raises BadDatagramError if malformed."""
    value = 0
    for number in range(MAX_VARINT_BYTES):
        if position + number >= len(data):
            break
        byte = data[position + number]
        value |= (byte & 127) << 7 * number
        if byte < 128:
            return value, position + number + 1
    raise BadDatagramError(DropReason.MALFORMED)


def encode_row(row: EncodedRow) -> bytes:
    """Return one row in the format given at the head of the module."""
    key, newest, counts = row
    varints = map(encode_varint, counts)
    return b"".join([KEY.pack(key), encode_varint(newest), encode_varint(len(counts)), *varints])


class CounterCodec:
    """Encodes and decodes the counters of one fleet."""

    def __init__(self, fleet: str, keys: Sequence[bytes], window: CountingWindow) -> None:
        self.envelope = Envelope(fleet, keys)
        self.window = window

    def room_for_rows(self, name: str) -> int:
        """Return how many bytes a datagram of this sender has for rows."""
        return MAX_BODY_BYTES - HEADER.size - len(name.encode()) - ROW_COUNT.size

    def encode(self, receiver: bytes, message: CounterMessage, rows: Iterable[bytes]) -> bytes:
        """Return a datagram of the header of `message` and encoded rows, which fit into `room_for_rows`."""
        name = message.name.encode()
        encoded = list(rows)
        header = HEADER.pack(
            message.incarnation,
            message.sequence,
            message.sent_us,
            self.window.bucket_us,
            self.window.buckets,
            len(name),
        )
        body = b"".join([header, name, ROW_COUNT.pack(len(encoded)), *encoded])
        return self.envelope.seal(VERSION, receiver, body)

    def decode(self, datagram: bytes, own_address: bytes) -> CounterMessage:
        """Return the message of a datagram to this instance; raises BadDatagramError if it is not valid."""
        data = self.envelope.open(VERSION, datagram, (own_address,))
        if len(data) < HEADER.size + ROW_COUNT.size:
            raise BadDatagramError(DropReason.MALFORMED)
        incarnation, sequence, sent_us, bucket_us, buckets, name_bytes = HEADER.unpack_from(data)
        if (bucket_us, buckets) != (self.window.bucket_us, self.window.buckets):
            raise BadDatagramError(DropReason.OTHER_WINDOW)
        position = HEADER.size
        try:
            name = data[position : position + name_bytes].decode()
        except UnicodeDecodeError:
            raise BadDatagramError(DropReason.MALFORMED) from None
        position += name_bytes
        if position + ROW_COUNT.size > len(data) or not 0 < name_bytes <= LONGEST_NAME:
            raise BadDatagramError(DropReason.MALFORMED)
        (row_count,) = ROW_COUNT.unpack_from(data, position)
        rows, position = self._decode_rows(data, position + ROW_COUNT.size, row_count)
        if position != len(data):
            raise BadDatagramError(DropReason.MALFORMED)
        return CounterMessage(name, incarnation, sequence, sent_us, rows)

    def _decode_rows(self, data: bytes, position: int, count: int) -> tuple[tuple[EncodedRow, ...], int]:
        if count > MAX_ROWS:
            raise BadDatagramError(DropReason.MALFORMED)
        rows = []
        for _ in range(count):
            row, position = self._decode_row(data, position)
            rows.append(row)
        return tuple(rows), position

    def _decode_row(self, data: bytes, position: int) -> tuple[EncodedRow, int]:
        if position + KEY.size > len(data):
            raise BadDatagramError(DropReason.MALFORMED)
        (key,) = KEY.unpack_from(data, position)
        newest, position = decode_varint(data, position + KEY.size)
        length, position = decode_varint(data, position)
        if not 0 < length <= self.window.slots:
            raise BadDatagramError(DropReason.MALFORMED)
        counts = []
        for _ in range(length):
            count, position = decode_varint(data, position)
            counts.append(count)
        return (key, newest, tuple(counts)), position
