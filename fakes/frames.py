"""Frames of RFC 6455 written and read by hand, right ones and wrong ones, for peers that misbehave."""

from __future__ import annotations

import asyncio
import base64
import hashlib
import os
import struct
from dataclasses import dataclass

CONTINUATION, TEXT, BINARY, CLOSE, PING, PONG = 0, 1, 2, 8, 9, 10
MASK = b"\x01\x02\x03\x04"
GUID = b"258EAFA5-E914-47DA-95CA-C5AB0DC85B11"


def frame(
    opcode: int,
    payload: bytes = b"",
    final: bool = True,
    masked: bool = False,
    claimed: int | None = None,
    reserved: int = 0,
) -> bytes:
    """A frame; `claimed` is the length that its head tells, if it is to lie; `reserved` the three bits."""
    length = len(payload) if claimed is None else claimed
    first = (0x80 if final else 0) | reserved << 4 | opcode
    mask_bit = 0x80 if masked else 0
    if length < 126:
        head = struct.pack("!BB", first, mask_bit | length)
    elif length < 1 << 16:
        head = struct.pack("!BBH", first, mask_bit | 126, length)
    else:
        head = struct.pack("!BBQ", first, mask_bit | 127, length)
    if not masked:
        return head + payload
    return head + MASK + bytes(byte ^ MASK[i % 4] for i, byte in enumerate(payload))


def close_frame(code: int = 1000, reason: bytes = b"", masked: bool = False) -> bytes:
    """A close frame with a code and a reason."""
    return frame(CLOSE, struct.pack("!H", code) + reason, masked=masked)


@dataclass
class Got:
    """A frame as it came, unmasked."""

    opcode: int
    payload: bytes
    final: bool
    masked: bool

    @property
    def code(self) -> int:
        """Of a close frame; 1005 if it has none."""
        return int.from_bytes(self.payload[:2]) if self.payload else 1005

    @property
    def reason(self) -> str:
        """The reason of a close frame."""
        return self.payload[2:].decode()


async def read_frame(reader: asyncio.StreamReader) -> Got:
    """The next frame; raises IncompleteReadError at the end of the connection."""
    first, second = await reader.readexactly(2)
    length = second & 0x7F
    if length == 126:
        length = int.from_bytes(await reader.readexactly(2))
    elif length == 127:
        length = int.from_bytes(await reader.readexactly(8))
    mask = await reader.readexactly(4) if second & 0x80 else b""
    payload = await reader.readexactly(length)
    if mask:
        payload = bytes(byte ^ mask[i % 4] for i, byte in enumerate(payload))
    return Got(first & 0x0F, payload, bool(first & 0x80), bool(mask))


def proof(key: bytes) -> bytes:
    """The accept value of a key."""
    return base64.b64encode(hashlib.sha1(key + GUID).digest())


def opening(target: str = "/", *headers: str, key: bytes = b"", host: str = "live.example") -> bytes:
    """A client's handshake; a header given here replaces the usual one of its name, one without a value
    removes it."""
    usual = {
        "Host": host,
        "Connection": "Upgrade",
        "Upgrade": "websocket",
        "Sec-WebSocket-Version": "13",
        "Sec-WebSocket-Key": (key or base64.b64encode(os.urandom(16))).decode(),
    }
    extra = []
    for line in headers:
        name, _, value = line.partition(":")
        if name in usual and not value:
            del usual[name]
        elif name in usual:
            usual[name] = value.strip()
        else:
            extra.append(line)
    lines = [f"GET {target} HTTP/1.1", *(f"{name}: {value}" for name, value in usual.items()), *extra]
    return "\r\n".join([*lines, "", ""]).encode()


def acceptance(head: bytes, *headers: str) -> bytes:
    """The right answer to a handshake's head."""
    key = next(
        line.split(b":", 1)[1].strip()
        for line in head.split(b"\r\n")
        if line.lower().startswith(b"sec-websocket-key:")
    )
    lines = [
        "HTTP/1.1 101 Switching Protocols",
        "Upgrade: websocket",
        "Connection: Upgrade",
        f"Sec-WebSocket-Accept: {proof(key).decode()}",
        *headers,
    ]
    return "\r\n".join([*lines, "", ""]).encode()
