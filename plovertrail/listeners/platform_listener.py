"""The listener for the platform's application: reads HTTP/1.1 requests and writes their responses."""

from __future__ import annotations

import logging
import socket
import time

import httptools

from plovertrail.decisions.settings import Settings
from plovertrail.dispatch.dispatcher import Dispatcher
from plovertrail.dispatch.server_pool import ServerPool
from plovertrail.dispatch.types import ProxyRequest, ProxyResponse, ResponseKind
from plovertrail.http1.header_block import IncomingHeaders
from plovertrail.listeners.client_connection import ClientConnection
from plovertrail.listeners.connection_state import ConnectionState
from plovertrail.listeners.incomplete_requests import IncompleteRequests
from plovertrail.listeners.listener import Listener
from plovertrail.listeners.platform_requests import (
    InvalidRequestError,
    RecentRequestIds,
    RequestCatalog,
)

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
MAX_PIPELINED_BYTES = 2 * (MAX_BODY_BYTES + MAX_HEAD_BYTES)  # one pipelined request always fits
MEMORY_RETRY_AFTER_US = 1_000_000
INCOMPLETE_STATES = (ConnectionState.NEW, ConnectionState.READING)
FRAMING_HEADER_LENGTHS = (len("Content-Length"), len("Transfer-Encoding"))  # a head may have thousands
MALFORMED = "malformed request"
READINESS_TARGET = b"/up"
SUPPORTED_VERSIONS = ("1.0", "1.1")
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
}
PIPELINED_RESPONSE = b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


