"""The application's side: reads its requests over HTTP/1.1 and writes their answers."""

from __future__ import annotations

import logging
import re
import socket
import time

import httptools

from plovertrail.clock import clock_us
from plovertrail.decisions.settings import Settings
from plovertrail.dispatch.dispatcher import Dispatcher
from plovertrail.dispatch.server_pool import ServerPool
from plovertrail.dispatch.types import ProxyRequest, ProxyResponse, ResponseKind
from plovertrail.listeners.connections import ClientConnection, Listener, State

log = logging.getLogger(__name__)

LONGEST_BODY = 64 * 1024
LONGEST_HEAD = 16 * 1024
MOST_BEHIND = 2 * (LONGEST_BODY + LONGEST_HEAD)  # more than the next request, sent too early, could be
MOST_DIGITS = 9
OWN_HEADERS = frozenset(
    (  # of this connection, or written anew for each attempt
        b"host",
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"upgrade",
        b"expect",
        b"content-length",
        b"transfer-encoding",
        b"x-deadline-ms",
    )
)
SINGLE_HEADERS = frozenset(
    (  # hazard: of two, the upstream might go by the other one
        b"host",
        b"content-length",
        b"x-request-id",
        b"x-class",
        b"x-tenant",
        b"x-key",
        b"x-deadline-ms",
        b"x-retry",
        b"x-cost-hint",
        b"x-extras",
        b"idempotency-key",
    )
)
IDENT = re.compile(rb"[!-~]{1,128}")
VALUE = re.compile(rb"[\t -~]*")
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


class InvalidRequestError(Exception):
    """Input that is not taken: it is answered with this status, and the connection closed."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


def whole_number(text: bytes, what: str) -> int:
    """A header's value as a number; raises InvalidRequestError, whose text says `what` it is."""
    if not text.isdigit() or len(text) > MOST_DIGITS:
        raise InvalidRequestError(400, f"{what} is no whole number")
    return int(text)


class Catalogue:
    """The classes and tenants that requests name."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.classes = {kind.name.encode(): i for i, kind in enumerate(settings.classes)}
        self.tenants = {tenant.name.encode(): i for i, tenant in enumerate(settings.tenants)}

    def call(
        self, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> ProxyRequest:
        """Check a request and give it its place in the settings. Hazard: what upstreams turn away or close on
        costs their connections and the requests behind, so what the protocol doesn't allow ends here."""
        found: dict[bytes, bytes] = {}
        for name, value in headers:
            name = name.lower()
            if name in found and name in SINGLE_HEADERS:
                raise InvalidRequestError(400, "a header is repeated")
            if not VALUE.fullmatch(value):
                raise InvalidRequestError(400, "a header's value is not plain text")
            found[name] = value.strip()
        path, _, query = target.partition(b"?")
        name = path[1:].split(b"/")[0]
        index = self.classes.get(name) if path.startswith(b"/") and b"#" not in target else None
        if index is None or found.get(b"x-class") != name:
            raise InvalidRequestError(404, "unknown class")
        if not IDENT.fullmatch(found.get(b"x-request-id", b"")):
            raise InvalidRequestError(400, "no X-Request-Id")
        kind = self.settings.classes[index]
        if method != (b"GET" if kind.effect == "idempotent" else b"POST"):
            raise InvalidRequestError(400, "not the method of this class")
        if method == b"GET" and body:
            raise InvalidRequestError(400, "a GET has no body")
        if kind.effect == "deduplicated":
            if not IDENT.fullmatch(found.get(b"idempotency-key", b"")):
                raise InvalidRequestError(400, "no Idempotency-Key")
        elif b"idempotency-key" in found:
            raise InvalidRequestError(400, "an Idempotency-Key, but not for this class")
        key = found.get(b"x-key")
        cost = found.get(b"x-cost-hint")
        deadline_us = 1000 * whole_number(found.get(b"x-deadline-ms", b""), "X-Deadline-Ms")
        return ProxyRequest(
            method,
            target,
            [(n, v) for n, v in headers if n.lower() not in OWN_HEADERS],
            body,
            clock_us(),
            deadline_us=min(deadline_us, kind.deadline_us),  # hazard: else a request could stay for years
            class_index=index,
            external_id=found[b"x-request-id"],
            tenant=self.tenants.get(found.get(b"x-tenant", b""), 0),
            key=hash(key) & 0xFFFF_FFFF_FFFF_FFFF if key else 0,
            cost_us=whole_number(cost, "X-Cost-Hint") if cost else 0,
            retried=found.get(b"x-retry") == b"1",
        )


