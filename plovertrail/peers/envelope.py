"""The envelope of all datagrams between instances: names the fleet and the receiver, and authenticates.

Field sizes in bytes:

    2 "pt", 1 version, 8 the fleet, 4 the id of the signing key, 8 the receiver's address, the body, whose
    format depends on the version, 16 HMAC-SHA256 (RFC 2104, truncated as its section 5 allows) over all
    fields before it.

The fleet's name and the receiver's address are only compared, so they are sent as digests of 8 bytes.
"""

from __future__ import annotations

import enum
import hashlib
import hmac
import struct
from collections import Counter
from collections.abc import Container, Sequence
from dataclasses import dataclass, field

MAX_DATAGRAM_BYTES = 1_200  # small enough not to be fragmented on common network paths
PREFIX = struct.Struct(">2sB8s4s8s")
MAC_BYTES = 16
MAX_BODY_BYTES = MAX_DATAGRAM_BYTES - PREFIX.size - MAC_BYTES


class DropReason(enum.Enum):
    """Why a datagram was dropped; the values are status keys."""

    MALFORMED = "garbage"
    OTHER_VERSION = "another version"
    OTHER_FLEET = "another fleet"
    UNKNOWN_KEY = "an unknown key"
    FORGED = "forged"
    OTHER_RECEIVER = "for another receiver"
    OTHER_WINDOW = "another window"
    UNKNOWN_SENDER = "not listed"
    RATE_LIMITED = "too many"
    DUPLICATE = "a repeat"


class PeerError(Exception):
    """Base class of this package's errors."""


class BadDatagramError(PeerError):
    """A datagram was invalid and has to be dropped."""

    def __init__(self, reason: DropReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


@dataclass(slots=True)
class TrafficStats:
    """Counts what an instance has sent and received since its start."""

    datagrams_sent: int = 0
    bytes_sent: int = 0
    accepted: int = 0
    dropped: Counter[DropReason] = field(default_factory=Counter)

    def count_sent(self, data: bytes) -> None:
        """Count a datagram that is sent."""
        self.datagrams_sent += 1
        self.bytes_sent += len(data)

    def count_received(self, reason: DropReason | None) -> None:
        """Count a datagram that was accepted (None) or dropped."""
        if reason is None:
            self.accepted += 1
        else:
            self.dropped[reason] += 1


def digest(text: str) -> bytes:
    """Return an 8-byte digest of a name or an address."""
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


def key_id(key: bytes) -> bytes:
    """Return the id of a key; it reveals nothing about the key itself."""
    return hashlib.sha256(b"plovertrail counts" + key).digest()[:4]


class Envelope:
    """Seals and opens the datagrams of one fleet.

    The first key signs and all of them verify, so that a key can be rotated without cutting the fleet in two.
    """

    def __init__(self, fleet: str, keys: Sequence[bytes]) -> None:
        self._fleet = digest(fleet)
        self._keys = {key_id(key): key for key in keys}
        self._signing_key_id = key_id(keys[0])

    def seal(self, version: int, receiver: bytes, body: bytes) -> bytes:
        """Return a signed datagram; the body must not be longer than MAX_BODY_BYTES."""
        signed = PREFIX.pack(b"pt", version, self._fleet, self._signing_key_id, receiver) + body
        return signed + hmac.digest(self._keys[self._signing_key_id], signed, "sha256")[:MAC_BYTES]

    def open(self, version: int, data: bytes, own_addresses: Container[bytes]) -> bytes:
        """Return the body of a datagram to one of these addresses; raises BadDatagramError if invalid.

        The authentication code is verified, in constant time, before anything of the body is used.
        """
        if len(data) < PREFIX.size + MAC_BYTES or len(data) > MAX_DATAGRAM_BYTES or data[:2] != b"pt":
            raise BadDatagramError(DropReason.MALFORMED)
        _, sent_version, fleet, signed_by, receiver = PREFIX.unpack_from(data)
        if sent_version != version:
            raise BadDatagramError(DropReason.OTHER_VERSION)
        if fleet != self._fleet:
            raise BadDatagramError(DropReason.OTHER_FLEET)
        key = self._keys.get(signed_by)
        if key is None:
            raise BadDatagramError(DropReason.UNKNOWN_KEY)
        expected = hmac.digest(key, data[:-MAC_BYTES], "sha256")[:MAC_BYTES]
        if not hmac.compare_digest(expected, data[-MAC_BYTES:]):
            raise BadDatagramError(DropReason.FORGED)
        if receiver not in own_addresses:
            raise BadDatagramError(DropReason.OTHER_RECEIVER)
        return data[PREFIX.size : -MAC_BYTES]
