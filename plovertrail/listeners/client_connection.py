"""Base class of client connections: their state, timeouts and closing, whatever the protocol."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import select
import socket
import termios
import time
from abc import abstractmethod
from array import array
from typing import TYPE_CHECKING

from plovertrail.clock import clock_us
from plovertrail.listeners.connection_state import (
    MAX_DISCARDED_BYTES,
    WRITE_TIMEOUT_S,
    ConnectionState,
)

if TYPE_CHECKING:
    from plovertrail.listeners.listener import Listener


INT_TYPE = "i"  # of array


class ClientConnection(asyncio.Protocol):
    """One connection of a client; it carries one request at a time."""

    def __init__(self, listener: Listener, sock: socket.socket) -> None:
        self.listener = listener
        self.sock = sock
        self.transport: asyncio.Transport | None = None
        self.state = ConnectionState.NEW
        self.state_since = time.monotonic()
        self.received_bytes = 0  # of the message that is being read
        self.last_received = 0.0  # when its last bytes arrived
        self.request_id = 0  # the dispatcher's id of the open request
        self.discarded_bytes = 0
        self.responses = 0

    @abstractmethod
    def reject_incomplete(self, status: int) -> None:
        """Respond to an incomplete request with a status, and close the connection."""

    def is_writing(self) -> bool:
        """Whether part of a response is still to be written and its time is not over."""
        return (
            self.transport is not None
            and not self.transport.is_closing()
            and self.transport.get_write_buffer_size() > 0
            and time.monotonic() < self.state_since + WRITE_TIMEOUT_S
        )

    def holds_complete_request(self) -> bool:
        """Whether a complete request waits to be processed; closing the connection would lose it."""
        return False

    def release(self) -> None:
        """Release the resources of the connection after it has ended."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; abort a connection that was evicted in the meantime."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.state is ConnectionState.ENDING:
            transport.abort()

    def connection_lost(self, _error: Exception | None) -> None:
        """Remove the connection, and tell the dispatcher if a request was open."""
        self.listener.remove(self)
        self.release()
        if self.state is ConnectionState.OPEN:
            self.listener.dispatcher.disconnected(self.request_id)

    def discard(self, data: bytes) -> None:
        """Drop received bytes; stop reading after MAX_DISCARDED_BYTES."""
        self.discarded_bytes += len(data)
        if self.discarded_bytes > MAX_DISCARDED_BYTES and self.transport is not None:
            self.transport.pause_reading()  # reading any amount only to drop it wastes CPU time

    def is_last_response(self) -> bool:
        """Whether the connection should close after this response.

        The number of connections is limited. With more than half of them open, clients that send one request
        and stay connected would keep other clients out.
        """
        close_after_first = (
            self.state is ConnectionState.OPEN and self.responses == 0 and self.listener.is_over_half_full()
        )
        return self.listener.stopping or close_after_first

    def linger(self) -> None:
        """Start a lingering close (RFC 9112, section 9.6); only while no request is open.

        The sending side is shut down after the pending data, later input is read and dropped, and the client
        closes. Closing with unread bytes would reset the connection: the client could lose its response, and
        could not tell whether a request that crosses the close was processed.
        """
        assert self.transport is not None
        self.listener.set_state(self, ConnectionState.ENDING)
        try:
            self.transport.write_eof()
        except OSError:  # the client has reset the connection, and the event loop has not noticed it yet
            self.transport.abort()

    def peek_unread(self) -> bytes | None:
        """Return the next unread byte without consuming it; empty at the end of input, None if there is none.

        Raises OSError if the connection is broken.
        """
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None

    def has_nothing_unread(self) -> bool:
        """Whether all received bytes have been read."""
        try:
            return not self.peek_unread()
        except OSError:
            return True

    def count_unread(self) -> int:
        """Return how many bytes wait in the kernel."""
        count = array(INT_TYPE, [0])
        fcntl.ioctl(self.sock, termios.FIONREAD, count)
        return count[0]

    def is_disconnected(self) -> bool:
        """Whether the client has closed its connection, even if the event loop has not noticed it yet.

        A client that has only shut down its sending side counts as disconnected: both look the same here.
        """
        if self.transport is None or self.transport.is_closing():
            return True
        try:
            unread = self.peek_unread()
            # the end of input may follow unread bytes that arrived while the request was open
            disconnected = unread == b"" or (unread is not None and self._is_half_closed())
        except OSError:
            disconnected = True
        if disconnected:
            self.transport.abort()  # with reading paused, the end of input would never be noticed
        return disconnected

    def _is_half_closed(self) -> bool:
        """Whether the kernel has received the end of the client's input, even behind unread bytes."""
        poll = select.poll()
        poll.register(self.sock, select.POLLRDHUP)
        return bool(poll.poll(0))

    def abort(self) -> None:
        """Close at once, to free the descriptor or because the client has not closed in time."""
        if self.transport is None:
            self.listener.set_state(self, ConnectionState.ENDING)  # connection_made() aborts it
            return
        if self.state is ConnectionState.ENDING:
            # closing with unread bytes resets the connection, and the last response may be in transit
            with contextlib.suppress(OSError):
                self.sock.recv(MAX_DISCARDED_BYTES)
        self.listener.set_state(self, ConnectionState.ENDING)
        self.transport.abort()

    def last_byte_us(self) -> int:
        """Return when the last byte of the request just read arrived, on the monotonic clock."""
        return clock_us() - self.listener.dispatcher.suspension.unread_us(self.sock)

    def state_timed_out(self) -> None:
        """Close the connection, or reject its incomplete request, after its state has timed out."""
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
