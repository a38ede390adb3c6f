"""Connections of clients: from their accept to their end, bounded in number and time, whatever they speak."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import logging
import select
import socket
import time
from abc import abstractmethod
from dataclasses import dataclass, field

from plovertrail.clock import clock_us
from plovertrail.dispatch.dispatcher import Dispatcher

log = logging.getLogger(__name__)

# The protocol page bounds how long a request waits, from its last byte on, and not how long its bytes or an
# answer's take; so the next ones are bounds of our own on what a client may hold without asking for anything.
LONGEST_READ_S = 2.4  # to connect and send a whole request, and to send each later one;
LONGEST_SLOW_S = 6.0  # or so long, as long as its bytes keep coming
LONGEST_PAUSE_S = 0.8
LONGEST_IDLE_S = 60.0
LONGEST_LINGER_S = 1.0  # how long a connection that is to end waits for its client's end, once all is written
LONGEST_WRITE_S = 30.0  # for a client to read its answer
GREETING_S = 0.25  # a new connection's first request is on its way for so long; half of what a stop waits
MOST_DISCARDED = 64 * 1024  # of what still comes on such a connection; the rest is not even read
SWEEP_S = 0.1
ACCEPTS_A_TURN = 16  # hazard: hundreds of connections at once would keep what is open waiting
NO_ROOM_S = 0.05


class State(enum.Enum):
    """Of a connection of the application."""

    FRESH = enum.auto()  # no whole request has come yet
    IDLE = enum.auto()  # between requests
    READING = enum.auto()  # part of a further request has come
    OPEN = enum.auto()  # a request has been taken and not answered
    ENDING = enum.auto()  # it has its last answer
    SOCKET = enum.auto()  # it carries a WebSocket, which has limits of its own


LONGEST_S = {
    State.FRESH: LONGEST_READ_S,
    State.IDLE: LONGEST_IDLE_S,
    State.READING: LONGEST_READ_S,
    State.ENDING: LONGEST_LINGER_S,
}  # an open request has its own deadline


@dataclass(frozen=True, slots=True)
class Patience:
    """How long a listener's connections may take, in seconds."""

    states: dict[State, float] = field(default_factory=lambda: LONGEST_S)
    slow: float = LONGEST_SLOW_S  # for a request whose bytes keep coming
    pause: float = LONGEST_PAUSE_S  # between them, once the state's time is over

    @classmethod
    def of(cls, read_s: float, idle_s: float) -> Patience:
        """One time to send a request, however its bytes come, and one between requests."""
        states = {
            State.FRESH: read_s,
            State.IDLE: idle_s,
            State.READING: read_s,
            State.ENDING: LONGEST_LINGER_S,
        }
        return cls(states, read_s, 0.0)


# who makes room: (state, for how long it has been in it, whether half a request may have come)
LEAST_USE = (
    (State.ENDING, 0.0, True),
    (State.FRESH, GREETING_S, False),
    (State.IDLE, 2.0, True),
    (State.FRESH, 0.0, False),
    (State.IDLE, 0.0, True),
    (State.FRESH, 0.0, True),
    (State.READING, 0.0, True),
)