class PlatformConnection(ClientConnection):
    """One connection of the application."""

    def __init__(self, platform_listener: PlatformListener, sock: socket.socket) -> None:
        super().__init__(platform_listener, sock)
        self.platform_listener = platform_listener
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.pipelined = False  # bytes arrived while a request was open
        self.close_after_response = False
        self._reset()

    def _reset(self) -> None:
        """Reset the parsing state for the next request."""
        self.complete = False
        self.head_complete = False
        self.next_request_begun = False  # another request follows the complete one
        self.received_bytes = 0
        self.last_received = 0.0
        self._free_message()

    def _free_message(self) -> None:
        """Free the received part of a request, once it has been submitted or rejected."""
        self.target = b""
        self.headers = IncomingHeaders()
        self.body = bytearray()
        self.platform_listener.incomplete.forget(self)

    def release(self) -> None:
        """Release the parser and the received part of a request, once the connection has ended."""
        self._free_message()
        self.parser = None  # breaks a reference cycle that only a rare full garbage collection would free

    # Parser callbacks

    def on_message_begin(self) -> None:
        """Parser callback: a request begins; after a complete one it is pipelined."""
        if self.complete:
            self.pipelined = True

    def on_url(self, url: bytes) -> None:
        """Parser callback: a further piece of the request target."""
        if self.complete:
            self.next_request_begun = True
        else:
            self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: one header. Raises InvalidRequestError if it announces a body that is rejected."""
        if self.complete:
            return
        self.headers.append((name, value))
        if len(name) not in FRAMING_HEADER_LENGTHS:
            return
        lower_name = name.lower()
        if lower_name == b"transfer-encoding":
            # a parser that uses it and one that uses Content-Length find the next request at different places
            raise InvalidRequestError(400, "no chunked requests")
        if lower_name == b"content-length" and int(value) > MAX_BODY_BYTES:
            raise InvalidRequestError(413, "the body is too long")  # without reading the body

    def on_headers_complete(self) -> None:
        """Parser callback: the head is complete."""
        self.head_complete = True

    def on_body(self, data: bytes) -> None:
        """Parser callback: a further piece of the body."""
        if not self.complete:
            self.body += data

    def on_message_complete(self) -> None:
        """Parser callback: the request is complete."""
        assert self.parser is not None
        if not self.complete and not self.parser.should_keep_alive():
            self.close_after_response = True  # once it parses on, the parser always reports keep-alive
        self.complete = True

    # Reading

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; respond to invalid input with an error status and close the connection."""
        if self.state is ConnectionState.ENDING:
            self.discard(data)
            return
        if self.state is ConnectionState.OPEN:
            self._receive_pipelined(data)
            return
        if self.state is ConnectionState.IDLE:
            self.platform_listener.set_state(self, ConnectionState.READING)
        self.last_received = time.monotonic()
        try:
            self._receive(data)
            if self.complete:
                self._submit()
        except InvalidRequestError as error:
            self._write(error.status, str(error).encode() + b"\n", last=True)
        except Exception:
            # an error in one request must not end the process or other requests
            log.exception("unexpected error while reading a request")
            self._write(500, b"", last=True)
        if self.state in INCOMPLETE_STATES:
            self.headers.pause()
            self.platform_listener.limit_incomplete(self)

    def _receive_pipelined(self, data: bytes) -> None:
        """Drop pipelined bytes; the connection closes after the response to the open request.

        If they are no request, they belong to the open one, and its length is too small: it was forwarded cut
        off, and must not be served.
        """
        if not self.pipelined and self.close_after_response:
            # the old parser reads nothing behind a request that is to be the last one
            self.parser = httptools.HttpRequestParser(self)
        self.pipelined = True
        if not self.next_request_begun and not self._may_begin_request(data):
            self.platform_listener.dispatcher.problems.count("requests_longer_than_told")
            self._write(400, MALFORMED.encode() + b"\n", last=True)
            self.platform_listener.dispatcher.disconnected(self.request_id)
            return
        self.discarded_bytes += len(data)
        if self.discarded_bytes > MAX_PIPELINED_BYTES:
            # a disconnect behind that many bytes would go unnoticed, and attempts would be sent for nobody
            self.close_after_response = True
            self.platform_listener.dispatcher.expire(self.request_id)

    def _may_begin_request(self, data: bytes) -> bool:
        """Whether these bytes may be the beginning of a request; the parser has read all before them."""
        try:
            self._parse(data)
        except InvalidRequestError:
            return self.next_request_begun
        return True

    def _receive(self, data: bytes) -> None:
        """Parse a part of a request; raises InvalidRequestError, also if its head is too long."""
        head_capacity = MAX_HEAD_BYTES - self.received_bytes
        self.received_bytes += len(data)
        if self.head_complete or len(data) <= head_capacity:
            self._parse(data)
            return
        self._parse(data[:head_capacity])  # no more of a read than a head may have
        if not self.head_complete:
            raise InvalidRequestError(413, "the head is too long")
        self._parse(data[head_capacity:])

    def _parse(self, data: bytes) -> None:
        """Feed bytes to the parser; raises InvalidRequestError."""
        assert self.parser is not None
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            raise cause if isinstance(cause, InvalidRequestError) else error from None
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # if the bytes after a complete request are no request, its length was wrong
            raise InvalidRequestError(400, MALFORMED) from None

    def _submit(self) -> None:
        """Pass a complete request to the dispatcher; raises InvalidRequestError."""
        assert self.transport is not None
        assert self.parser is not None
        method = self.parser.get_method()
        if self.parser.get_http_version() not in SUPPORTED_VERSIONS:
            raise InvalidRequestError(400, "not HTTP/1.1")
        if self.target == READINESS_TARGET and method == b"GET":
            self._write(200 if self.platform_listener.is_ready else 503, b"")
            return
        request = self.platform_listener.catalog.make_request(
            method, self.target, self.headers.all(), bytes(self.body)
        )
        self._free_message()
        request.client_disconnected = self.is_disconnected
        if not self.platform_listener.recent_ids.add(request.external_id):
            # an endpoint that has already seen it rejects it, and its response might go to the wrong client
            raise InvalidRequestError(409, "this X-Request-Id has been used")
        if self.transport.get_write_buffer_size() > 0:
            # unread responses would accumulate in memory
            raise InvalidRequestError(400, "the last answer was not read")
        self.platform_listener.set_state(self, ConnectionState.OPEN)
        request.deadline_us = self.platform_listener.limited_deadline_us(request)
        self.request_id = self.platform_listener.dispatcher.submit(
            request, self.handle_response, self.platform_listener.pools
        )

    # Writing

    def handle_response(self, response: ProxyResponse) -> None:
        """Write the final response to the open request, if its client is still waiting for it."""
        if self.state is not ConnectionState.OPEN:
            return
        if response.kind is ResponseKind.SERVED:
            assert response.result is not None
            types = [value for name, value in response.result.headers if name.lower() == b"content-type"]
            head = b"Content-Type: %s\r\n" % types[-1] if types else b""
            self._write(200, response.result.body, head)
        elif response.kind is ResponseKind.REJECTED:
            self._write(503, b"", _retry_after_header(response.retry_after_us))
        else:
            self._write(500, b"")

    def reject_incomplete(self, status: int) -> None:
        """Respond with a status and an empty body, and close the connection."""
        self._write(status, b"", last=True)

    def reject_for_memory(self) -> None:
        """Reject an incomplete request, as too much is held of all of them, and close the connection."""
        retry_after_us = self.platform_listener.memory_retry_after_us
        self._write(503, b"", _retry_after_header(retry_after_us), last=True)

    def _write(self, status: int, body: bytes, head: bytes = b"", last: bool = False) -> None:
        """Write a response with extra header lines in `head`; the connection closes after the `last` one."""
        assert self.transport is not None
        if self.transport.is_closing():
            return
        last = last or self.close_after_response or self.is_last_response()
        self.responses += 1
        if last:
            head += b"Connection: close\r\n"
        data = b"HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n" % (status, REASONS[status], head, len(body))
        data += body
        if self.pipelined and not last:
            data += PIPELINED_RESPONSE
        self.transport.write(data)
        if last or self.pipelined:
            self._free_message()
            self.linger()
        else:
            self._reset()
            self.platform_listener.set_state(self, ConnectionState.IDLE)


