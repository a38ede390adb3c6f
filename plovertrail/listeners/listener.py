"""Base class of the listeners: accepts client connections, limits their number and applies timeouts."""

from __future__ import annotations

import asyncio
import enum
import errno
import logging
import socket
import time
from abc import abstractmethod

from plovertrail.dispatch.dispatcher import Dispatcher
from plovertrail.listeners.client_connection import ClientConnection
from plovertrail.listeners.connection_state import (
    EVICTION_ORDER,
    FIRST_REQUEST_GRACE_S,
    ConnectionState,
    ConnectionTimeouts,
    EvictionRule,
)

log = logging.getLogger(__name__)

SWEEP_INTERVAL_S = 0.1
MAX_ACCEPTS_PER_TURN = 16  # accepting hundreds in one turn of the event loop would delay the open connections
ACCEPT_PAUSE_S = 0.05
FAILURES_TO_EVICT = 2  # accepts in a row that find no descriptor; a single failure may pass by itself
MAX_DRAIN_FAILURES = 100  # accepts that fail while the backlog is drained
DESCRIPTORS_MISSING = (errno.EMFILE, errno.ENFILE)  # closing a connection helps
# accept() passes on errors of the connection itself (accept(2), "Error handling")
CONNECTION_ERRORS = (
    errno.ECONNABORTED,
    errno.EPROTO,
    errno.ENETDOWN,
    errno.ENOPROTOOPT,
    errno.EHOSTDOWN,
    errno.ENONET,
    errno.EHOSTUNREACH,
    errno.EOPNOTSUPP,
    errno.ENETUNREACH,
    errno.ETIMEDOUT,
    errno.EPERM,
)
BACKLOG = 1024


class AcceptResult(enum.Enum):
    """How a batch of accepts ended."""

    MORE = "more"  # connections may be waiting
    NONE_WAITING = "none waiting"
    FAILED = "failed"


