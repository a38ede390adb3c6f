"""Frames of RFC 6455, section 5: read by wsproto, and told piece by piece as they come."""

from __future__ import annotations

import os
from collections.abc import Iterator
from dataclasses import dataclass

from wsproto.frame_protocol import CloseReason, Frame, FrameProtocol, Opcode, ParseFailed

__all__ = ["InvalidFrame", "Frame", "FrameCodec", "Opcode"]

MOST_CLOSE_REASON = 123  # bytes (section 5.5.1)
FINAL = 0x80
SHORT = 512  # bytes; up to here one exclusive or of long integers is faster than four tables
XOR = [bytes(a ^ b for a in range(256)) for b in range(256)]


@dataclass(frozen=True, slots=True)
class InvalidFrame:
    """A peer has broken the protocol: the code to close with, and why."""

    code: int
    reason: str


class FrameCodec:
    """One peer's frames. Bound: besides what is fed and not yet asked for, a head of 14 bytes or a control
    frame of 131 is held; pieces of messages are passed on as they come. After a close frame or a fault
    nothing more is read."""

    def __init__(self, peer_is_server: bool) -> None:
        self._protocol = FrameProtocol(client=peer_is_server, extensions=[])
        self._peer_is_server = peer_is_server
        self._inside = False  # a message for this peer has begun and not ended
        self.ended = False

    def feed(self, data: bytes | memoryview) -> None:
        """Bytes of the peer have come."""
        if not self.ended:
            self._protocol.receive_bytes(data)  # type: ignore[arg-type]  # they are added to a bytearray

    def frames(self) -> Iterator[Frame | InvalidFrame]:
        """What they bring; may be left, and asked for the rest later. A text's pieces are whole characters; a
        message may come in as many pieces as it had reads and frames."""
        if self.ended:
            return
        try:
            for frame in self._protocol.received_frames():
                if frame.opcode is Opcode.CLOSE:
                    self.ended = True
                yield frame
        except ParseFailed as error:
            self.ended = True
            yield InvalidFrame(int(error.code), str(error))

    # For this peer

    def message(self, payload: bytes, text: bool, final: bool) -> bytes:
        """A frame with the next piece of a message."""
        opcode = Opcode.CONTINUATION if self._inside else Opcode.TEXT if text else Opcode.BINARY
        self._inside = not final
        return self._frame(opcode | (FINAL if final else 0), payload)

    def ping(self, payload: bytes) -> bytes:
        """A ping frame with a payload of at most 125 bytes."""
        return self._frame(Opcode.PING | FINAL, payload)

    def pong(self, payload: bytes) -> bytes:
        """A pong frame; its payload is that of the ping that it answers."""
        return self._frame(Opcode.PONG | FINAL, payload)

    def close(self, code: int, reason: str) -> bytes:
        """A close frame; 1005 stands for one without a code."""
        payload = b""
        if code != CloseReason.NO_STATUS_RCVD:
            cut = reason.encode()[:MOST_CLOSE_REASON].decode(errors="ignore")
            payload = code.to_bytes(2) + cut.encode()
        return self._frame(Opcode.CLOSE | FINAL, payload)

    def _frame(self, first: int, payload: bytes) -> bytes:
        """Written here and not by wsproto, whose own writer took three times as long."""
        length, bit = len(payload), 0x80 if self._peer_is_server else 0
        if length < 126:
            head = bytes((first, bit | length))
        elif length < 1 << 16:
            head = bytes((first, bit | 126)) + length.to_bytes(2)
        else:
            head = bytes((first, bit | 127)) + length.to_bytes(8)
        if not self._peer_is_server:
            return head + payload
        key = os.urandom(4)  # nobody may foresee it (section 5.3)
        return head + key + masked(payload, key)


def masked(payload: bytes, key: bytes) -> bytes:
    """A payload under a mask, or freed of it (section 5.3)."""
    length = len(payload)
    if length <= SHORT:
        mask = int.from_bytes((key * (length // 4 + 1))[:length])
        return (int.from_bytes(payload) ^ mask).to_bytes(length)
    out = bytearray(length)
    for place, byte in enumerate(key):
        out[place::4] = payload[place::4].translate(XOR[byte])
    return bytes(out)
