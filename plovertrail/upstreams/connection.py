"""A connection to an endpoint, which carries one attempt at a time."""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import Protocol

import httptools

from plovertrail.decisions.events import Outcome
from plovertrail.dispatch.types import TransportResult, Tunnel, WebSocketHandshake
from plovertrail.upstreams.attempt import Attempt
from plovertrail.upstreams.response_reader import ResponseReader, ResponseRules

log = logging.getLogger(__name__)


class ConnectionOwner(Protocol):
    """What a connection asks of its pool."""

    @property
    def rules(self) -> ResponseRules:
        """Which responses are accepted."""

    def turn_is_stale(self) -> bool:
        """Whether the process was paused in this turn of the loop."""

    def keep_idle(self, connection: Connection) -> None:
        """Keep a connection for later requests, or close it."""

    def record_reuse(self, idle_us: int, broke: bool) -> None:
        """Record whether a connection that had been idle for so long broke on reuse."""

    def add(self, connection: Connection) -> None:
        """Count a connection from now on."""

    def remove(self, connection: Connection) -> None:
        """Count a connection no more."""


class Connection(asyncio.Protocol):
    """A connection to one endpoint; `pool` counts it from now on."""

    def __init__(self, pool: ConnectionOwner, endpoint_id: int, sock: socket.socket) -> None:
        self.pool = pool
        self.endpoint_id = endpoint_id
        self.endpoint_removed = False  # it is not in the list any more, or has moved
        self.sock = sock
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.reader: ResponseReader | None = None  # of the attempt that was sent
        self.idle_since_us = 0
        self.idle_us = 0  # for how long it was idle before the request that it carries
        self.closed = False
        self.unsent = False  # part of the request is still in the write buffer
        pool.add(self)

    # What asyncio calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the attempt that waits for the connection if it may still begin, else end it unsent."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # so that we hear whether all has been written
        attempt = self.attempt
        # An endpoint that drains gets nothing new, however long ago the attempt began; and a process that was
        # paused in this turn doesn't know yet which endpoints drain.
        if self.endpoint_removed or (attempt is not None and self.pool.turn_is_stale()):
            self.attempt = None
            self.close()
            if attempt is not None:
                attempt.end(TransportResult(Outcome.CONNECT_FAILED))
        elif attempt is None:
            self.pool.keep_idle(self)
        elif attempt.may_begin():
            self.send(attempt)
        else:  # its connection may have taken seconds to come up
            self.attempt = None
            self.pool.keep_idle(self)
            attempt.end(TransportResult(Outcome.NOT_SENT))

    def pause_writing(self) -> None:
        """Part of the request is still in the write buffer: the endpoint can't have all of it."""
        self.unsent = True

    def resume_writing(self) -> None:
        """The write buffer is empty: the endpoint may have the whole request."""
        self.unsent = False

    def data_received(self, data: bytes) -> None:
        """Read a part of the response; bytes that are not HTTP end the attempt as MALFORMED."""
        reader = self.reader
        if self.attempt is None or reader is None:
            self.close()  # no request is in flight
            return
        malformed = False
        try:
            reader.feed(data)
        except httptools.HttpParserUpgrade as upgrade:
            if self.attempt.handshake is not None and reader.switched_protocols:
                self._finish_upgrade(self.attempt.handshake, reader, data[upgrade.args[0] :])
                return
            malformed = True
        except Exception:  # an error of ours in a callback is none of the parser's own kind
            malformed = True
        if malformed or not reader.reusable:
            self.closed = True  # what follows would be taken for the next response
        if reader.complete:
            self._finish_complete(reader)
        elif malformed or reader.switched_protocols or reader.too_long:
            self.close()
            self._finish(Outcome.MALFORMED)

    def eof_received(self) -> None:
        """The end of the connection ends a response that has no length; a reset is no end."""
        self.closed = True
        if self.attempt is not None and self.reader is not None and self.reader.end_of_stream():
            self._finish_complete(self.reader)

    def connection_lost(self, _error: Exception | None) -> None:
        """End the attempt: CONNECT_FAILED if it was not written whole, else RESET, as it may have run."""
        self.closed = True
        if self.reader is not None:
            self.reader.release()
        self.pool.remove(self)
        if self.attempt is not None:
            self._finish(Outcome.CONNECT_FAILED if self.unsent else Outcome.RESET)

    # What the pool and attempts call

    def usable(self) -> bool:
        """Whether an idle connection can carry a request.

        An end or stray bytes that have come but were not read yet would cost that request.
        """
        if self.closed or self.transport is None or self.transport.is_closing():
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def send(self, attempt: Attempt) -> None:
        """Write an attempt's request; the connection has to be up and carry no other attempt."""
        assert self.transport is not None
        self.attempt = attempt
        attempt.connection = self
        attempt.written = True
        self.reader = ResponseReader(self.pool.rules, attempt.head_only, attempt.handshake is not None)
        if attempt.handshake is not None:
            attempt.handshake.attempt_sent()
        self.transport.write(attempt.data)
        if self.transport.is_closing():  # the write failed: the connection had broken before
            self.unsent = True

    def close(self) -> None:
        """Abort the connection; the attempt that it carries is not ended by this."""
        self.closed = True
        self.pool.remove(self)
        if self.transport is not None:
            self.transport.abort()

    # The end of an attempt

    def _finish_complete(self, reader: ResponseReader) -> None:
        """End the attempt by its complete response."""
        if self.closed or self.unsent:  # the rest of this request would be read as the next one
            self.close()
        outcome = self.pool.rules.outcome(reader.status, reader.not_run)
        if self.attempt is not None and self.attempt.handshake is not None:
            self.close()  # it was made for one WebSocket
            if 200 <= reader.status < 400:
                outcome = Outcome.ERROR  # no WebSocket, and no rejection either: whether it ran isn't known
        self._finish(outcome)

    def _finish_upgrade(self, handshake: WebSocketHandshake, reader: ResponseReader, received: bytes) -> None:
        """The endpoint has switched protocols: if its 101 is right, the connection leaves the pool."""
        attempt = self.attempt
        transport = self.transport
        assert attempt is not None
        assert transport is not None
        try:
            subprotocol = handshake.checked_subprotocol(reader.headers, attempt.handshake_key)
        except ValueError as error:
            log.warning("invalid handshake response endpoint=%d error=%s", self.endpoint_id, error)
            self.close()
            self._finish(Outcome.MALFORMED)
            return
        self.closed = True
        self.attempt = None
        self.reader = None
        reader.release()
        self.pool.remove(self)
        transport.pause_reading()
        tunnel = Tunnel(transport, received, subprotocol)
        attempt.end(TransportResult(Outcome.OK, 101, reader.headers, tunnel=tunnel))

    def _finish(self, outcome: Outcome) -> None:
        """End the attempt and give the connection back to the pool, if it is still open."""
        attempt, self.attempt = self.attempt, None
        reader, self.reader = self.reader, None
        if self.idle_us > 0:
            no_response = reader is None or reader.received == 0
            self.pool.record_reuse(self.idle_us, broke=outcome is Outcome.RESET and no_response)
        result = TransportResult(outcome)
        if reader is not None:
            reader.release()
            if reader.complete:
                result = TransportResult(outcome, reader.status, reader.headers, bytes(reader.body))
        if not self.closed:
            if self.endpoint_removed:
                self.close()
            else:
                self.pool.keep_idle(self)
        if attempt is not None:
            attempt.end(result)
