"""Frames of RFC 6455, section 5: read by wsproto, and told piece by piece as they come."""

from __future__ import annotations

import os
from collections.abc import Iterator
from dataclasses import dataclass

from wsproto.frame_protocol import CloseReason, Frame, FrameProtocol, Opcode, ParseFailed

__all__ = ["InvalidFrame", "Frame", "FrameCodec", "Opcode"]

MAX_CLOSE_REASON_BYTES = 123  # bytes (section 5.5.1)
FIN_BIT = 0x80
MAX_INTEGER_XOR_BYTES = 512  # bytes; up to here one exclusive or of long integers is faster than four tables
XOR_TABLES = [bytes(a ^ b for a in range(256)) for b in range(256)]


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
        self._parser = FrameProtocol(client=peer_is_server, extensions=[])
        self._peer_is_server = peer_is_server
        self._message_open = False  # a message for this peer has begun and not ended
        self.ended = False

    def feed(self, data: bytes | memoryview) -> None:
        """Bytes of the peer have come."""
        if not self.ended:
            self._parser.receive_bytes(data)  # type: ignore[arg-type]  # they are added to a bytearray

    def frames(self) -> Iterator[Frame | InvalidFrame]:
        """What they bring; may be left, and asked for the rest later. A text's pieces are whole characters; a
        message may come in as many pieces as it had reads and frames."""
        if self.ended:
            return
        try:
            for frame in self._parser.received_frames():
                if frame.opcode is Opcode.CLOSE:
                    self.ended = True
                yield frame
        except ParseFailed as error:
            self.ended = True
            yield InvalidFrame(int(error.code), str(error))

    # For this peer

    def message(self, payload: bytes, is_text: bool, final: bool) -> bytes:
        """A frame with the next piece of a message."""
        opcode = Opcode.CONTINUATION if self._message_open else Opcode.TEXT if is_text else Opcode.BINARY
        self._message_open = not final
        return self._frame(opcode | (FIN_BIT if final else 0), payload)

    def ping(self, payload: bytes) -> bytes:
        """A ping frame with a payload of at most 125 bytes."""
        return self._frame(Opcode.PING | FIN_BIT, payload)

    def pong(self, payload: bytes) -> bytes:
        """A pong frame; its payload is that of the ping that it answers."""
        return self._frame(Opcode.PONG | FIN_BIT, payload)

    def close(self, code: int, reason: str) -> bytes:
        """A close frame; 1005 stands for one without a code."""
        payload = b""
        if code != CloseReason.NO_STATUS_RCVD:
            truncated = reason.encode()[:MAX_CLOSE_REASON_BYTES].decode(errors="ignore")
            payload = code.to_bytes(2) + truncated.encode()
        return self._frame(Opcode.CLOSE | FIN_BIT, payload)

    def _frame(self, first_byte: int, payload: bytes) -> bytes:
        """Written here and not by wsproto, whose own writer took three times as long."""
        length, mask_bit = len(payload), 0x80 if self._peer_is_server else 0
        if length < 126:
            header = bytes((first_byte, mask_bit | length))
        elif length < 1 << 16:
            header = bytes((first_byte, mask_bit | 126)) + length.to_bytes(2)
        else:
            header = bytes((first_byte, mask_bit | 127)) + length.to_bytes(8)
        if not self._peer_is_server:
            return header + payload
        key = os.urandom(4)  # nobody may foresee it (section 5.3)
        return header + key + apply_mask(payload, key)


def apply_mask(payload: bytes, key: bytes) -> bytes:
    """A payload under a mask, or freed of it (section 5.3)."""
    length = len(payload)
    if length <= MAX_INTEGER_XOR_BYTES:
        mask = int.from_bytes((key * (length // 4 + 1))[:length])
        return (int.from_bytes(payload) ^ mask).to_bytes(length)
    out = bytearray(length)
    for offset, byte in enumerate(key):
        out[offset::4] = payload[offset::4].translate(XOR_TABLES[byte])
    return bytes(out)
