"""Datagrams of shared counts: versioned, authenticated, at most 1,200 bytes.

    2 bytes "pt", 1 version, 8 the fleet, 4 which key signs, 8 the receiver's address,
    8 the sender's incarnation, 8 sequence, 8 the sender's time since its start (us), 4 bucket (us), 2
    buckets, 1 length of the name, the name, 2 rows; each row: 8 the key, varint its newest bucket, varint how
    many counts, varint each, the newest first; 16 bytes of HMAC-SHA256 (RFC 2104, cut as its section 5
    allows) over all before it.

Names and addresses are there as digests of 8 bytes where only equality counts. Varints are LEB128.
"""

from __future__ import annotations

import enum
import hashlib
import hmac
import struct
from collections.abc import Iterable, Sequence

from plovertrail.config.peers import LONGEST_NAME
from plovertrail.decisions.counts import Message, Window

LARGEST = 1_200  # bytes: what no path of today breaks up
VERSION = 1
HEAD = struct.Struct(">2sB8s4s8sQQQIHB")
COUNT = struct.Struct(">H")
KEY = struct.Struct(">Q")
MAC = 16
MOST_ROWS = 200


class Dropped(enum.Enum):
    """Why a datagram was not taken."""

    GARBAGE = "garbage"
    VERSION = "another version"
    FLEET = "another fleet"
    KEY = "an unknown key"
    FORGED = "forged"
    NOT_FOR_US = "for another receiver"
    WINDOW = "another window"
    STRANGER = "not listed"
    FLOOD = "too many"
    REPEATED = "a repeat"


class BadDatagramError(Exception):
    def __init__(self, why: Dropped) -> None:
        super().__init__(why.value)
        self.why = why


def short(text: str) -> bytes:
    """Eight bytes for a name."""
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


def varint(value: int) -> bytes:
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
    raise BadDatagramError(Dropped.GARBAGE)


def row_bytes(row: tuple[int, int, tuple[int, ...]]) -> bytes:
    key, newest, counts = row
    return b"".join([KEY.pack(key), varint(newest), varint(len(counts)), *map(varint, counts)])


def key_id(key: bytes) -> bytes:
    """Tells which of several keys signed; nothing can be learnt of the key by it."""
    return hashlib.sha256(b"plovertrail counts" + key).digest()[:4]


class Codec:
    """Writes and reads the datagrams of one fleet. The first key signs; all of them are good for reading, so
    that a key is changed with the old one good for a while."""

    def __init__(self, fleet: str, keys: Sequence[bytes], window: Window) -> None:
        self.fleet = short(fleet)
        self.window = window
        self.keys = {key_id(key): key for key in keys}
        self.signs = key_id(keys[0])

    def room(self, name: str) -> int:
        """Bytes that are left for rows."""
        return LARGEST - HEAD.size - len(name.encode()) - COUNT.size - MAC

    def write(self, to: bytes, name: str, incarnation: int, sequence: int, sent_us: int,
              rows: Iterable[bytes]) -> bytes:
        """A datagram; `rows` fit into `room`."""
        plain = name.encode()
        packed = list(rows)
        head = HEAD.pack(b"pt", VERSION, self.fleet, self.signs, to, incarnation, sequence, sent_us,
                         self.window.bucket_us, self.window.buckets, len(plain))
        body = b"".join([head, plain, COUNT.pack(len(packed)), *packed])
        return body + hmac.digest(self.keys[self.signs], body, "sha256")[:MAC]

    def read(self, data: bytes, me: bytes) -> Message:
        """The message of a datagram to `me`; raises BadDatagramError. Nothing of it is used before its code
        has been checked, in constant time."""
        if len(data) < HEAD.size + COUNT.size + MAC or len(data) > LARGEST or data[:2] != b"pt":
            raise BadDatagramError(Dropped.GARBAGE)
        (_, version, fleet, signed_by, to, incarnation, sequence, sent_us, bucket_us, buckets,
         length) = HEAD.unpack_from(data)
        if version != VERSION:
            raise BadDatagramError(Dropped.VERSION)
        if fleet != self.fleet:
            raise BadDatagramError(Dropped.FLEET)
        key = self.keys.get(signed_by)
        if key is None:
            raise BadDatagramError(Dropped.KEY)
        if not hmac.compare_digest(hmac.digest(key, data[:-MAC], "sha256")[:MAC], data[-MAC:]):
            raise BadDatagramError(Dropped.FORGED)
        if to != me:
            raise BadDatagramError(Dropped.NOT_FOR_US)
        if (bucket_us, buckets) != (self.window.bucket_us, self.window.buckets):
            raise BadDatagramError(Dropped.WINDOW)
        at = HEAD.size
        try:
            name = data[at:at + length].decode()
        except UnicodeDecodeError:
            raise BadDatagramError(Dropped.GARBAGE) from None
        at += length
        end = len(data) - MAC
        if at + COUNT.size > end or not 0 < length <= LONGEST_NAME:
            raise BadDatagramError(Dropped.GARBAGE)
        (count,) = COUNT.unpack_from(data, at)
        rows, at = self._rows(data[:end], at + COUNT.size, count)
        if at != end:
            raise BadDatagramError(Dropped.GARBAGE)
        return Message(name, incarnation, sequence, sent_us, rows)

    def _rows(self, data: bytes, at: int,
              count: int) -> tuple[tuple[tuple[int, int, tuple[int, ...]], ...], int]:
        if count > MOST_ROWS:
            raise BadDatagramError(Dropped.GARBAGE)
        rows = []
        for _ in range(count):
            if at + KEY.size > len(data):
                raise BadDatagramError(Dropped.GARBAGE)
            (key,) = KEY.unpack_from(data, at)
            newest, at = read_varint(data, at + KEY.size)
            length, at = read_varint(data, at)
            if not 0 < length <= self.window.slots:
                raise BadDatagramError(Dropped.GARBAGE)
            counts = []
            for _ in range(length):
                each, at = read_varint(data, at)
                counts.append(each)
            rows.append((key, newest, tuple(counts)))
        return tuple(rows), at