class Listener:
    """Accepts connections on one listening socket and tracks them by state."""

    def __init__(
        self, dispatcher: Dispatcher, max_clients: int, timeouts: ConnectionTimeouts | None = None
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.dispatcher = dispatcher
        self.max_clients = max_clients
        self.timeouts = timeouts or ConnectionTimeouts()
        # each state in the order of entry, so that the connection that entered it first comes first
        self.clients: dict[ConnectionState, dict[ClientConnection, None]] = {
            state: {} for state in ConnectionState
        }
        self.accepting: set[asyncio.Task[object]] = set()
        self.stopping = False
        self.missing_descriptors = 0  # accepts in a row that found no descriptor
        self.sock: socket.socket | None = None

    @abstractmethod
    def make_connection(self, sock: socket.socket) -> ClientConnection:
        """Return the protocol of a new connection."""

    @property
    def is_ready(self) -> bool:
        """Whether requests are served: endpoints are known, and the listener is not being stopped."""
        return self.dispatcher.pools.has_endpoints and not self.stopping

    def count(self) -> int:
        """Return the number of connections in all states."""
        return sum(len(group) for group in self.clients.values())

    def is_over_half_full(self) -> bool:
        """Whether more than half of the allowed connections are open; new ones should then close early."""
        return self.count() > self.max_clients // 2

    # Accepting

    def listen(self, address: tuple[str, int]) -> None:
        """Listen on an IPv4 address and port; raises OSError if that is not possible."""
        self.listen_on(socket.create_server(address, backlog=BACKLOG))

    def listen_on(self, sock: socket.socket) -> None:
        """Accept connections on a socket that is already listening."""
        self.sock = sock
        self.sock.setblocking(False)
        self.loop.add_reader(self.sock, self.accept)
        self._sweep()

    def accept(self) -> None:
        """Accept one small batch of waiting connections.

        asyncio's own server accepts all waiting connections at once, and stops accepting for a second when
        the process has no free file descriptor.
        """
        self._accept_batch()

    def _accept_batch(self) -> AcceptResult:
        """Accept one batch of waiting connections."""
        assert self.sock is not None
        # a small batch: an evicted connection keeps its descriptor until the next turn of the event loop
        for _ in range(max(1, min(MAX_ACCEPTS_PER_TURN, self.max_clients // 16))):
            if self.count() >= self.max_clients and not self._evict_one():
                self._pause_accepting()
                return AcceptResult.FAILED
            try:
                sock, _address = self.sock.accept()
            except BlockingIOError:
                return AcceptResult.NONE_WAITING
            except OSError as error:
                log.warning("failed to accept a connection error=%r", error)
                if error.errno in CONNECTION_ERRORS:
                    continue  # that connection has failed, and others may be waiting
                self._record_failure(error)
                self._pause_accepting()
                return AcceptResult.FAILED
            self.missing_descriptors = 0
            self._start_connection(sock)
        return AcceptResult.MORE

    def _record_failure(self, error: OSError) -> None:
        """Record a failed accept; make room if descriptors keep missing.

        The request of a client whose connection is closed may be in transit, and is lost then.
        """
        is_missing = error.errno in DESCRIPTORS_MISSING
        self.missing_descriptors = self.missing_descriptors + 1 if is_missing else 0
        if self.missing_descriptors >= FAILURES_TO_EVICT:
            self._evict_one()

    def _start_connection(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        client = self.make_connection(sock)
        self.clients[ConnectionState.NEW][client] = None
        task = self.loop.create_task(self._connect(client, sock))
        self.accepting.add(task)
        task.add_done_callback(self.accepting.discard)

    async def _connect(self, client: ClientConnection, sock: socket.socket) -> None:
        """Attach the protocol to an accepted socket; a connection that has already ended is removed."""
        try:
            await self.loop.connect_accepted_socket(lambda: client, sock)
        except OSError:
            self.remove(client)
            sock.close()

    def _pause_accepting(self) -> None:
        """Stop accepting for ACCEPT_PAUSE_S; with connections waiting, the loop would spin otherwise."""
        if self.sock is not None:
            self.loop.remove_reader(self.sock)
            self.loop.call_later(ACCEPT_PAUSE_S, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self.sock is not None:
            self.loop.add_reader(self.sock, self.accept)

    # Eviction

    def _evict_one(self) -> bool:
        """Close a connection without an open request; return False if there is none.

        The number of client connections is limited so that descriptors remain for endpoints and discovery.
        Connections whose client is still reading a response are evicted last.
        """
        client = self._eviction_candidate(is_writing=False) or self._eviction_candidate(is_writing=True)
        if client is None:
            return False
        client.abort()
        self.remove(client)
        return True

    def _eviction_candidate(self, is_writing: bool) -> ClientConnection | None:
        """Return the connection to evict among those that are (or are not) still writing a response."""
        now = time.monotonic()
        for rule in EVICTION_ORDER:
            for client in self.clients[rule.state]:
                if client.state_since > now - rule.min_age_s:
                    break
                if self._may_evict(client, rule, is_writing):
                    return client
        return None

    @staticmethod
    def _may_evict(client: ClientConnection, rule: EvictionRule, is_writing: bool) -> bool:
        return (
            client.transport is not None
            and not client.holds_complete_request()
            and (rule.partial_requests or client.received_bytes == 0)
            and client.is_writing() is is_writing
            and (rule.state is ConnectionState.ENDING or client.has_nothing_unread())
        )

    # States and timeouts

    def set_state(self, client: ClientConnection, state: ConnectionState) -> None:
        """Change the state of a connection, unless it was removed."""
        if client in self.clients[client.state]:
            del self.clients[client.state][client]
            client.state = state
            client.state_since = time.monotonic()
            self.clients[state][client] = None

    def remove(self, client: ClientConnection) -> None:
        """Stop tracking a connection."""
        self.clients[client.state].pop(client, None)

    def _sweep(self) -> None:
        """Time out the connections that have been in one state for too long, and schedule the next sweep.

        Otherwise a client that sends nothing, or half a request, would hold its connection forever.
        """
        if self.sock is None and not self.count():
            return
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = time.monotonic()
        for state, timeout_s in self.timeouts.states.items():
            timed_out = []
            for client in self.clients[state]:
                if client.state_since > now - timeout_s:
                    break
                timed_out.append(client)
            for client in timed_out:
                client.state_timed_out()

    # Shutdown

    def stop_idle(self) -> None:
        """Close idle connections; from now on each connection closes after its next response.

        A new connection is kept for FIRST_REQUEST_GRACE_S, because its first request may be in transit.
        """
        self.stopping = True
        grace_start = time.monotonic() - FIRST_REQUEST_GRACE_S
        for state in (ConnectionState.IDLE, ConnectionState.NEW):
            for client in list(self.clients[state]):
                in_grace = state is ConnectionState.NEW and client.state_since > grace_start
                may_close = client.received_bytes == 0 and not in_grace
                if may_close and client.transport is not None and client.has_nothing_unread():
                    client.linger()

    def has_pending_responses(self) -> bool:
        """Whether any connection may still send a request or has part of a response left to write."""
        return any(
            state is not ConnectionState.ENDING or client.is_writing()
            for state, group in self.clients.items()
            for client in group
        )

    def drain_backlog(self) -> None:
        """Accept the connections in the kernel's backlog, then stop listening.

        Closing the listening socket resets the connections in its backlog, and a request that was already
        received on one of them is lost. So a failed accept, which may pass, does not end this.
        """
        failures = 0
        while self.sock is not None and failures < MAX_DRAIN_FAILURES:
            result = self._accept_batch()
            if result is AcceptResult.NONE_WAITING:
                break
            failures += result is AcceptResult.FAILED
        self.stop_listening()

    def stop_listening(self) -> None:
        """Close the listening socket; open connections stay open."""
        if self.sock is not None:
            self.loop.remove_reader(self.sock)
            self.sock.close()
            self.sock = None