class SeenIds:
    """The ids of the open requests and of those of late; it forgets by halves."""

    def __init__(self, period_s: float) -> None:
        self.period_s = period_s  # no request is open for longer
        self.young: set[bytes] = set()
        self.old: set[bytes] = set()
        self.turned_at = time.monotonic()

    def add(self, ident: bytes) -> bool:
        """Whether it is new."""
        now = time.monotonic()
        if now > self.turned_at + self.period_s:
            self.old = self.young if now <= self.turned_at + 2 * self.period_s else set()
            self.young = set()
            self.turned_at = now
        if ident in self.young or ident in self.old:
            return False
        self.young.add(ident)
        return True


class Client(ClientConnection):
    """One connection of the application."""

    def __init__(self, server: Server, sock: socket.socket) -> None:
        super().__init__(server, sock)
        self.server = server
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.extra = False  # bytes came while a request was open
        self.last = False  # the connection closes with the next answer
        self.reset()

    def reset(self) -> None:
        """Get ready to read the next request."""
        self.whole = False
        self.head_done = False
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.size = 0
        self.heard = 0.0  # when the last bytes of the message being read came
        self.body = bytearray()

    def release(self) -> None:
        """Let go of the parser once the connection is over."""
        self.parser = None  # hazard: they hold each other, and would wait for a rare full collection

    # A request, as the parser reads it

    def on_message_begin(self) -> None:
        """Parser callback: a request begins; behind a whole one it is pipelined."""
        if self.whole:
            self.extra = True

    def on_url(self, url: bytes) -> None:
        """Parser callback: a further piece of the request target."""
        if not self.whole:
            self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: one header. Raises InvalidRequestError on a body that is not taken."""
        if self.whole:
            return
        plain = name.lower()
        if plain == b"transfer-encoding":
            # hazard: who goes by it and who goes by the length see the next request begin at different places
            raise InvalidRequestError(400, "no chunked requests")
        if plain == b"content-length" and int(value) > LONGEST_BODY:
            raise InvalidRequestError(413, "the body is too long")  # hazard: 60 MB would be read for nothing
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Parser callback: the head has come whole."""
        self.head_done = True

    def on_body(self, data: bytes) -> None:
        """Parser callback: a further piece of the body."""
        if not self.whole:
            self.body += data

    def on_message_complete(self) -> None:
        """Parser callback: the request has come whole."""
        assert self.parser is not None
        if not self.whole and not self.parser.should_keep_alive():
            self.last = True  # hazard: once the parser has gone on from here it says that all stay open
        self.whole = True

    def data_received(self, data: bytes) -> None:
        """Read on; input that is not taken is answered with its status, and the connection closed."""
        if self.state is State.ENDING:
            self.discard(data)
            return
        if self.state is State.OPEN:
            self.extra = True  # pipelined: the open request is answered, then the connection ends
            self.discarded += len(data)
            if self.discarded > MOST_BEHIND:
                # hazard: its end would lie behind a flood, unseen, while attempts go out for nobody
                self.last = True
                self.server.dispatcher.expire(self.ident)
            return
        if self.state is State.IDLE:
            self.server.move(self, State.READING)
        self.size += len(data)
        self.heard = time.monotonic()
        try:
            self.feed(data)
            if self.whole:
                self.take()
        except InvalidRequestError as reject:
            self.write(reject.status, str(reject).encode() + b"\n", last=True)
        except Exception:
            # hazard: a fault with one request must end neither the process nor other requests
            log.exception("a request could not be read")
            self.write(500, b"", last=True)

    def feed(self, data: bytes) -> None:
        """Give bytes to the parser; raises InvalidRequestError."""
        assert self.parser is not None
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            raise cause if isinstance(cause, InvalidRequestError) else error from None
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # hazard: what follows a whole request and is no request shows that its length was wrong
            raise InvalidRequestError(400, "malformed request") from None
        if not self.head_done and self.size > LONGEST_HEAD:
            raise InvalidRequestError(
                413, "the head is too long"
            )  # hazard: one without end would fill the memory

    def take(self) -> None:
        """The request has come whole."""
        assert self.transport is not None and self.parser is not None
        method = self.parser.get_method()
        if self.parser.get_http_version() not in ("1.0", "1.1"):
            raise InvalidRequestError(400, "not HTTP/1.1")
        target, headers, body = self.target, self.headers, bytes(self.body)
        if target == b"/up" and method == b"GET":
            self.write(200 if self.server.ready else 503, b"")
            return
        call = self.server.catalogue.call(method, target, headers, body)
        call.client_disconnected = self.left
        if not self.server.seen.add(call.external_id):
            # hazard: an upstream that has it already turns it away; its answer might go to the wrong client
            raise InvalidRequestError(409, "this X-Request-Id has been used")
        if self.transport.get_write_buffer_size() > 0:
            raise InvalidRequestError(
                400, "the last answer was not read"
            )  # hazard: unread answers would fill the memory
        self.server.move(self, State.OPEN)
        call.deadline_us = self.server.within(call)
        self.ident = self.server.dispatcher.submit(call, self.answer, self.server.pools)

    def answer(self, answer: ProxyResponse) -> None:
        """Write the final answer of the open request, if its client still waits for it."""
        if self.state is not State.OPEN:
            return
        if answer.kind is ResponseKind.SERVED:
            assert answer.result is not None
            types = [value for name, value in answer.result.headers if name.lower() == b"content-type"]
            self.write(200, answer.result.body, b"Content-Type: %s\r\n" % types[-1] if types else b"")
        elif answer.kind is ResponseKind.REJECTED:
            after = b"Retry-After: %.3f\r\n" % (answer.retry_after_us / 1e6) if answer.retry_after_us else b""
            self.write(503, b"", after)
        else:
            self.write(500, b"")

    def refuse(self, status: int) -> None:
        """Answer with a bare status and close the connection."""
        self.write(status, b"", last=True)

    def write(self, status: int, body: bytes, head: bytes = b"", last: bool = False) -> None:
        """Write an answer with further header lines in `head`; behind the `last` one the connection ends."""
        assert self.transport is not None
        if self.transport.is_closing():
            return
        last = last or self.last or self.last_answer()
        self.answered += 1
        if last:
            head += b"Connection: close\r\n"
        data = b"HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n" % (status, REASONS[status], head, len(body))
        data += body
        if self.extra and not last:
            data += b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        self.transport.write(data)
        if last or self.extra:
            self.linger()
        else:
            self.reset()
            self.server.move(self, State.IDLE)


