"""The two connections of one open socket: pieces of messages are passed on as they come, both ways.

Bound of what is held for one socket, whatever its peers do: for each direction HIGH_WATER bytes that the
receiver doesn't take, what one read brings (READ_BYTES), and the same once more in frames of our own.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable

from plovertrail.clock import clock_us
from plovertrail.decisions.sockets import (
    CLIENT,
    SERVER,
    Blocked,
    Cause,
    CloseSeen,
    Event,
    Lost,
    Side,
    Socket,
    Unblocked,
    Violated,
)
from plovertrail.websocket.frames import Broken, Frame, Framing, Opcode

READ_BYTES = 32 * 1024
HIGH_WATER = 64 * 1024  # from here on the sender is not read,
LOW_WATER = 16 * 1024  # until so little is left
FRAMES_A_TURN = 64  # hazard: thousands of tiny frames in one read would hold the loop up
MOST_DISCARDED = 64 * 1024  # bytes that nobody wants, before they are not even read
SOCKET_BYTES = 2 * (HIGH_WATER + 2 * READ_BYTES + 1024)  # the bound of one socket

# one for all connections: what a read brings is taken over before the next one
_buffer = memoryview(bytearray(READ_BYTES))


class End(asyncio.BufferedProtocol):
    """The connection to one peer."""

    def __init__(self, relay: Relay, side: Side) -> None:
        self.relay = relay
        self.side = side

    def get_buffer(self, sizehint: int) -> memoryview:
        """The buffer that all ends read into, one after the other."""
        return _buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Hand the bytes that have come to the relay, which is done with them when it returns."""
        self.relay.read(self.side, _buffer[:nbytes])

    def pause_writing(self) -> None:
        """This side reads slowly: the other side is read no further."""
        self.relay.blocked(self.side)

    def resume_writing(self) -> None:
        """This side has read: the other side is read again."""
        self.relay.unblocked(self.side)

    def connection_lost(self, error: Exception | None) -> None:
        """This side's connection is over."""
        self.relay.lost(self.side)


class Relay:
    """One open socket. Events go to `tell`; `client_gone` is called once its client's connection is down."""

    def __init__(
        self,
        socket: Socket,
        client: asyncio.Transport,
        server: asyncio.Transport,
        tell: Callable[[Event], object],
        client_gone: Callable[[], None],
    ) -> None:
        self.socket = socket
        self.ident = socket.ident
        self.transports = (client, server)
        self.framings = (Framing(of_server=False), Framing(of_server=True))
        self.tell = tell
        self.client_gone = client_gone
        self.ping_payload = b""
        self.waits = [False, False]  # whether frames that have come wait for their turn
        self.stopped = [False, False]  # whether a peer's writes are held up
        self.discarded = [0, 0]

    def start(self, from_client: bytes, from_server: bytes) -> None:
        """Take the connections over, with what has come on them already."""
        for side, transport in zip(Side, self.transports, strict=True):
            transport.set_write_buffer_limits(high=HIGH_WATER, low=LOW_WATER)
            transport.set_protocol(End(self, side))
        for side, data in ((CLIENT, from_client), (SERVER, from_server)):
            if data:
                self.read(side, data)
            self.choose_reading(side)

    # What comes

    def read(self, side: Side, data: bytes | memoryview) -> None:
        """Bytes of one side have come; behind its last frame they are dropped."""
        framing = self.framings[side]
        if framing.ended:
            self.discarded[side] += len(data)
            self.choose_reading(side)
            return
        self.socket.heard(side, clock_us())
        framing.feed(data)
        if not self.waits[side]:
            self.proceed(side)

    def proceed(self, side: Side) -> None:
        """Pass frames on, a lot at a time."""
        out: list[bytes] = []
        event: Event | None = None
        for count, item in enumerate(self.framings[side].frames(), 1):
            event = self.taken(side, item, out)
            if event is not None:
                break
            if count == FRAMES_A_TURN:
                self.waits[side] = True
                self.choose_reading(side)
                asyncio.get_running_loop().call_soon(self.proceed_later, side)
                break
        if out:
            self.write(side.other, b"".join(out))
        if event is not None:
            self.tell(event)

    def proceed_later(self, side: Side) -> None:
        """Go on with frames that have waited for the next turn of the loop."""
        self.waits[side] = False
        self.proceed(side)
        self.choose_reading(side)

    def taken(self, side: Side, item: Frame | Broken, out: list[bytes]) -> Event | None:
        """One frame, or piece of one: what goes on is added to `out`; an event if it ends something."""
        if isinstance(item, Broken):
            cause = Cause.CLIENT_FAULT if side is CLIENT else Cause.SERVER_FAULT
            return Violated(self.ident, cause, item.code, item.why)
        opcode, payload, other = item.opcode, item.payload, self.framings[side.other]
        if isinstance(payload, tuple):
            return CloseSeen(self.ident, side, int(payload[0]), payload[1])
        if opcode is Opcode.PING or opcode is Opcode.PONG:
            assert isinstance(payload, bytes)
            cause_now = self.socket.counted(side, clock_us())
            if cause_now is not None:
                return Violated(self.ident, cause_now)
            if opcode is Opcode.PING:
                out.append(other.ping(payload))
            elif payload != self.ping_payload or not payload:  # our own pings are not the other's matter
                out.append(other.pong(payload))
            return None
        final, text = item.message_finished, isinstance(payload, str)
        data = payload.encode() if isinstance(payload, str) else payload
        cause_now = self.socket.piece(side, clock_us(), len(data), final)
        if cause_now is not None:
            return Violated(self.ident, cause_now)
        if data or final:
            out.append(other.message(data, text, final))
        return None

    # What goes

    def write(self, side: Side, data: bytes) -> None:
        """Nothing follows a close frame."""
        if not self.socket.close_sent[side]:
            self.transports[side].write(data)

    def send_close(self, side: Side, code: int, reason: str) -> None:
        """Write a close frame to one side."""
        self.transports[side].write(self.framings[side].close(code, reason))

    def send_ping(self, side: Side) -> None:
        """Write a ping frame to one side, with a payload that is random for each relay."""
        if not self.ping_payload:
            self.ping_payload = os.urandom(8)
        self.write(side, self.framings[side].ping(self.ping_payload))

    # Back-pressure

    def choose_reading(self, side: Side) -> None:
        """A peer is read only as fast as the other takes what it sends."""
        transport = self.transports[side]
        if transport.is_closing():
            return
        if self.stopped[side.other] or self.waits[side] or self.discarded[side] > MOST_DISCARDED:
            transport.pause_reading()
        else:
            transport.resume_reading()

    def blocked(self, side: Side) -> None:
        """A side's write buffer is full: read no more of the other one."""
        self.stopped[side] = True
        self.choose_reading(side.other)
        self.tell(Blocked(self.ident, side))

    def unblocked(self, side: Side) -> None:
        """A side's write buffer has room again."""
        self.stopped[side] = False
        self.choose_reading(side.other)
        self.tell(Unblocked(self.ident, side))

    # The end

    def shut(self, side: Side) -> None:
        """Close once what was written is out."""
        self.transports[side].close()

    def cut(self) -> None:
        """Abort both connections."""
        for transport in self.transports:
            transport.abort()

    def lost(self, side: Side) -> None:
        """A side's connection is over: pass on what it sent last, then tell that it is lost."""
        # hazard: what its peer sent last may still wait for its turn
        while self.waits[side] and not self.framings[side].ended:
            self.waits[side] = False
            self.proceed(side)
        self.waits[side] = False
        if side is CLIENT:
            self.client_gone()
        self.tell(Lost(self.ident, side))