class ClientConnection(asyncio.Protocol):
    """One connection of a client; it carries one request at a time."""

    def __init__(self, listener: Listener, sock: socket.socket) -> None:
        self.listener = listener
        self.sock = sock
        self.transport: asyncio.Transport | None = None
        self.state = State.FRESH
        self.since = time.monotonic()  # when that state began
        self.size = 0  # of what has come of the message being read
        self.heard = 0.0  # when the last bytes of it came
        self.ident = 0  # the host's name for the open request
        self.discarded = 0
        self.answered = 0

    @abstractmethod
    def refuse(self, status: int) -> None:
        """Answer what is no whole request, and end."""

    def writing(self) -> bool:
        """Whether its client is still reading an answer, and has time left for it."""
        return (
            self.transport is not None
            and not self.transport.is_closing()
            and self.transport.get_write_buffer_size() > 0
            and time.monotonic() < self.since + LONGEST_WRITE_S
        )

    def release(self) -> None:
        """The connection has gone: let go of what holds it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up; one that was closed meanwhile to make room is aborted."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.state is State.ENDING:  # closed to make room while it came up
            transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is over: an open request is given up."""
        self.listener.remove(self)
        self.release()
        if self.state is State.OPEN:
            self.listener.dispatcher.disconnected(self.ident)

    def discard(self, data: bytes) -> None:
        """Bytes that nobody will read."""
        self.discarded += len(data)
        if self.discarded > MOST_DISCARDED and self.transport is not None:
            self.transport.pause_reading()  # hazard: to read it all, only to drop it, takes the CPU

    def last_answer(self) -> bool:
        """Whether the connection had better end with this answer. Hazard: clients have a bound of their own;
        those who ask once and stay keep the others from asking."""
        only_one = self.state is State.OPEN and self.answered == 0 and self.listener.crowded()
        return self.listener.stopping or only_one

    def linger(self) -> None:
        """A lingering close (RFC 9112, section 9.6), only where no request is open: our sending ends behind
        what is being written, what still comes is read and dropped, and the client closes. Hazard: closing
        with bytes unread resets the connection; the client may lose its answer, and a request that crosses
        the close could not be told from one that was taken."""
        assert self.transport is not None
        self.listener.move(self, State.ENDING)
        self.transport.write_eof()

    def unread(self) -> bytes | None:
        """The next byte that has come and was not read; None: nothing has come. Raises OSError if the
        connection has broken."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None

    def quiet(self) -> bool:
        """Whether nothing has come that was not read yet."""
        try:
            return not self.unread()
        except OSError:
            return True

    def left(self) -> bool:
        """Whether the client has closed its connection, also if the loop has not come to read that. Who ends
        its sending alone counts as gone as well: nothing tells the two apart."""
        if self.transport is None or self.transport.is_closing():
            return True
        try:
            unread = self.unread()
            # hazard: its end may lie behind bytes that came while the request was open
            gone = unread == b"" or (unread is not None and self.half_closed())
        except OSError:
            gone = True
        if gone:
            self.transport.abort()  # hazard: where nothing is read any more, its end would never be
        return gone

    def half_closed(self) -> bool:
        """Whether the system has its end, whatever came before."""
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP)
        return bool(poll.poll(0))

    def abort(self) -> None:
        """End it at once, for its descriptor or because it has lingered for long enough."""
        if self.transport is None:
            self.listener.move(self, State.ENDING)  # it is cut as it comes up
            return
        if self.state is State.ENDING:
            # hazard: a close over unread bytes is a reset, and the last answer may be on its way
            with contextlib.suppress(OSError):
                self.sock.recv(MOST_DISCARDED)
        self.listener.move(self, State.ENDING)
        self.transport.abort()

    def arrived_us(self) -> int:
        """When the last byte of the request that has just been read came, by the module's clock."""
        return clock_us() - self.listener.dispatcher.suspension.unread_us(self.sock)

    def overdue(self) -> None:
        """Its state has lasted too long."""
        if self.state in (State.FRESH, State.READING) and self.size:
            now, patience = time.monotonic(), self.listener.patience
            if now > min(self.heard + patience.pause, self.since + patience.slow):
                self.refuse(408)
        elif self.writing():
            pass
        elif self.state is State.ENDING or self.transport is None:
            self.abort()
        elif self.quiet():
            self.linger()


