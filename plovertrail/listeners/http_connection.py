"""The connections of HTTP clients: any method, host and path; routes decide where requests are sent."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections import deque
from typing import TYPE_CHECKING

from plovertrail.clock import clock_us
from plovertrail.decisions.events import Outcome
from plovertrail.decisions.requests import RequestRejectedError
from plovertrail.decisions.websocket_messages import CloseCause
from plovertrail.dispatch.types import (
    ProxyRequest,
    ProxyResponse,
    ResponseKind,
    TransportResult,
    Tunnel,
)
from plovertrail.hooks.chain import AnswerWithheldError, RequestRefusedError
from plovertrail.http1.heads import end_to_end, response_head
from plovertrail.http1.requests import RequestMessage, RequestReader
from plovertrail.listeners.client_connection import ClientConnection
from plovertrail.listeners.connection_state import ConnectionState
from plovertrail.listeners.http_exchange import (
    CANCELLED,
    FAILED,
    PLAIN_TEXT,
    SERVED,
    HttpExchange,
    LocalResponse,
    connection_header,
    error_response,
    response_without_result,
    retry_after_headers,
)
from plovertrail.listeners.http_forwarding import (
    STATUSES_WITHOUT_BODY,
    ClientContext,
)
from plovertrail.listeners.websocket_service import (
    HandshakeRejectedError,
    PendingHandshake,
)
from plovertrail.websocket.handshake import HANDSHAKE_HEADERS, HandshakeError, response_headers

if TYPE_CHECKING:
    from plovertrail.listeners.http_listener import HttpListener

log = logging.getLogger(__name__)

MAX_PENDING_BYTES = 64 * 1024  # received while a request is open, before reading is paused
FULL_BUFFER_FRACTION = 1 / 8  # of the kernel's buffer; it may be full, as segments take more than they carry
MEMORY_RETRY_AFTER_US = 1_000_000
INCOMPLETE_STATES = (ConnectionState.NEW, ConnectionState.READING)
RETRY_INVITING_STATUSES = (429, 503)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
BUSY_STATES = (ConnectionState.OPEN, ConnectionState.ENDING, ConnectionState.UPGRADED)


class HttpConnection(ClientConnection):
    """One connection of an HTTP client; pipelined requests are served one at a time, in order.

    Bytes behind a request contradict its length, unless they are a further request from its first byte to its
    last. A request that may have a body is neither forwarded nor served until they are.
    """

    def __init__(self, http_listener: HttpListener, sock: socket.socket) -> None:
        super().__init__(http_listener, sock)
        self.http_listener = http_listener
        limits = http_listener.current.generation.setup.limits
        self.reader = RequestReader(limits.max_head, limits.max_body)
        self.pending = bytearray()  # received, but not passed to the reader yet
        self.exchange: HttpExchange | None = None
        self.processing_pending = False
        self.writing_paused = False
        self.address = ""
        self.doubted_since_us = 0  # when the next request was complete, if it waits for what follows it
        self.answer_by_us = 0  # the deadline of the open request
        self.held_response: ProxyResponse | None = (
            None  # to the open request, until what follows it is complete
        )
        self.hold_timer: asyncio.TimerHandle | None = None

    def release(self) -> None:
        """Release the reader, the handshake and the hooks of a connection that has ended."""
        self.reader.release()
        self.http_listener.incomplete.forget(self)
        self._end_hold()
        if self.exchange is not None:
            self.exchange.cancel()

    def holds_complete_request(self) -> bool:
        """Whether a complete request waits for what follows it."""
        return bool(self.reader.messages)

    def linger(self) -> None:
        """Start a lingering close, and free the received bytes: the client may keep the connection open."""
        self.reader.discard()
        self.pending = bytearray()
        self.http_listener.incomplete.forget(self)
        super().linger()

    # Reading

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; during an open request keep them, and pause reading at MAX_PENDING_BYTES."""
        if self.state is ConnectionState.ENDING:
            self.discard(data)
            return
        self.last_received = time.monotonic()
        if self.state is ConnectionState.OPEN or self.writing_paused:
            self.pending += data
            if self.held_response is not None:
                self.handle_response(self.held_response)
            elif len(self.pending) > MAX_PENDING_BYTES and self.transport is not None:
                self.transport.pause_reading()
            return
        self.received_bytes += len(data)
        self.reader.feed(data)
        self._process_pending()
        if self.state in INCOMPLETE_STATES:
            self.http_listener.limit_incomplete(self)

    def pause_writing(self) -> None:
        """Stop processing requests: the client does not read its responses fast enough."""
        self.writing_paused = True

    def resume_writing(self) -> None:
        """Resume processing requests: the client has read its responses."""
        self.writing_paused = False
        if self.state is not ConnectionState.ENDING:
            self._process_pending()

    def _process_pending(self) -> None:
        """Process the received requests one at a time; none while the client does not read responses."""
        if self.processing_pending:
            return
        self.processing_pending = True
        try:
            while self.state not in BUSY_STATES and not self.writing_paused and self._process_next():
                pass
        finally:
            self.processing_pending = False
        if self.state in BUSY_STATES:
            return
        has_input = self.reader.partial or self.reader.messages or self.received_bytes
        if has_input and self.state is ConnectionState.IDLE:
            self.http_listener.set_state(self, ConnectionState.READING)
            self.received_bytes = max(self.received_bytes, 1)
        if self.reader.expects_continue and self.transport is not None:
            self.reader.expects_continue = False
            self.transport.write(CONTINUE)

    def _process_next(self) -> bool:
        """Process the next request, parser error or pending bytes; return False if there is nothing."""
        messages = self.reader.messages
        if self.pending and len(messages) <= 1 and self.reader.error is None:
            self._feed_pending()
        elif self.reader.error is not None and (not messages or self._contradicts(messages)):
            self._respond(error_response(self.reader.error.status, self.reader.error.reason, close=True))
        elif not messages:
            return False
        elif self._contradicts(messages):
            self.doubted_since_us = self.doubted_since_us or self.last_byte_us()
            return False
        else:
            self._submit(messages.popleft())
        return True

    def _contradicts(self, messages: deque[RequestMessage]) -> bool:
        """Whether what follows the next request is no complete request, so that its body may be cut off."""
        return len(messages) == 1 and messages[0].may_be_cut_off and self.reader.contradicts_last_message

    def _feed_pending(self) -> None:
        """Pass the pending bytes to the reader."""
        data = bytes(self.pending)
        self.pending = bytearray()
        self.received_bytes += len(data)
        self.reader.feed(data)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def _submit(self, message: RequestMessage) -> None:
        """Find the route of a complete request and submit it."""
        exchange = self.exchange = HttpExchange(message)
        self.http_listener.incomplete.forget(self)
        self.http_listener.set_state(self, ConnectionState.OPEN)
        prepared = self._prepare_or_reject(exchange)
        self.doubted_since_us = 0
        if isinstance(prepared, LocalResponse):
            self._respond(prepared)
            return
        assert exchange.plan is not None
        self.answer_by_us = prepared.arrived_us + prepared.deadline_us
        self.request_id = 0
        self.request_id = self.http_listener.dispatcher.submit(
            prepared, self.handle_response, exchange.plan.pools, exchange.plan.limiters
        )

    def _prepare_or_reject(self, exchange: HttpExchange) -> ProxyRequest | LocalResponse:
        try:
            prepared = self.prepare(exchange)
            if isinstance(prepared, ProxyRequest) and exchange.handshake is None and exchange.message.upgrade:
                exchange.message.upgrade = False  # to a protocol other than WebSocket
                self.reader.ignore_upgrade()
            return prepared
        except RequestRejectedError as error:
            allowed = ", ".join(sorted(error.allowed)).encode()
            return error_response(error.status, error.why, [(b"Allow", allowed)] if allowed else [])
        except HandshakeError as error:
            # the following bytes may be WebSocket frames, and must not be parsed as requests
            return error_response(error.status, error.reason, error.headers, close=True)
        except HandshakeRejectedError as error:
            return error_response(503, str(error), retry_after_headers(error.retry_after_us))
        except RequestRefusedError as error:
            headers = [PLAIN_TEXT, *retry_after_headers(error.retry_after_us)]
            return LocalResponse(error.status, error.body, headers)
        except Exception:
            # an error in one request must not end the process or other requests
            log.exception("unexpected error while preparing a request")
            return error_response(500, "this request could not be taken", close=True)

    def prepare(self, exchange: HttpExchange) -> ProxyRequest | LocalResponse:
        """Return the request to submit, or a local response; raises as RequestForwarder.prepare() does."""
        arrived_us = self.doubted_since_us or self.last_byte_us()
        client = ClientContext(self._peer_address(), arrived_us, self.is_disconnected)
        return self.http_listener.forwarder.prepare(exchange, self.http_listener.current.generation, client)

    def _peer_address(self) -> str:
        if not self.address and self.transport is not None:
            peer = self.transport.get_extra_info("peername")
            self.address = peer[0] if peer else ""
        return self.address

    def is_disconnected(self) -> bool:
        """Whether the client has disconnected, or may have done so without a sign of it.

        Its end of input can't arrive while the kernel has no room for what it has sent before. Then no
        attempt may begin for an open request; it is answered now, and the connection closes.
        """
        if super().is_disconnected():
            return True
        if not self.request_id or not self._may_hide_disconnect():
            return False
        self.listener.loop.call_soon(self._end_unverified, self.request_id)
        return True

    def _may_hide_disconnect(self) -> bool:
        """Whether reading is paused, and the kernel's buffer may be full."""
        if len(self.pending) <= MAX_PENDING_BYTES:
            return False
        buffer_bytes = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        return self.count_unread() >= FULL_BUFFER_FRACTION * buffer_bytes

    def _end_unverified(self, request_id: int) -> None:
        """Answer an open request for which no attempt may begin, as its client may have disconnected."""
        if self.state is ConnectionState.OPEN and self.request_id == request_id:
            self.http_listener.dispatcher.problems.count("requests_behind_too_much_input")
            text = "too much came behind the request, which may have run"
            self._respond(error_response(502, text, outcome=FAILED, close=True))
            self.http_listener.dispatcher.disconnected(request_id)

    # Responding

    def handle_response(self, response: ProxyResponse) -> None:
        """Write the dispatcher's final response to the open request."""
        exchange = self.exchange
        result = response.result
        if self.state is not ConnectionState.OPEN or exchange is None or exchange.plan is None:
            if result is not None and result.tunnel is not None:
                result.tunnel.close()
            return
        handshake, exchange.handshake = exchange.handshake, None
        if handshake is not None and result is not None and result.tunnel is not None:
            self._upgrade(handshake, result, result.tunnel)
            return
        if handshake is not None:
            handshake.abandon(CloseCause.HTTP_RESPONSE)
        if response.kind is ResponseKind.SERVED and self._hold_if_cut_off(exchange.message, response):
            return
        if response.kind is ResponseKind.SERVED and result is not None:
            self._forward(result, SERVED)
        elif handshake is not None and result is not None and 200 <= result.status < 400:
            text = f"the server answered {result.status} to a handshake, and it may have run"
            self._respond(error_response(502, text, outcome=FAILED))
        elif result is not None and result.outcome is Outcome.ERROR:
            self._forward_error(result, exchange.plan.retry_safe)
        else:
            self._respond(response_without_result(response))
        self._process_pending()

    def _hold_if_cut_off(self, message: RequestMessage, response: ProxyResponse) -> bool:
        """Hold back the response to a request that may have been cut off, or replace it by an error.

        It may have been if what follows it is no complete request. Returns whether that is so.
        """
        self._end_hold()
        if self.pending and not self.reader.messages:
            self._feed_pending()
        is_followed = self.reader.messages or not self.reader.contradicts_last_message
        if is_followed or not message.may_be_cut_off:
            return False
        if self.reader.error is not None:
            self._respond_cut_off()
            return True
        self.held_response = response
        left_s = max(0, self.answer_by_us - clock_us()) / 1e6
        self.hold_timer = self.listener.loop.call_later(left_s, self._respond_cut_off)
        return True

    def _end_hold(self) -> None:
        self.held_response = None
        if self.hold_timer is not None:
            self.hold_timer.cancel()
            self.hold_timer = None

    def _respond_cut_off(self) -> None:
        """Answer the open request with an error: it has been forwarded cut off, and must not be served."""
        self._end_hold()
        self.http_listener.dispatcher.problems.count("requests_longer_than_told")
        text = "more came behind the request than its length tells"
        self._respond(error_response(400, text, outcome=FAILED, close=True))

    def _forward_error(self, result: TransportResult, retry_safe: bool) -> None:
        """Forward an endpoint's error response, unless it invites a retry that is not safe.

        Clients take a 429 or 503 as permission to retry, but the endpoint has not said that nothing has run.
        """
        status = result.status
        if status in RETRY_INVITING_STATUSES and not retry_safe:
            text = f"the server answered {status}, and the request may have run"
            self._respond(error_response(502, text, outcome=FAILED))
        else:
            self._forward(result, FAILED)

    def _forward(self, result: TransportResult, outcome: bytes) -> None:
        """Forward an endpoint's response, with its headers as changed by the route's hooks."""
        assert self.exchange is not None
        headers = end_to_end(result.headers)
        if self.exchange.hooks is not None:
            try:
                headers = self.exchange.hooks.answer(result.status, headers)
            except AnswerWithheldError:
                text = "a rule on the answer failed, and the request may have run"
                self._respond(error_response(502, text, outcome=FAILED))
                return
        length: int | None = len(result.body)
        if result.status in STATUSES_WITHOUT_BODY or self.exchange.message.method == b"HEAD":
            lengths = [value for name, value in result.headers if name.lower() == b"content-length"]
            length = int(lengths[0]) if lengths and result.status != 204 else None
        self._write(LocalResponse(result.status, result.body, headers, outcome), length)

    def _respond(self, response: LocalResponse) -> None:
        self._write(response, len(response.body) if response.has_length else None)

    def reject_incomplete(self, status: int) -> None:
        """Respond to a request that was not received in time, and close the connection."""
        self._respond(error_response(status, "the request did not come in time", close=True))

    def reject_for_memory(self) -> None:
        """Reject an incomplete request, as too much is held of all of them, and close the connection."""
        headers = retry_after_headers(MEMORY_RETRY_AFTER_US)
        text = "refused: too many requests are incomplete"
        self._respond(error_response(503, text, headers, close=True))

    def _write(self, response: LocalResponse, length: int | None) -> None:
        """Write a response and report its outcome to the hooks.

        `length` is the Content-Length, or None to send none.
        """
        exchange, self.exchange = self.exchange, None
        if self.transport is None or self.transport.is_closing():
            if exchange is not None:
                exchange.end_hooks(CANCELLED, 0)
            return
        message = exchange.message if exchange is not None else None
        keep_alive = (
            message is not None
            and message.keep_alive
            and not message.upgrade
            and not response.close
            and not self.is_last_response()
        )
        data = response_head(
            response.status, response.headers, length, connection_header(message, keep_alive)
        )
        if message is None or message.method != b"HEAD":
            data += response.body
        self.responses += 1
        self.transport.write(data)
        if exchange is not None:
            exchange.end_hooks(response.outcome, response.status)
        self.received_bytes = 0
        if keep_alive:
            self.http_listener.set_state(self, ConnectionState.IDLE)
        else:
            self.linger()

    # Upgrades

    def _upgrade(self, handshake: PendingHandshake, result: TransportResult, tunnel: Tunnel) -> None:
        """Switch the connection to a WebSocket session, after both handshakes have succeeded."""
        transport = self.transport
        if transport is None or transport.is_closing():
            tunnel.close()
            handshake.abandon(CloseCause.CLIENT_LEFT_HANDSHAKE)
            return
        headers = [
            header for header in end_to_end(result.headers) if header[0].lower() not in HANDSHAKE_HEADERS
        ]
        headers += response_headers(handshake.client_key, tunnel.subprotocol)
        transport.write(response_head(101, headers, None, b"Upgrade"))
        received = bytes(self.reader.unparsed + self.pending)
        self.reader.release()
        self.reader.unparsed = bytearray()
        self.pending = bytearray()
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.end_hooks(SERVED, 101)
        self.http_listener.set_state(self, ConnectionState.UPGRADED)
        self.http_listener.websockets.open(handshake, transport, tunnel, received, self._session_ended)

    def _session_ended(self) -> None:
        self.http_listener.remove(self)
