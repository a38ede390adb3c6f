"""The listener for the platform's application: reads HTTP/1.1 requests and writes their responses."""

from __future__ import annotations

import asyncio
import logging
import socket
import time

from plovertrail.clock import clock_us
from plovertrail.decisions.settings import Settings
from plovertrail.dispatch.dispatcher import Dispatcher
from plovertrail.dispatch.server_pool import ServerPool
from plovertrail.dispatch.types import ProxyRequest, ProxyResponse, ResponseKind
from plovertrail.listeners.client_connection import ClientConnection
from plovertrail.listeners.connection_state import ConnectionState
from plovertrail.listeners.incomplete_requests import IncompleteRequests
from plovertrail.listeners.listener import Listener
from plovertrail.listeners.platform_request_reader import (
    MALFORMED,
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    PlatformRequestReader,
)
from plovertrail.listeners.platform_requests import (
    InvalidRequestError,
    RecentRequestIds,
    RequestCatalog,
)

log = logging.getLogger(__name__)

MAX_PIPELINED_BYTES = 2 * (MAX_BODY_BYTES + MAX_HEAD_BYTES)  # one pipelined request always fits
MEMORY_RETRY_AFTER_US = 1_000_000
INCOMPLETE_STATES = (ConnectionState.NEW, ConnectionState.READING)
READINESS_TARGET = b"/up"
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
    """One connection of the application, which sends one request at a time.

    Bytes behind a complete request contradict its length, unless they are a further request from its first
    byte to its last. So until they are one in full, the request before them is neither forwarded nor served;
    at its deadline, when no more bytes come, or as soon as they can be none, it is answered 400.
    """

    def __init__(self, platform_listener: PlatformListener, sock: socket.socket) -> None:
        super().__init__(platform_listener, sock)
        self.platform_listener = platform_listener
        self.reader = PlatformRequestReader()
        self.following: PlatformRequestReader | None = None  # reads what stands behind the request
        self.request: ProxyRequest | None = None  # complete, and not forwarded yet
        self.response: ProxyResponse | None = None  # to the open request, and not written yet
        self.answer_by_us = 0  # the deadline of the current request
        self.close_after_response = False
        self._timer: asyncio.TimerHandle | None = None
        self._reset()

    def _reset(self) -> None:
        """Reset the state for the next request."""
        self.reader.reset()
        self.received_bytes = 0
        self.last_received = 0.0
        self._free_message()

    def _free_message(self) -> None:
        """Free what was received of a request and behind it, once it has been submitted or answered."""
        self.reader.free()
        self.platform_listener.incomplete.forget(self)

    def _free_all(self) -> None:
        """Free all that waits for further bytes."""
        self._free_message()
        self._cancel_timer()
        self.request = None
        self.response = None
        if self.following is not None:
            self.following.release()
            self.following = None

    def release(self) -> None:
        """Release the parsers and all that was received, once the connection has ended."""
        self._free_all()
        self.reader.release()

    def holds_complete_request(self) -> bool:
        """Whether a complete request waits to be forwarded; closing the connection would lose it."""
        return self.request is not None

    # Reading

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; respond to invalid input with an error status and close the connection."""
        if self.state is ConnectionState.ENDING:
            self.discard(data)
            return
        if self.state is ConnectionState.IDLE:
            self.platform_listener.set_state(self, ConnectionState.READING)
        self.last_received = time.monotonic()
        try:
            if self.state is ConnectionState.OPEN:
                self._receive_following(data)
            else:
                self._receive(data)
        except InvalidRequestError as error:
            self._reject(error.status, str(error).encode() + b"\n")
        except Exception:
            # an error in one request must not end the process or other requests
            log.exception("unexpected error while reading a request")
            self._reject(500, b"")
        if self.state in INCOMPLETE_STATES or self._awaits_following():
            self.platform_listener.limit_incomplete(self)

    def _receive(self, data: bytes) -> None:
        """Parse a part of a request, or of what follows it; raises InvalidRequestError."""
        if not self.reader.complete:
            data = self.reader.feed(data)
            self.received_bytes = self.reader.received_bytes
            if not self.reader.complete:
                self.reader.headers.pause()
                return
            self.close_after_response = not self.reader.keep_alive
            if data:
                self.following = PlatformRequestReader()
            if self.reader.method == b"GET" and self.reader.target == READINESS_TARGET:
                self.reader.check_version()
                self._write(200 if self.platform_listener.is_ready else 503, b"")
                return
            self.request = self._make_request(self.reader)
            self._free_message()
        self._receive_following(data)
        if self.request is not None and not self._awaits_following():
            self._submit(self.request)

    def _make_request(self, reader: PlatformRequestReader) -> ProxyRequest:
        """Validate a complete request; raises InvalidRequestError."""
        reader.check_version()
        return self.platform_listener.catalog.make_request(
            reader.method, reader.target, reader.headers.all(), bytes(reader.body)
        )

    def _receive_following(self, data: bytes) -> None:
        """Read bytes behind a complete request; raises InvalidRequestError if they are no further one."""
        if not data:
            return
        self.discarded_bytes += len(data)
        if self.following is None:
            self.following = PlatformRequestReader()
        if not self.following.complete:
            try:
                self._parse_following(self.following, data)
            except InvalidRequestError:
                self._count_cut_off()
                raise InvalidRequestError(400, MALFORMED) from None
        if self.discarded_bytes > MAX_PIPELINED_BYTES and self.state is ConnectionState.OPEN:
            # a disconnect behind that many bytes would go unnoticed, and attempts would be sent for nobody
            self.close_after_response = True
            self.platform_listener.dispatcher.expire(self.request_id)

    def _parse_following(self, following: PlatformRequestReader, data: bytes) -> None:
        """Parse a part of the following request; once it is complete, the wait for it ends."""
        following.feed(data)
        if not following.complete:
            following.headers.pause()
            self._limit_wait()
            return
        self._make_request(following)
        following.free()
        self.platform_listener.incomplete.forget(self)
        self._end_wait()

    def incomplete_bytes(self) -> int:
        """Return how much has come of a request that is not complete, and is held until it is."""
        if self.following is None:
            return self.reader.received_bytes
        held_bytes = 0 if self.request is None else self.reader.received_bytes
        return held_bytes + self.following.received_bytes

    def _awaits_following(self) -> bool:
        """Whether only a part of a further request has come, so that the one before may be cut off."""
        return self.following is not None and not self.following.complete

    def _limit_wait(self) -> None:
        """Limit the wait for the remainder of the following request, if the current one waits for it.

        It ends at the deadline of the current one, or when no more bytes have come for a while.
        """
        self._cancel_timer()
        if self.request is not None or self.response is not None:
            left_s = max(0, self._current_deadline_us() - clock_us()) / 1e6
            wait_s = min(left_s, self.listener.timeouts.read_gap)
            self._timer = asyncio.get_running_loop().call_later(wait_s, self._reject_cut_off)

    def _end_wait(self) -> None:
        """Write the response that waited for the following request, if there is one."""
        self._cancel_timer()
        response, self.response = self.response, None
        if response is not None:
            self.handle_response(response)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _current_deadline_us(self) -> int:
        if self.request is None:
            return self.answer_by_us
        return self.request.arrived_us + self.platform_listener.limited_deadline_us(self.request)

    def _reject_cut_off(self) -> None:
        """Reject the current request: what stands behind it has not become a further one."""
        self._count_cut_off()
        self._reject(400, MALFORMED.encode() + b"\n")

    def _count_cut_off(self) -> None:
        self.platform_listener.dispatcher.problems.count("requests_longer_than_told")

    def _reject(self, status: int, body: bytes) -> None:
        """Answer the current request with an error, and close the connection."""
        was_open = self.state is ConnectionState.OPEN
        self._write(status, body, last=True)
        if was_open:
            self.platform_listener.dispatcher.disconnected(self.request_id)

    def _submit(self, request: ProxyRequest) -> None:
        """Pass a request to the dispatcher; raises InvalidRequestError."""
        assert self.transport is not None
        self.request = None
        request.client_disconnected = self.is_disconnected
        if not self.platform_listener.recent_ids.add(request.external_id):
            # an endpoint that has already seen it rejects it, and its response might go to the wrong client
            raise InvalidRequestError(409, "this X-Request-Id has been used")
        if self.transport.get_write_buffer_size() > 0:
            # unread responses would accumulate in memory
            raise InvalidRequestError(400, "the last answer was not read")
        self.platform_listener.set_state(self, ConnectionState.OPEN)
        request.deadline_us = self.platform_listener.limited_deadline_us(request)
        self.answer_by_us = request.arrived_us + request.deadline_us
        self.request_id = self.platform_listener.dispatcher.submit(
            request, self.handle_response, self.platform_listener.pools
        )

    # Writing

    def handle_response(self, response: ProxyResponse) -> None:
        """Write the final response to the open request, if its client is still waiting for it."""
        if self.state is not ConnectionState.OPEN:
            return
        if response.kind is ResponseKind.SERVED and self._awaits_following():
            self.response = response
            self._limit_wait()
        elif response.kind is ResponseKind.SERVED:
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
        if self.state is ConnectionState.OPEN:
            self._reject_cut_off()  # it may have run, so no retry is invited
            return
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
        is_followed = self.following is not None
        if is_followed and not last:
            data += PIPELINED_RESPONSE
        self.transport.write(data)
        if last or is_followed:
            self._free_all()
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
        self.incomplete.record(client, client.incomplete_bytes())
        while (stalled := self.incomplete.pop_excess()) is not None:
            self.dispatcher.problems.report("request_rejected_for_memory", self.incomplete.describe)
            stalled.reject_for_memory()

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