class Listener:
    """All connections of one listener."""

    def __init__(self, dispatcher: Dispatcher, most_clients: int, patience: Patience | None = None) -> None:
        self.loop = asyncio.get_running_loop()
        self.dispatcher = dispatcher
        self.most_clients = most_clients
        self.patience = patience or Patience()
        # each in the order in which its state began, so that the oldest is found at once
        self.clients: dict[State, dict[ClientConnection, None]] = {state: {} for state in State}
        self.coming: set[asyncio.Task[object]] = set()
        self.stopping = False
        self.sock: socket.socket | None = None

    @abstractmethod
    def connection(self, sock: socket.socket) -> ClientConnection:
        """The protocol of a new connection."""

    @property
    def ready(self) -> bool:
        """Whether requests are served: servers are known, and the listener is not being stopped."""
        return self.dispatcher.pools.has_endpoints and not self.stopping

    def count(self) -> int:
        """Open connections in all states."""
        return sum(len(group) for group in self.clients.values())

    def crowded(self) -> bool:
        """Whether so many connections are open that new ones had better not stay."""
        return self.count() > self.most_clients // 2

    def listen(self, address: tuple[str, int]) -> None:
        """Listen on an IPv4 address and port; raises OSError if that is not possible."""
        self.listen_on(socket.create_server(address, backlog=1024))

    def listen_on(self, sock: socket.socket) -> None:
        """Accept connections on a socket that listens already."""
        self.sock = sock
        self.sock.setblocking(False)
        self.loop.add_reader(self.sock, self.accept)
        self.sweep()

    def accept(self) -> None:
        """Take what waits, in small lots. Hazard: asyncio's own server takes all that waits at once, and with
        no descriptor left it stops for a second."""
        self.accept_lot()

    def accept_lot(self) -> bool:
        """Whether there may be more."""
        assert self.sock is not None
        # hazard: what was cut to make room holds its descriptor until the next turn
        for _ in range(max(1, min(ACCEPTS_A_TURN, self.most_clients // 16))):
            if self.count() >= self.most_clients and not self.make_room():
                self.pause()
                return False
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return False
            except OSError as error:
                log.warning("no connection can be taken: %r", error)
                self.make_room()
                self.pause()
                return False
            sock.setblocking(False)
            client = self.connection(sock)
            self.clients[State.FRESH][client] = None
            task = self.loop.create_task(self.take(client, sock))
            self.coming.add(task)
            task.add_done_callback(self.coming.discard)
        return True

    async def take(self, client: ClientConnection, sock: socket.socket) -> None:
        """Bring up an accepted connection; one that is gone already is forgotten."""
        try:
            await self.loop.connect_accepted_socket(lambda: client, sock)
        except OSError:
            self.remove(client)
            sock.close()

    def pause(self) -> None:
        """Take no more for a moment, or the loop would turn without a rest."""
        if self.sock is not None:
            self.loop.remove_reader(self.sock)
            self.loop.call_later(NO_ROOM_S, self.resume)

    def resume(self) -> None:
        """Accept again after a pause, if the listener has not been stopped."""
        if self.sock is not None:
            self.loop.add_reader(self.sock, self.accept)

    def make_room(self) -> bool:
        """Of the connections with no request open the one goes that has been of no use for longest, half a
        request last, and those that still read an answer after all others. Hazard: without a bound no
        descriptor would be left for upstreams and discovery."""
        client = self.least_use(reading=False) or self.least_use(reading=True)
        if client is None:
            return False
        client.abort()
        self.remove(client)
        return True

    def least_use(self, reading: bool) -> ClientConnection | None:
        """The one to go, of those that read an answer, or that don't."""
        now = time.monotonic()
        for state, age_s, half in LEAST_USE:
            for client in self.clients[state]:
                if client.since > now - age_s:
                    break
                if (
                    client.transport is not None
                    and (half or client.size == 0)
                    and client.writing() is reading
                    and (state is State.ENDING or client.quiet())
                ):
                    return client
        return None

    def move(self, client: ClientConnection, state: State) -> None:
        """Its state changes."""
        if client in self.clients[client.state]:
            del self.clients[client.state][client]
            client.state, client.since = state, time.monotonic()
            self.clients[state][client] = None

    def remove(self, client: ClientConnection) -> None:
        """Forget a connection."""
        self.clients[client.state].pop(client, None)

    def sweep(self) -> None:
        """Hazard: one who says nothing, or half of it, would hold a connection for ever."""
        if self.sock is None and not self.count():
            return
        self.loop.call_later(SWEEP_S, self.sweep)
        now = time.monotonic()
        for state, longest_s in self.patience.states.items():
            overdue = []
            for client in self.clients[state]:
                if client.since > now - longest_s:
                    break
                overdue.append(client)
            for client in overdue:
                client.overdue()

    def stop_idle(self) -> None:
        """From now on each answer is the last one of its connection; idle connections end. Hazard: a new one
        whose request is on its way would have come for nothing, and so it has the time for that."""
        self.stopping = True
        greeted = time.monotonic() - GREETING_S
        for state in (State.IDLE, State.FRESH):
            for client in list(self.clients[state]):
                coming = state is State.FRESH and client.since > greeted
                if client.size == 0 and not coming and client.transport is not None and client.quiet():
                    client.linger()

    def owing(self) -> bool:
        """Whether any connection may still bring a request or has part of an answer to come."""
        return any(
            state is not State.ENDING or client.writing()
            for state, group in self.clients.items()
            for client in group
        )

    def drain_backlog(self) -> None:
        """Take what the system has accepted already, and listen no more. Hazard: closed with the socket,
        such a connection is reset, with the request that may have come on it."""
        while self.sock is not None and self.accept_lot():
            pass
        self.stop_listening()

    def stop_listening(self) -> None:
        """Close the listening socket; open connections go on."""
        if self.sock is not None:
            self.loop.remove_reader(self.sock)
            self.sock.close()
            self.sock = None
