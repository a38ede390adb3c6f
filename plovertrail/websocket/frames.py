"""Frames of RFC 6455, section 5, read and written by wsproto; what comes is told piece by piece."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from wsproto.frame_protocol import CloseReason, Frame, FrameProtocol, Opcode, ParseFailed

__all__ = ["Broken", "Frame", "Framing", "Opcode"]

MOST_CLOSE_REASON = 123  # bytes (section 5.5.1)


@dataclass(frozen=True, slots=True)
class Broken:
    """A peer has broken the protocol: the code to close with, and why."""

    code: int
    why: str


class Framing:
    """One peer's frames. Bound: besides what is fed and not yet asked for, a head of 14 bytes or a control
    frame of 131 is held; pieces of messages are passed on as they come. After a close frame or a fault
    nothing more is read."""

    def __init__(self, of_server: bool) -> None:
        self._protocol = FrameProtocol(client=of_server, extensions=[])
        self.ended = False

    def feed(self, data: bytes | memoryview) -> None:
        """Bytes of the peer have come."""
        if not self.ended:
            self._protocol.receive_bytes(data)  # type: ignore[arg-type]  # they are added to a bytearray

    def frames(self) -> Iterator[Frame | Broken]:
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
            yield Broken(int(error.code), str(error))

    def message(self, payload: bytes | str, final: bool) -> bytes:
        """A frame with the next piece of a message for this peer."""
        return bytes(self._protocol.send_data(payload, final))

    def ping(self, payload: bytes) -> bytes:
        return bytes(self._protocol.ping(payload))

    def pong(self, payload: bytes) -> bytes:
        return bytes(self._protocol.pong(payload))

    def close(self, code: int, reason: str) -> bytes:
        """A close frame; 1005 stands for one without a code."""
        if code == CloseReason.NO_STATUS_RCVD:
            return bytes(self._protocol.close())
        cut = reason.encode()[:MOST_CLOSE_REASON].decode(errors="ignore")
        return bytes(self._protocol.close(code, cut))
