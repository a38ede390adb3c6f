"""The application's side: reads its requests over HTTP/1.1 and writes their answers."""

from __future__ import annotations

import asyncio
import logging

import httptools

from glenkeel.interface import Settings
from plovertrail.host import Answer, Call, Host, Verdict, clock_us

log = logging.getLogger(__name__)

LONGEST_BODY = 64 * 1024
LONGEST_HEAD = 16 * 1024
LONGEST_READ_US = 5_000_000  # a request whose bytes come more slowly than this is given up
LINGER_S = 1.0  # how long a connection that is to end stays for its client to read what it was told
OWN_HEADERS = frozenset((  # of this connection, or written anew for each attempt
    b"host", b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"upgrade", b"expect",
    b"content-length", b"transfer-encoding", b"x-deadline-ms"))
REASONS = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 408: b"Request Timeout",
           413: b"Content Too Large", 500: b"Internal Server Error", 503: b"Service Unavailable"}


class Reject(Exception):
    """Input that is not taken: it is answered with this status, and the connection closed."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


def whole_number(text: bytes, what: str) -> int:
    if not text.isdigit() or len(text) > 12:
        raise Reject(400, f"{what} is no whole number")
    return int(text)


class Catalogue:
    """The classes and tenants that requests name."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.classes = {kind.name.encode(): i for i, kind in enumerate(settings.classes)}
        self.tenants = {tenant.name.encode(): i for i, tenant in enumerate(settings.tenants)}

    def call(self, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes) -> Call:
        """Check a request and give it its place in the settings."""
        found = {name.lower(): value.strip() for name, value in headers}
        name = target.split(b"?")[0].lstrip(b"/").split(b"/")[0]
        index = self.classes.get(name)
        if index is None or found.get(b"x-class", name) != name:
            raise Reject(404, "unknown class")
        if not found.get(b"x-request-id"):
            raise Reject(400, "no X-Request-Id")
        effect = self.settings.classes[index].effect
        if method != (b"GET" if effect == "idempotent" else b"POST"):
            raise Reject(400, "not the method of this class")
        if effect == "deduplicated" and not found.get(b"idempotency-key"):
            raise Reject(400, "no Idempotency-Key")
        key = found.get(b"x-key")
        cost = found.get(b"x-cost-hint")
        return Call(
            method, target, [(n, v) for n, v in headers if n.lower() not in OWN_HEADERS], body, clock_us(),
            deadline_us=1000 * whole_number(found.get(b"x-deadline-ms", b""), "X-Deadline-Ms"),
            class_index=index,
            tenant=self.tenants.get(found.get(b"x-tenant", b""), 0),
            key=hash(key) & 0xFFFF_FFFF_FFFF_FFFF if key else 0,
            cost_us=whole_number(cost, "X-Cost-Hint") if cost else 0,
            retried=found.get(b"x-retry") == b"1",
        )