class Server(Listener):
    """All connections of the application."""

    def __init__(
        self, dispatcher: Dispatcher, pool: ServerPool, settings: Settings, most_clients: int
    ) -> None:
        super().__init__(dispatcher, most_clients)
        self.pools = (pool,)
        self.catalogue = Catalogue(settings)
        self.seen = SeenIds(max(kind.deadline_us for kind in settings.classes) / 1e6)
        self.ends_us: int | None = None  # when the process ends, once that is known

    def connection(self, sock: socket.socket) -> Client:
        """The protocol of a new client connection."""
        return Client(self, sock)

    def finish_by(self, ends_us: int) -> None:
        """The process ends then, by the module's clock: what is taken from now on has no longer."""
        self.ends_us = ends_us

    def within(self, call: ProxyRequest) -> int:
        """A request's time. Hazard: one whose bytes came slowly would outlast a stop that was under way."""
        return (
            call.deadline_us
            if self.ends_us is None
            else min(call.deadline_us, self.ends_us - call.arrived_us)
        )

    def answer_rest(self) -> None:
        """The process ends now: what is open has its final answer, what has come in part is turned away."""
        for client in list(self.clients[State.OPEN]):
            self.dispatcher.expire(client.ident)
        for state in (State.READING, State.FRESH):
            for client in list(self.clients[state]):
                if client.size and client.transport is not None:
                    client.refuse(503)