def _retry_after_header(retry_after_us: int) -> bytes:
    return b"Retry-After: %.3f\r\n" % (retry_after_us / 1e6) if retry_after_us else b""


class PlatformListener(Listener):
    """Accepts the connections of the application.

    `max_incomplete_bytes` limits what all clients together have sent of requests that are not complete.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        pool: ServerPool,
        settings: Settings,
        max_clients: int,
        max_incomplete_bytes: int,
    ) -> None:
        super().__init__(dispatcher, max_clients)
        self.incomplete: IncompleteRequests[PlatformConnection] = IncompleteRequests(
            max(max_incomplete_bytes, MAX_BODY_BYTES + MAX_HEAD_BYTES)  # one request always fits
        )
        self.memory_retry_after_us = (
            min(MEMORY_RETRY_AFTER_US, settings.max_retry_after_us) if settings.retry_after else 0
        )
        self.pools = (pool,)
        self.catalog = RequestCatalog(settings)
        self.recent_ids = RecentRequestIds(
            max(request_class.deadline_us for request_class in settings.classes) / 1e6
        )
        self.process_ends_us: int | None = None  # set during a shutdown

    def make_connection(self, sock: socket.socket) -> PlatformConnection:
        """Return the protocol object of a new connection."""
        return PlatformConnection(self, sock)

    def limit_incomplete(self, client: PlatformConnection) -> None:
        """Record an incomplete request; reject those that have stalled for longest over the limit."""
        self.incomplete.record(client, client.received_bytes)
        while (stalled := self.incomplete.pop_excess()) is not None:
            self.dispatcher.problems.report("request_rejected_for_memory", self._incomplete_fields)
            stalled.reject_for_memory()

    def _incomplete_fields(self) -> str:
        incomplete = self.incomplete
        limit = incomplete.max_bytes
        return f"incomplete={len(incomplete)} bytes={incomplete.total_bytes} limit={limit}"

    def finish_by(self, ends_us: int) -> None:
        """Limit all later requests to the end of the process, a time on the monotonic clock."""
        self.process_ends_us = ends_us

    def limited_deadline_us(self, request: ProxyRequest) -> int:
        """Return a request's deadline; one whose bytes arrived slowly must not outlast a shutdown."""
        if self.process_ends_us is None:
            return request.deadline_us
        return min(request.deadline_us, self.process_ends_us - request.arrived_us)

    def answer_all(self) -> None:
        """Expire open requests and reject incomplete ones, because the process is about to end."""
        for client in list(self.clients[ConnectionState.OPEN]):
            self.dispatcher.expire(client.request_id)
        for state in INCOMPLETE_STATES:
            for client in list(self.clients[state]):
                if client.received_bytes and client.transport is not None:
                    client.reject_incomplete(503)