class Client(asyncio.Protocol):
    """One connection of the application; it carries one request at a time."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.open = False  # a request has been taken and not answered
        self.ident = 0  # the host's name for it
        self.begun_us = 0  # when the message now being read began
        self.extra = False  # bytes came while a request was open
        self.last = False  # the connection closes with the next answer
        self.ending = False  # what still comes is not read any more
        self.reset()

    def reset(self) -> None:
        self.whole = False
        self.begun_us = 0
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.size = 0
        self.body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.server.connected(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.server.clients.pop(self, None)
        if self.open:
            self.open = False
            self.server.host.gone(self.ident)

    # A request, as the parser reads it

    def on_message_begin(self) -> None:
        if self.whole:
            self.extra = True

    def on_url(self, url: bytes) -> None:
        if not self.whole:
            self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.whole:
            return
        if name.lower() == b"transfer-encoding":
            raise Reject(400, "no chunked requests")
        self.headers.append((name, value))

    def on_body(self, data: bytes) -> None:
        if not self.whole:
            self.body += data
            if len(self.body) > LONGEST_BODY:
                raise Reject(413, "the body is too long")

    def on_message_complete(self) -> None:
        self.whole = True

    def data_received(self, data: bytes) -> None:
        if self.ending:
            return
        if self.open:
            self.extra = True  # pipelined: the open request is answered, then the connection ends
            return
        if self.begun_us == 0:
            self.begun_us = clock_us()
        self.size += len(data)
        try:
            self.feed(data)
            if self.whole:
                self.take()
        except Reject as reject:
            self.write(reject.status, str(reject).encode() + b"\n", last=True)
        except Exception:
            # hazard: a fault with one request must end neither the process nor other requests
            log.exception("a request could not be read")
            self.write(500, b"", last=True)

    def feed(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            raise cause if isinstance(cause, Reject) else error from None
        except httptools.HttpParserError:
            if not self.whole:
                raise Reject(400, "malformed request") from None
            self.extra = True
        if not self.whole and self.size > LONGEST_HEAD + len(self.body):
            raise Reject(413, "the head is too long")  # hazard: one without end would fill the memory

    def take(self) -> None:
        """The request has come whole."""
        method = self.parser.get_method()
        if not self.parser.should_keep_alive():
            self.last = True
        target, headers, body = self.target, self.headers, bytes(self.body)
        if target == b"/up" and method == b"GET":
            self.write(200 if self.server.ready else 503, b"")
            return
        call = self.server.catalogue.call(method, target, headers, body)
        self.open = True
        self.ident = self.server.host.arrived(call, self.answer)

    def answer(self, answer: Answer) -> None:
        self.open = False
        if answer.verdict is Verdict.SERVED:
            head = b"Content-Type: %s\r\n" % answer.content_type if answer.content_type else b""
            self.write(200, answer.body, head)
        elif answer.verdict is Verdict.REFUSED:
            after = b"Retry-After: %.3f\r\n" % (answer.retry_after_us / 1e6) if answer.retry_after_us else b""
            self.write(503, b"", after)
        else:
            self.write(500, b"")

    def write(self, status: int, body: bytes, head: bytes = b"", last: bool = False) -> None:
        assert self.transport is not None
        if self.transport.is_closing():
            return
        last = last or self.last or self.server.stopping
        if last:
            head += b"Connection: close\r\n"
        data = b"HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n" % (status, REASONS[status], head, len(body))
        data += body
        if self.extra and not last:
            data += b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        self.transport.write(data)
        if last or self.extra:
            self.end()
        else:
            self.reset()

    def end(self) -> None:
        """Hazard: closing with bytes unread resets the connection, and the client may lose its answer."""
        assert self.transport is not None
        self.ending = True
        self.transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, self.transport.abort)

    @property
    def idle(self) -> bool:
        return not self.open and not self.ending and self.begun_us == 0

    def close(self) -> None:
        """End an idle connection."""
        assert self.transport is not None
        self.ending = True
        self.transport.close()

    def check(self, now_us: int) -> None:
        if self.begun_us and not self.open and not self.ending and now_us > self.begun_us + LONGEST_READ_US:
            self.write(408, b"", last=True)


class Server:
    """All connections of the application."""

    def __init__(self, host: Host, settings: Settings, most_clients: int) -> None:
        self.host = host
        self.catalogue = Catalogue(settings)
        self.most_clients = most_clients
        self.clients: dict[Client, None] = {}  # in the order of their coming
        self.stopping = False
        self.listener: asyncio.Server | None = None

    @property
    def ready(self) -> bool:
        return self.host.ready and not self.stopping

    async def listen(self, address: tuple[str, int]) -> None:
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: Client(self), *address, backlog=512)
        self.check()

    def connected(self, client: Client) -> None:
        """Hazard: with no descriptor left no upstream could be reached, so the oldest idle client goes."""
        if len(self.clients) >= self.most_clients:
            oldest = next((other for other in self.clients if other.idle), None)
            if oldest is not None:
                oldest.close()
        self.clients[client] = None

    def check(self) -> None:
        """Hazard: half a request would hold its connection for ever."""
        asyncio.get_running_loop().call_later(1.0, self.check)
        now_us = clock_us()
        for client in list(self.clients):
            client.check(now_us)

    def stop_idle(self) -> None:
        """From now on each answer is the last one of its connection; idle connections close."""
        self.stopping = True
        for client in list(self.clients):
            if client.idle:
                client.close()

    def stop_listening(self) -> None:
        if self.listener is not None:
            self.listener.close()
