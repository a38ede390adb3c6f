"""The two connections of one open WebSocket session; parts of messages are forwarded as they come.

For one session and each direction this holds at most HIGH_WATER bytes that the receiver does not read, what
one read brings (READ_BYTES), and the same once more in frames written by this process.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from dataclasses import dataclass

from plovertrail.clock import clock_us
from plovertrail.decisions.websocket_messages import (
    CLIENT,
    SERVER,
    CloseCause,
    CloseReceived,
    ConnectionLost,
    Event,
    ProtocolViolated,
    Side,
    WritingPaused,
    WritingResumed,
)
from plovertrail.decisions.websocket_session import WebSocketSession
from plovertrail.websocket.frames import Frame, FrameCodec, InvalidFrame, Opcode

READ_BYTES = 32 * 1024
HIGH_WATER = 64 * 1024  # bytes; from here on the sender is not read,
LOW_WATER = 16 * 1024  # until this little is left
MAX_FRAMES_PER_TURN = 64  # thousands of tiny frames in one read would block the loop
MAX_DISCARDED_BYTES = 64 * 1024  # received after the close, before the connection is read no further
SESSION_BYTES = 2 * (HIGH_WATER + 2 * READ_BYTES + 1024)  # the bound of one session

# one for all connections: the bytes of a read are copied before the next one
_buffer = memoryview(bytearray(READ_BYTES))


class PeerProtocol(asyncio.BufferedProtocol):
    """The connection to one peer."""

    def __init__(self, relay: WebSocketRelay, side: Side) -> None:
        self.relay = relay
        self.side = side

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the buffer that all connections read into, one after the other."""
        return _buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass the bytes that have come to the relay, which no longer needs them when it returns."""
        self.relay.data_received(self.side, _buffer[:nbytes])

    def pause_writing(self) -> None:
        """This peer reads slowly: the other one is read no further."""
        self.relay.writing_paused(self.side)

    def resume_writing(self) -> None:
        """This peer has read: the other one is read again."""
        self.relay.writing_resumed(self.side)

    def connection_lost(self, _error: Exception | None) -> None:
        """This peer's connection has ended."""
        self.relay.connection_lost(self.side)


@dataclass(slots=True)
class _PeerConnection:
    """The connection to one peer, with its frames and its flow control."""

    transport: asyncio.Transport
    framing: FrameCodec
    frames_wait: bool = False  # received frames wait for the next turn of the loop
    writing_paused: bool = False
    discarded_bytes: int = 0


