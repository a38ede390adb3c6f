"""A connection to an endpoint, used for one attempt at a time."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket

import httptools

from plovertrail.clock import clock_us
from plovertrail.decisions.events import Outcome
from plovertrail.decisions.response_attribution import ResponseTiming
from plovertrail.dispatch.types import ConnectionUse, TransportResult, Tunnel, WebSocketHandshake
from plovertrail.upstreams.attempt import Attempt
from plovertrail.upstreams.connection_owner import ConnectionOwner
from plovertrail.upstreams.deferred_response import Decision, DeferredResponse, TimedResponse
from plovertrail.upstreams.remainder_wait import RemainderWait
from plovertrail.upstreams.response_copies import BytesBehind, classify_bytes_behind
from plovertrail.upstreams.response_reader import ResponseReader
from plovertrail.upstreams.stray_messages import MAX_LOGGED_BYTES, ConnectionHistory

log = logging.getLogger(__name__)


class Connection(asyncio.Protocol):
    """A connection to one endpoint; it adds itself to `pool`."""

    def __init__(self, pool: ConnectionOwner, endpoint_id: int, sock: socket.socket) -> None:
        self.pool = pool
        self.endpoint_id = endpoint_id
        self.endpoint_removed = False  # the endpoint is no longer listed, or has another address
        self.sock = sock
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.reader: ResponseReader | None = None  # reads the response to the attempt that was sent
        self.deferral = DeferredResponse(pool.attribution, self._deferral_expired)
        self.remainder_wait = RemainderWait(pool.attribution, pool.problems, self._finish_awaited)
        self.idle_us = 0  # how long it was idle before the current request
        self.sent_us = 0  # when the current request was written
        self.deferred_us = 0  # for how long its response was deferred
        self.may_reuse = True  # after the response to the current request
        self.use: ConnectionUse | None = None  # how the current or last attempt uses it
        self.closed = False
        self.unsent = False  # part of the request is still in the write buffer
        self.history = ConnectionHistory(endpoint_id, pool.add(self))

    # Callbacks of asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the attempt that waits for the connection if it may still begin, else end it unsent."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.history.connected_us = clock_us()
        transport.set_write_buffer_limits(high=0)  # pause_writing is called unless everything was written
        self.begin_attempt()

    def begin_attempt(self) -> None:
        """Send the attempt that waits for the connection if it may still begin, else end it unsent."""
        if self.closed:  # its attempt has been told
            return
        attempt = self.attempt
        # A removed or draining endpoint gets no new requests, even for attempts that began before. After a
        # pause during this loop iteration it isn't known yet which endpoints are draining.
        if self.endpoint_removed or (attempt is not None and self.pool.turn_is_stale()):
            self.attempt = None
            self.close("endpoint_removed")
            if attempt is not None:
                attempt.end(TransportResult(Outcome.CONNECT_FAILED))
        elif attempt is None:
            self.pool.keep_idle(self)
        elif not self.usable():  # the endpoint has sent something, or has closed the connection
            self.attempt = None
            self._record_unread()
            self.close("unusable_when_made")
            attempt.end(TransportResult(Outcome.CONNECT_FAILED))
        elif attempt.may_begin():
            self.send(attempt)
        else:  # connecting may have taken seconds, or the client has disconnected
            self.attempt = None
            self.pool.keep_idle(self)
            attempt.end(TransportResult(Outcome.NOT_SENT))

    def pause_writing(self) -> None:
        """Record that part of the request is still buffered: the endpoint can't have received all of it."""
        self.unsent = True

    def resume_writing(self) -> None:
        """Record that the write buffer is empty: the endpoint may have received the whole request."""
        self.unsent = False

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response; invalid HTTP ends the attempt with MALFORMED."""
        if self.remainder_wait.end(data):
            return
        if self.deferral.deferred is not None:
            self.deferral.another_follows()
            self.pool.strays.report(self.history, clock_us() - self.sent_us, data, self._request_name())
        reader = self.reader
        if self.attempt is None or reader is None:
            self._receive_unrequested(data)
            return
        malformed = False
        try:
            reader.feed(data)
        except httptools.HttpParserUpgrade:
            if self.attempt.handshake is not None and reader.switched_protocols:
                self._finish_upgrade(self.attempt.handshake, reader)
                return
            malformed = True
        except Exception:  # an exception in one of our callbacks need not have a type of the parser's
            malformed = True
        if malformed or not reader.reusable:
            self.closed = True  # further bytes would be parsed as the next response
        if reader.complete:
            self._finish_complete(reader)
        elif malformed or reader.switched_protocols or reader.too_long:
            self.close("malformed_response")
            self._finish(Outcome.MALFORMED)

    def _receive_unrequested(self, data: bytes) -> None:
        """Record bytes that came while no request was in flight, and close the connection."""
        self.pool.strays.on_idle(self.history, data, self._request_name())
        self.close("unexpected_bytes")
        if self.attempt is not None:
            self._finish(Outcome.CONNECT_FAILED)

    def eof_received(self) -> None:
        """Complete a response without a length, which ends with the stream (but not with a reset)."""
        self.closed = True
        if self.remainder_wait.end(stream_ended=True):
            return
        if self.deferral.deferred is not None:
            self._finish_deferred(self.deferral.deferred, stream_ended=True)
        elif self.attempt is not None and self.reader is not None and self.reader.end_of_stream():
            self._finish_complete(self.reader, stream_ended=True)

    def connection_lost(self, error: Exception | None) -> None:
        """End the attempt: CONNECT_FAILED if it was not fully written, else RESET, as it may have run."""
        if self.attempt is not None and self.use is not None:
            self.use.cause = f"connection_lost:{type(error).__name__}" if error else "connection_ended"
        self.closed = True
        self.remainder_wait.release()
        self.deferral.release()  # a reset is no end: another response may have been lost with it
        if self.reader is not None:
            self.reader.release()
        self.pool.remove(self)
        if self.attempt is not None:
            never_ran = self.unsent or not self.attempt.written
            self._finish(Outcome.CONNECT_FAILED if never_ran else Outcome.RESET)

    # Called by the pool and by attempts

    def usable(self) -> bool:
        """Whether an idle connection can be used for a request.

        It peeks at the socket: an end of stream or stray bytes that are still unread would fail the request.
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
        """Write an attempt's request; the connection has to be established and without another attempt."""
        assert self.transport is not None
        self.attempt = attempt
        attempt.connection = self
        attempt.written = True
        self.use = ConnectionUse(self.history.number, self.history.requests_sent > 0, self.idle_us)
        self.history.requests_sent += 1
        self.sent_us = clock_us()
        self.deferred_us = 0
        self.may_reuse = True
        self.deferral.reset()
        self.reader = ResponseReader(self.pool.rules, attempt.head_only, attempt.handshake is not None)
        if attempt.handshake is not None:
            attempt.handshake.attempt_sent()
        self.transport.write(attempt.data)
        if self.transport.is_closing():  # the write failed, as the connection was already broken
            self.unsent = True

    def close(self, cause: str) -> None:
        """Abort the connection; this does not end its attempt. `cause` is counted."""
        self.closed = True
        self.remainder_wait.release()
        self.deferral.release()
        self.pool.problems.count(f"connections_closed_{cause}")
        self.pool.remove(self)
        if self.transport is not None:
            self.transport.abort()

    def send_after(self, attempt: Attempt, wait_us: int) -> None:
        """Send an attempt after `wait_us`, once its connection may be used again."""
        self.attempt = attempt
        attempt.connection = self
        asyncio.get_running_loop().call_later(wait_us / 1e6, self.begin_attempt)

    def close_unusable(self) -> None:
        """Close an idle connection that can't be used, and record what waits to be read on it."""
        self._record_unread()
        self.close("unusable_when_taken")

    def _record_unread(self) -> None:
        """Record bytes that wait to be read before a request is written; not the end of the stream."""
        with contextlib.suppress(OSError):
            if data := self.sock.recv(MAX_LOGGED_BYTES, socket.MSG_PEEK):
                self.pool.strays.on_idle(self.history, data, self._request_name())

    def _request_name(self) -> str:
        """The request that the connection carries or that waits for it, for the log."""
        return "none" if self.attempt is None else self.attempt.request_name

    # The end of an attempt

    def _finish_complete(self, reader: ResponseReader, stream_ended: bool = False) -> None:
        """End the attempt with a complete response, or wait if more of it may follow."""
        if self.unsent and not self.pool.rules.may_precede_request:
            self._finish_unsent(reader)
            return
        response = TimedResponse(reader, self._timing(reader))
        if stream_ended or not self.remainder_wait.begin(response):
            self._finish_received(response, stream_ended)

    def _finish_awaited(self, response: TimedResponse, stream_ended: bool) -> None:
        """End the attempt with a response, as the wait for the remainder of its body is over."""
        self.closed = self.closed or bool(response.reader.behind)
        self.deferred_us = clock_us() - self.sent_us - response.timing.elapsed_us
        self._finish_received(response, stream_ended)

    def _finish_received(self, response: TimedResponse, stream_ended: bool) -> None:
        """End the attempt with a response unless more of its body follows, or defer it."""
        reader = response.reader
        if reader.behind:
            if not reader.bodyless and classify_bytes_behind(reader) is not BytesBehind.COPIES:
                self.pool.strays.remainder_of_body(self.history, reader, self._request_name())
                self._drop_response(reader, "response_longer_than_told", Outcome.MALFORMED)
                return
            self.pool.strays.behind_response(
                self.history, self.deferred_us, reader.behind, self._request_name()
            )
        decision = self.deferral.evaluate(response, stream_ended)
        if decision is Decision.DEFER:
            assert self.attempt is not None
            self.pool.problems.count("responses_deferred")
            awaits_upgrade = self.attempt.handshake is not None
            self.reader = ResponseReader(self.pool.rules, self.attempt.head_only, awaits_upgrade)
        else:
            self.may_reuse = self.pool.attribution.may_reuse(response.timing)
            self._finish_evaluated(reader, decision)

    def _deferral_expired(self) -> None:
        if self.deferral.deferred is not None:
            self._finish_deferred(self.deferral.deferred, stream_ended=False)

    def _finish_deferred(self, deferred: TimedResponse, stream_ended: bool) -> None:
        """End the attempt with the deferred response, as no other one has followed."""
        decision = self.deferral.evaluate_deferred(deferred, stream_ended)
        self.deferred_us = clock_us() - self.sent_us - deferred.timing.elapsed_us
        if self.reader is not None:
            self.reader.release()
        self.reader = deferred.reader
        self._finish_evaluated(deferred.reader, decision)

    def _finish_evaluated(self, reader: ResponseReader, decision: Decision) -> None:
        """End the attempt with a response, or as one that may have run if it can't be accepted."""
        if decision is Decision.ACCEPT:
            self._accept(reader)
        else:
            self._drop_response(reader, "ambiguous_response", Outcome.MALFORMED)

    def _drop_response(self, reader: ResponseReader, cause: str, outcome: Outcome) -> None:
        """End the attempt and close the connection; no part of the response is passed on."""
        reader.release()
        self.reader = None
        self.close(cause)
        self._finish(outcome)

    def _finish_unsent(self, reader: ResponseReader) -> None:
        """End an attempt as one that never ran: a response came, and part of its request is still unsent."""
        self.pool.strays.before_request_was_sent(
            self.history, clock_us() - self.sent_us, self._request_name()
        )
        self._drop_response(reader, "answered_before_sent", Outcome.CONNECT_FAILED)

    def _timing(self, reader: ResponseReader) -> ResponseTiming:
        """When a response came, for the decision whether it can be the one to the current request."""
        assert self.attempt is not None
        limits = self.attempt.limits
        outcome = self.pool.rules.outcome(reader.status, reader.not_run)
        return ResponseTiming(
            self.attempt.class_index,
            clock_us() - self.sent_us,
            limits.timeout_us,
            self.idle_us if self.history.requests_sent > 1 else None,
            claims_not_run=outcome is Outcome.REJECTED and not limits.idempotent,
            served=outcome is Outcome.OK,
            single_use=self.attempt.single_use,
        )

    def _accept(self, reader: ResponseReader) -> None:
        """End the attempt with a response."""
        attempt = self.attempt
        is_last = not self.may_reuse or self.deferral.first is not None
        is_last = is_last or (attempt is not None and attempt.single_use)
        if self.closed or self.unsent or is_last:
            self.close("not_reusable")
        outcome = self.pool.rules.outcome(reader.status, reader.not_run)
        if attempt is not None and attempt.handshake is not None:
            self.close("handshake_ended")  # connections for handshakes are not reused
            if 200 <= reader.status < 400:
                outcome = Outcome.ERROR  # neither a WebSocket nor a rejection: it may or may not have run
        self._finish(outcome)

    def _finish_upgrade(self, handshake: WebSocketHandshake, reader: ResponseReader) -> None:
        """Hand the connection over as a tunnel if the endpoint's 101 is valid, else end with MALFORMED."""
        attempt = self.attempt
        transport = self.transport
        assert attempt is not None
        assert transport is not None
        headers = reader.headers
        try:
            subprotocol = handshake.checked_subprotocol(headers, attempt.handshake_key)
        except ValueError as error:
            log.warning("invalid handshake response endpoint=%d error=%s", self.endpoint_id, error)
            self.close("malformed_response")
            self._finish(Outcome.MALFORMED)
            return
        self.closed = True
        self.attempt = None
        self.reader = None
        reader.release()
        self.pool.remove(self)
        transport.pause_reading()
        tunnel = Tunnel(transport, reader.behind, subprotocol)
        attempt.end(TransportResult(Outcome.OK, 101, headers, tunnel=tunnel, use=self.use))

    def _finish(self, outcome: Outcome) -> None:
        """End the attempt and return the connection to the pool, if it is still open."""
        attempt, self.attempt = self.attempt, None
        reader, self.reader = self.reader, None
        if self.idle_us > 0:
            no_response = reader is None or reader.received == 0
            self.pool.record_reuse(self.idle_us, broke=outcome is Outcome.RESET and no_response)
        result = TransportResult(outcome, use=self.use)
        if reader is not None:
            reader.release()
            if reader.complete:
                self.history.last_body_hash = hash(bytes(reader.body))
                result = TransportResult(
                    outcome,
                    reader.status,
                    reader.headers,
                    bytes(reader.body),
                    use=self.use,
                    deferred_us=self.deferred_us,
                )
        if not self.closed:
            if self.endpoint_removed:
                self.close("endpoint_removed")
            else:
                self.pool.keep_idle(self)
        if attempt is not None:
            attempt.end(result)
