"""One connection of a client, from its accept to its end, whatever protocol it speaks."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import time
from abc import abstractmethod
from typing import TYPE_CHECKING

from plovertrail.clock import clock_us
from plovertrail.listeners.connection_state import (
    MAX_DISCARDED_BYTES,
    WRITE_TIMEOUT_S,
    ConnectionState,
)

if TYPE_CHECKING:
    from plovertrail.listeners.listener import Listener


class ClientConnection(asyncio.Protocol):
    """One connection of a client; it carries one request at a time."""

    def __init__(self, listener: Listener, sock: socket.socket) -> None:
        self.listener = listener
        self.sock = sock
        self.transport: asyncio.Transport | None = None
        self.state = ConnectionState.NEW
        self.state_since = time.monotonic()
        self.received_bytes = 0  # of the message that is being read
        self.last_received = 0.0  # when its last bytes came
        self.request_id = 0  # the dispatcher's, of the open request
        self.discarded_bytes = 0
        self.responses = 0

    @abstractmethod
    def reject_incomplete(self, status: int) -> None:
        """Answer a request that did not come in full, and end."""

    def is_writing(self) -> bool:
        """Whether the client is still reading a response and has time left for it."""
        return (
            self.transport is not None
            and not self.transport.is_closing()
            and self.transport.get_write_buffer_size() > 0
            and time.monotonic() < self.state_since + WRITE_TIMEOUT_S
        )

    def release(self) -> None:
        """Release what holds the connection, which has ended."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up; one that was evicted meanwhile is aborted."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.state is ConnectionState.ENDING:
            transport.abort()

    def connection_lost(self, _error: Exception | None) -> None:
        """The connection has ended: an open request is cancelled."""
        self.listener.remove(self)
        self.release()
        if self.state is ConnectionState.OPEN:
            self.listener.dispatcher.disconnected(self.request_id)

    def discard(self, data: bytes) -> None:
        """Drop bytes that nobody will read."""
        self.discarded_bytes += len(data)
        if self.discarded_bytes > MAX_DISCARDED_BYTES and self.transport is not None:
            self.transport.pause_reading()  # to read it all, only to drop it, takes the CPU

    def is_last_response(self) -> bool:
        """Whether the connection should end with this response.

        Clients open a limited number of connections, so on a crowded listener those that send one request and
        stay would keep others from theirs.
        """
        close_after_first = (
            self.state is ConnectionState.OPEN and self.responses == 0 and self.listener.is_over_half_full()
        )
        return self.listener.stopping or close_after_first

    def linger(self) -> None:
        """Start a lingering close (RFC 9112, section 9.6); only while no request is open.

        Sending ends behind what is being written, what still comes is read and dropped, and the client
        closes. A close over unread bytes would reset the connection: the client could lose its response,
        and a request that crosses the close could not be told from one that was taken.
        """
        assert self.transport is not None
        self.listener.set_state(self, ConnectionState.ENDING)
        self.transport.write_eof()

    def peek_unread(self) -> bytes | None:
        """Return the next byte that has come and was not read; None if there is none.

        Raises OSError if the connection has broken.
        """
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None

    def has_nothing_unread(self) -> bool:
        """Whether everything that has come was read."""
        try:
            return not self.peek_unread()
        except OSError:
            return True

    def is_disconnected(self) -> bool:
        """Whether the client has closed its connection, even if the event loop has not read that yet.

        A client that only ends its sending counts as disconnected: nothing distinguishes the two.
        """
        if self.transport is None or self.transport.is_closing():
            return True
        try:
            unread = self.peek_unread()
            # the end may lie behind bytes that came while the request was open
            disconnected = unread == b"" or (unread is not None and self._is_half_closed())
        except OSError:
            disconnected = True
        if disconnected:
            self.transport.abort()  # while nothing is read any more, the end would never be noticed
        return disconnected

    def _is_half_closed(self) -> bool:
        """Whether the kernel has the end of the client's sending, whatever came before it."""
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP)
        return bool(poll.poll(0))

    def abort(self) -> None:
        """End at once, to free the descriptor or because the client has lingered for too long."""
        if self.transport is None:
            self.listener.set_state(self, ConnectionState.ENDING)  # it is aborted when it comes up
            return
        if self.state is ConnectionState.ENDING:
            # a close over unread bytes is a reset, and the last response may be on its way
            with contextlib.suppress(OSError):
                self.sock.recv(MAX_DISCARDED_BYTES)
        self.listener.set_state(self, ConnectionState.ENDING)
        self.transport.abort()

    def last_byte_us(self) -> int:
        """Return when the last byte of the request that has just been read came, by the monotonic clock."""
        return clock_us() - self.listener.dispatcher.suspension.unread_us(self.sock)

    def state_timed_out(self) -> None:
        """End what has lasted too long."""
        if self.state in (ConnectionState.NEW, ConnectionState.READING) and self.received_bytes:
            timeouts = self.listener.timeouts
            slow_until = self.state_since + timeouts.slow_read
            if time.monotonic() > min(self.last_received + timeouts.read_gap, slow_until):
                self.reject_incomplete(408)
        elif self.is_writing():
            return
        elif self.state is ConnectionState.ENDING or self.transport is None:
            self.abort()
        elif self.has_nothing_unread():
            self.linger()
