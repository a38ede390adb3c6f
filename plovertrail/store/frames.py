"""Checked frames: length, digest, payload. Pure.

A frame's digest covers the file's nonce and the frame's number, so none is taken for another: not one of an
earlier file on the same blocks, and not the next one where one is missing.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from hashlib import blake2b

HEAD = struct.Struct("<I8s")
NONCE_BYTES = 8
LARGEST = 64 << 20


def digest(nonce: bytes, number: int, payload: bytes) -> bytes:
    """Of 8 bytes: any bit that turned shows."""
    return blake2b(payload, digest_size=8, key=nonce + number.to_bytes(8)).digest()


def frame(nonce: bytes, number: int, payload: bytes) -> bytes:
    """The bytes of one frame."""
    return HEAD.pack(len(payload), digest(nonce, number, payload)) + payload


def frames(nonce: bytes, data: bytes, at: int = 0) -> Iterator[tuple[bytes, int]]:
    """The payloads of all whole frames from a place on, in their order, each with the place behind it; ends
    before the first that is cut or damaged. Hazard: what lies behind that one builds on it."""
    number = 0
    while at + HEAD.size <= len(data):
        length, told = HEAD.unpack_from(data, at)
        payload = data[at + HEAD.size : at + HEAD.size + length]
        if length > LARGEST or len(payload) < length or digest(nonce, number, payload) != told:
            return
        at += HEAD.size + length
        yield payload, at
        number += 1
