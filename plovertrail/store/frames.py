"""Frames that detect damage: length, digest, payload.

The digest is keyed with the file's nonce and the frame's number. So a frame of an earlier file, left on the
same disk blocks, isn't accepted, and neither is a frame whose predecessor is missing.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from hashlib import blake2b

FRAME_HEADER = struct.Struct("<I8s")  # length, digest
NONCE_BYTES = 8
DIGEST_BYTES = 8
MAX_PAYLOAD_BYTES = 64 << 20


def digest(nonce: bytes, number: int, payload: bytes) -> bytes:
    """Compute the digest of one frame's payload (BLAKE2b, RFC 7693)."""
    return blake2b(payload, digest_size=DIGEST_BYTES, key=nonce + number.to_bytes(8)).digest()


def encode_frame(nonce: bytes, number: int, payload: bytes) -> bytes:
    """Encode one frame."""
    return FRAME_HEADER.pack(len(payload), digest(nonce, number, payload)) + payload


def decode_frames(nonce: bytes, data: bytes, offset: int = 0) -> Iterator[tuple[bytes, int]]:
    """Yield the payload of each intact frame from `offset` on, and the offset after it.

    Stops at the first truncated or damaged frame, since later frames build on it.
    """
    number = 0
    while offset + FRAME_HEADER.size <= len(data):
        length, expected_digest = FRAME_HEADER.unpack_from(data, offset)
        start = offset + FRAME_HEADER.size
        payload = data[start : start + length]
        if length > MAX_PAYLOAD_BYTES or len(payload) < length:
            return
        if digest(nonce, number, payload) != expected_digest:
            return
        offset = start + length
        yield payload, offset
        number += 1