class WebSocketRelay:
    """One open session.

    Events go to `handle_event`; `client_closed` is called once the client's connection has ended.
    """

    def __init__(
        self,
        session: WebSocketSession,
        client: asyncio.Transport,
        server: asyncio.Transport,
        handle_event: Callable[[Event], object],
        client_closed: Callable[[], None],
    ) -> None:
        self.session = session
        self.session_id = session.session_id
        self.peers = (
            _PeerConnection(client, FrameCodec(peer_is_server=False)),
            _PeerConnection(server, FrameCodec(peer_is_server=True)),
        )
        self.handle_event = handle_event
        self.client_closed = client_closed
        self.ping_payload = b""

    def start(self, from_client: bytes, from_server: bytes) -> None:
        """Take the connections over, with the bytes that have come on them already."""
        for side in Side:
            transport = self.peers[side].transport
            transport.set_write_buffer_limits(high=HIGH_WATER, low=LOW_WATER)
            transport.set_protocol(PeerProtocol(self, side))
        for side, data in ((CLIENT, from_client), (SERVER, from_server)):
            if data:
                self.data_received(side, data)
            self._update_reading(side)

    # Receiving

    def data_received(self, side: Side, data: bytes | memoryview) -> None:
        """Take in bytes of a peer; behind its close frame they are discarded."""
        peer = self.peers[side]
        if peer.framing.ended:
            peer.discarded_bytes += len(data)
            self._update_reading(side)
            return
        self.session.received(side, clock_us())
        peer.framing.feed(data)
        if not peer.frames_wait:
            self._forward_frames(side)

    def _forward_frames(self, side: Side) -> None:
        """Forward the frames that have come, up to MAX_FRAMES_PER_TURN of them."""
        peer = self.peers[side]
        output: list[bytes] = []
        event: Event | None = None
        for count, frame in enumerate(peer.framing.frames(), 1):
            event = self._forward_frame(side, frame, output)
            if event is not None:
                break
            if count == MAX_FRAMES_PER_TURN:
                peer.frames_wait = True
                self._update_reading(side)
                asyncio.get_running_loop().call_soon(self._forward_waiting_frames, side)
                break
        if output:
            self._write(side.other, b"".join(output))
        if event is not None:
            self.handle_event(event)

    def _forward_waiting_frames(self, side: Side) -> None:
        self.peers[side].frames_wait = False
        self._forward_frames(side)
        self._update_reading(side)

    def _forward_frame(self, side: Side, frame: Frame | InvalidFrame, output: list[bytes]) -> Event | None:
        """Append to `output` what the other peer gets; return an event if the frame ends something."""
        if isinstance(frame, InvalidFrame):
            cause = CloseCause.CLIENT_PROTOCOL_ERROR if side is CLIENT else CloseCause.SERVER_PROTOCOL_ERROR
            return ProtocolViolated(self.session_id, cause, frame.code, frame.reason)
        if isinstance(frame.payload, tuple):
            code, reason = frame.payload
            return CloseReceived(self.session_id, side, int(code), reason)
        if frame.opcode is Opcode.PING or frame.opcode is Opcode.PONG:
            assert isinstance(frame.payload, bytes)
            return self._forward_control(side, frame.opcode, frame.payload, output)
        is_text = isinstance(frame.payload, str)
        data = frame.payload.encode() if isinstance(frame.payload, str) else frame.payload
        final = frame.message_finished
        cause_now = self.session.message_part_received(side, clock_us(), len(data), final)
        if cause_now is not None:
            return ProtocolViolated(self.session_id, cause_now)
        if data or final:
            output.append(self.peers[side.other].framing.message(data, is_text, final))
        return None

    def _forward_control(
        self, side: Side, opcode: Opcode, payload: bytes, output: list[bytes]
    ) -> ProtocolViolated | None:
        cause = self.session.count_message(side, clock_us())
        if cause is not None:
            return ProtocolViolated(self.session_id, cause)
        framing = self.peers[side.other].framing
        if opcode is Opcode.PING:
            output.append(framing.ping(payload))
        elif payload != self.ping_payload or not payload:  # answers to this process's pings are not forwarded
            output.append(framing.pong(payload))
        return None

    # Sending

    def _write(self, side: Side, data: bytes) -> None:
        """Write to a peer, unless a close frame has been sent to it."""
        if not self.session.peers[side].close_sent:
            self.peers[side].transport.write(data)

    def send_close(self, side: Side, code: int, reason: str) -> None:
        """Send a close frame to a peer."""
        peer = self.peers[side]
        peer.transport.write(peer.framing.close(code, reason))

    def send_ping(self, side: Side) -> None:
        """Send a ping frame to a peer, with a payload that is random for each relay."""
        if not self.ping_payload:
            self.ping_payload = os.urandom(8)
        self._write(side, self.peers[side].framing.ping(self.ping_payload))

    # Flow control

    def _update_reading(self, side: Side) -> None:
        """Read a peer only as fast as the other one reads what it sends."""
        peer = self.peers[side]
        if peer.transport.is_closing():
            return
        other_is_slow = self.peers[side.other].writing_paused
        if other_is_slow or peer.frames_wait or peer.discarded_bytes > MAX_DISCARDED_BYTES:
            peer.transport.pause_reading()
        else:
            peer.transport.resume_reading()

    def writing_paused(self, side: Side) -> None:
        """A peer's write buffer is full: stop reading the other one."""
        self.peers[side].writing_paused = True
        self._update_reading(side.other)
        self.handle_event(WritingPaused(self.session_id, side))

    def writing_resumed(self, side: Side) -> None:
        """A peer's write buffer has drained: read the other one again."""
        self.peers[side].writing_paused = False
        self._update_reading(side.other)
        self.handle_event(WritingResumed(self.session_id, side))

    # The end

    def close(self, side: Side) -> None:
        """Close a connection once everything has been written to it."""
        self.peers[side].transport.close()

    def abort(self) -> None:
        """Abort both connections."""
        for peer in self.peers:
            peer.transport.abort()

    def connection_lost(self, side: Side) -> None:
        """A peer's connection has ended: forward the frames that still wait, then report it."""
        peer = self.peers[side]
        while peer.frames_wait and not peer.framing.ended:
            peer.frames_wait = False
            self._forward_frames(side)
        peer.frames_wait = False
        if side is CLIENT:
            self.client_closed()
        self.handle_event(ConnectionLost(self.session_id, side))
