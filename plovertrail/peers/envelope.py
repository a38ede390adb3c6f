"""What all datagrams between instances have in common: whose they are, for whom, and that they are whole.

    2 bytes "pt", 1 version, 8 the fleet, 4 which key signs, 8 the receiver's address, then what the version
    says; 16 bytes of HMAC-SHA256 (RFC 2104, cut as its section 5 allows) over all before it.

Names and addresses are there as digests of 8 bytes where only equality counts.
"""

from __future__ import annotations

import enum
import hashlib
import hmac
import struct
from collections import Counter
from collections.abc import Container, Sequence
from dataclasses import dataclass, field

LARGEST = 1_200  # bytes: what no path of today breaks up
PREFIX = struct.Struct(">2sB8s4s8s")
MAC = 16
ROOM = LARGEST - PREFIX.size - MAC  # for what a version says


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
    """A datagram that must not be used; `why` is the reason under which it is counted."""

    def __init__(self, why: Dropped) -> None:
        super().__init__(why.value)
        self.why = why


@dataclass(slots=True)
class Sent:
    """What an instance has sent and got since its start."""

    datagrams: int = 0
    octets: int = 0
    taken: int = 0
    dropped: Counter[Dropped] = field(default_factory=Counter)


def short(text: str) -> bytes:
    """Eight bytes for a name."""
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


def key_id(key: bytes) -> bytes:
    """Tells which of several keys signed; nothing can be learnt of the key by it."""
    return hashlib.sha256(b"plovertrail counts" + key).digest()[:4]


class Seal:
    """Seals and opens the datagrams of one fleet. The first key signs; all of them are good for reading, so
    that a key is changed with the old one good for a while."""

    def __init__(self, fleet: str, keys: Sequence[bytes]) -> None:
        self.fleet = short(fleet)
        self.keys = {key_id(key): key for key in keys}
        self.signs = key_id(keys[0])

    def sealed(self, version: int, to: bytes, body: bytes) -> bytes:
        """A datagram; the body is no longer than ROOM."""
        whole = PREFIX.pack(b"pt", version, self.fleet, self.signs, to) + body
        return whole + hmac.digest(self.keys[self.signs], whole, "sha256")[:MAC]

    def opened(self, version: int, data: bytes, mine: Container[bytes]) -> bytes:
        """The body of a datagram to one of our addresses; raises BadDatagramError. Nothing of it is used
        before its code has been checked, in constant time."""
        if len(data) < PREFIX.size + MAC or len(data) > LARGEST or data[:2] != b"pt":
            raise BadDatagramError(Dropped.GARBAGE)
        _, theirs, fleet, signed_by, to = PREFIX.unpack_from(data)
        if theirs != version:
            raise BadDatagramError(Dropped.VERSION)
        if fleet != self.fleet:
            raise BadDatagramError(Dropped.FLEET)
        key = self.keys.get(signed_by)
        if key is None:
            raise BadDatagramError(Dropped.KEY)
        if not hmac.compare_digest(hmac.digest(key, data[:-MAC], "sha256")[:MAC], data[-MAC:]):
            raise BadDatagramError(Dropped.FORGED)
        if to not in mine:
            raise BadDatagramError(Dropped.NOT_FOR_US)
        return data[PREFIX.size : -MAC]
