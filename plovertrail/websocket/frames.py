"""WebSocket frames (RFC 6455, section 5), decoded incrementally by wsproto and encoded here."""

from __future__ import annotations

import os
from collections.abc import Iterator
from dataclasses import dataclass

from wsproto.frame_protocol import CloseReason, Frame, FrameProtocol, Opcode, ParseFailed

__all__ = ["Frame", "FrameCodec", "InvalidFrame", "Opcode"]

MAX_CLOSE_REASON_BYTES = 123  # section 5.5.1
FIN_BIT = 0x80
# Up to this length one XOR of two long integers is faster than translating by four tables.
MAX_INTEGER_XOR_BYTES = 512
XOR_TABLES = [bytes(a ^ b for a in range(256)) for b in range(256)]


@dataclass(frozen=True, slots=True)
class InvalidFrame:
    """A peer violated the protocol; `code` and `reason` are for the close frame."""

    code: int
    reason: str


class FrameCodec:
    """Decodes the frames of one peer and encodes those sent to it.

    Message data is passed on as it arrives. Besides bytes that were fed and not yet iterated over, at most a
    frame header of 14 bytes or a control frame of 131 bytes is buffered. Nothing is read after a close frame
    or an invalid frame.
    """

    def __init__(self, peer_is_server: bool) -> None:
        self._parser = FrameProtocol(client=peer_is_server, extensions=[])
        self._peer_is_server = peer_is_server
        self._message_open = False  # a message to this peer has begun and not ended
        self.ended = False

    def feed(self, data: bytes | memoryview) -> None:
        """Add bytes received from the peer."""
        if not self.ended:
            self._parser.receive_bytes(data)  # type: ignore[arg-type]  # they are added to a bytearray

    def frames(self) -> Iterator[Frame | InvalidFrame]:
        """Yield the frames received so far; a caller may stop early and call again for the rest.

        A message may arrive in as many pieces as it had reads and frames. Each piece of a text message holds
        whole characters.
        """
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

    # Encoding

    def message(self, payload: bytes, is_text: bool, final: bool) -> bytes:
        """Encode a frame with the next piece of a message."""
        opcode = Opcode.CONTINUATION if self._message_open else Opcode.TEXT if is_text else Opcode.BINARY
        self._message_open = not final
        return self._frame(opcode | (FIN_BIT if final else 0), payload)

    def ping(self, payload: bytes) -> bytes:
        """Encode a ping frame; its payload is at most 125 bytes."""
        return self._frame(Opcode.PING | FIN_BIT, payload)

    def pong(self, payload: bytes) -> bytes:
        """Encode a pong frame; its payload is that of the ping it answers."""
        return self._frame(Opcode.PONG | FIN_BIT, payload)

    def close(self, code: int, reason: str) -> bytes:
        """Encode a close frame; code 1005 makes one without a code, and a long reason is truncated."""
        payload = b""
        if code != CloseReason.NO_STATUS_RCVD:
            truncated = reason.encode()[:MAX_CLOSE_REASON_BYTES].decode(errors="ignore")
            payload = code.to_bytes(2) + truncated.encode()
        return self._frame(Opcode.CLOSE | FIN_BIT, payload)

    def _frame(self, first_byte: int, payload: bytes) -> bytes:
        """Encode a frame; wsproto's own encoder takes three times as long."""
        length, mask_bit = len(payload), 0x80 if self._peer_is_server else 0
        if length < 126:
            header = bytes((first_byte, mask_bit | length))
        elif length < 1 << 16:
            header = bytes((first_byte, mask_bit | 126)) + length.to_bytes(2)
        else:
            header = bytes((first_byte, mask_bit | 127)) + length.to_bytes(8)
        if not self._peer_is_server:
            return header + payload
        key = os.urandom(4)  # must be unpredictable (section 5.3)
        return header + key + apply_mask(payload, key)


def apply_mask(payload: bytes, key: bytes) -> bytes:
    """Mask or unmask a payload (section 5.3)."""
    length = len(payload)
    if length <= MAX_INTEGER_XOR_BYTES:
        mask = int.from_bytes((key * (length // 4 + 1))[:length])
        return (int.from_bytes(payload) ^ mask).to_bytes(length)
    out = bytearray(length)
    for offset, byte in enumerate(key):
        out[offset::4] = payload[offset::4].translate(XOR_TABLES[byte])
    return bytes(out)
