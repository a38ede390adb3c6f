"""The application's side: reads its requests over HTTP/1.1 and writes their answers."""

from __future__ import annotations

import asyncio
import enum
import logging
import re
import socket
import time

import httptools

from plovertrail.clock import clock_us
from plovertrail.decisions.interface import Settings
from plovertrail.exchange import Answer, Call, Verdict
from plovertrail.host import Host

log = logging.getLogger(__name__)

LONGEST_BODY = 64 * 1024
LONGEST_HEAD = 16 * 1024
LONGEST_READ_S = 2.4  # to connect and send a whole request, and to send each later one;
LONGEST_SLOW_S = 6.0  # or so long, as long as its bytes keep coming
LONGEST_PAUSE_S = 0.8
LONGEST_IDLE_S = 60.0
LONGEST_LINGER_S = 1.0  # how long a connection that is to end stays for its client to read what it was told
MOST_DISCARDED = 64 * 1024  # of what still comes on such a connection; the rest is not even read
SWEEP_S = 0.1
ACCEPTS_A_TURN = 16  # hazard: hundreds of connections at once would keep what is open waiting
NO_ROOM_S = 0.05
MOST_DIGITS = 9
OWN_HEADERS = frozenset((  # of this connection, or written anew for each attempt
    b"host", b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"upgrade", b"expect",
    b"content-length", b"transfer-encoding", b"x-deadline-ms"))
SINGLE_HEADERS = frozenset((  # hazard: of two, the upstream might go by the other one
    b"host", b"content-length", b"x-request-id", b"x-class", b"x-tenant", b"x-key", b"x-deadline-ms",
    b"x-retry", b"x-cost-hint", b"x-extras", b"idempotency-key"))
IDENT = re.compile(rb"[!-~]{1,128}")
VALUE = re.compile(rb"[\t -~]*")
REASONS = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 408: b"Request Timeout", 409: b"Conflict",
           413: b"Content Too Large", 500: b"Internal Server Error", 503: b"Service Unavailable"}


class Reject(Exception):
    """Input that is not taken: it is answered with this status, and the connection closed."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


def whole_number(text: bytes, what: str) -> int:
    if not text.isdigit() or len(text) > MOST_DIGITS:
        raise Reject(400, f"{what} is no whole number")
    return int(text)


class Catalogue:
    """The classes and tenants that requests name."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.classes = {kind.name.encode(): i for i, kind in enumerate(settings.classes)}
        self.tenants = {tenant.name.encode(): i for i, tenant in enumerate(settings.tenants)}

    def call(self, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes) -> Call:
        """Check a request and give it its place in the settings. Hazard: what upstreams turn away or close on
        costs their connections and the requests behind, so what the protocol doesn't allow ends here."""
        found: dict[bytes, bytes] = {}
        for name, value in headers:
            name = name.lower()
            if name in found and name in SINGLE_HEADERS:
                raise Reject(400, "a header is repeated")
            if not VALUE.fullmatch(value):
                raise Reject(400, "a header's value is not plain text")
            found[name] = value.strip()
        path, _, query = target.partition(b"?")
        name = path[1:].split(b"/")[0]
        index = self.classes.get(name) if path.startswith(b"/") and b"#" not in target else None
        if index is None or found.get(b"x-class") != name:
            raise Reject(404, "unknown class")
        if not IDENT.fullmatch(found.get(b"x-request-id", b"")):
            raise Reject(400, "no X-Request-Id")
        kind = self.settings.classes[index]
        if method != (b"GET" if kind.effect == "idempotent" else b"POST"):
            raise Reject(400, "not the method of this class")
        if method == b"GET" and body:
            raise Reject(400, "a GET has no body")
        if kind.effect == "deduplicated":
            if not IDENT.fullmatch(found.get(b"idempotency-key", b"")):
                raise Reject(400, "no Idempotency-Key")
        elif b"idempotency-key" in found:
            raise Reject(400, "an Idempotency-Key, but not for this class")
        key = found.get(b"x-key")
        cost = found.get(b"x-cost-hint")
        deadline_us = 1000 * whole_number(found.get(b"x-deadline-ms", b""), "X-Deadline-Ms")
        return Call(
            method, target, [(n, v) for n, v in headers if n.lower() not in OWN_HEADERS], body, clock_us(),
            deadline_us=min(deadline_us, kind.deadline_us),  # hazard: else a request could stay for years
            class_index=index,
            ident=found[b"x-request-id"],
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


class State(enum.Enum):
    """Of a connection of the application."""

    FRESH = enum.auto()  # no whole request has come yet
    IDLE = enum.auto()  # between requests
    READING = enum.auto()  # part of a further request has come
    OPEN = enum.auto()  # a request has been taken and not answered
    ENDING = enum.auto()  # it has its last answer


LONGEST_S = {State.FRESH: LONGEST_READ_S, State.IDLE: LONGEST_IDLE_S, State.READING: LONGEST_READ_S,
             State.ENDING: LONGEST_LINGER_S}  # an open request has its own deadline


# who makes room: (state, for how long it has been in it, whether half a request may have come)
LEAST_USE = ((State.ENDING, 0.0, True), (State.FRESH, 0.25, False), (State.IDLE, 2.0, True),
             (State.FRESH, 0.0, False), (State.IDLE, 0.0, True), (State.FRESH, 0.0, True),
             (State.READING, 0.0, True))


class Client(asyncio.Protocol):
    """One connection of the application; it carries one request at a time."""

    def __init__(self, server: Server, sock: socket.socket) -> None:
        self.server = server
        self.sock = sock
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.state = State.FRESH
        self.since = time.monotonic()  # when that state began
        self.ident = 0  # the host's name for the open request
        self.extra = False  # bytes came while a request was open
        self.last = False  # the connection closes with the next answer
        self.discarded = 0
        self.answered = 0
        self.reset()

    def reset(self) -> None:
        self.whole = False
        self.head_done = False
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.size = 0
        self.heard = 0.0  # when the last bytes of the message being read came
        self.body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.state is State.ENDING:  # closed to make room while it came up
            transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.server.remove(self)
        self.parser = None  # hazard: they hold each other, and would wait for a rare full collection
        if self.state is State.OPEN:
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
        plain = name.lower()
        if plain == b"transfer-encoding":
            # hazard: who goes by it and who goes by the length see the next request begin at different places
            raise Reject(400, "no chunked requests")
        if plain == b"content-length" and int(value) > LONGEST_BODY:
            raise Reject(413, "the body is too long")  # hazard: 60 MB would be read for nothing
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        self.head_done = True

    def on_body(self, data: bytes) -> None:
        if not self.whole:
            self.body += data

    def on_message_complete(self) -> None:
        self.whole = True

    def data_received(self, data: bytes) -> None:
        if self.state in (State.ENDING, State.OPEN):
            self.extra = True  # pipelined: the open request is answered, then the connection ends
            self.discarded += len(data)
            if self.discarded > MOST_DISCARDED and self.transport is not None:
                self.transport.pause_reading()  # hazard: to read it all, only to drop it, takes the CPU
            return
        if self.state is State.IDLE:
            self.server.move(self, State.READING)
        self.size += len(data)
        self.heard = time.monotonic()
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
        assert self.parser is not None
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            raise cause if isinstance(cause, Reject) else error from None
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # hazard: what follows a whole request and is no request shows that its length was wrong
            raise Reject(400, "malformed request") from None
        if not self.head_done and self.size > LONGEST_HEAD:
            raise Reject(413, "the head is too long")  # hazard: one without end would fill the memory

    def take(self) -> None:
        """The request has come whole."""
        assert self.transport is not None and self.parser is not None
        method = self.parser.get_method()
        if self.parser.get_http_version() not in ("1.0", "1.1"):
            raise Reject(400, "not HTTP/1.1")
        if not self.parser.should_keep_alive():
            self.last = True
        target, headers, body = self.target, self.headers, bytes(self.body)
        if target == b"/up" and method == b"GET":
            self.write(200 if self.server.ready else 503, b"")
            return
        call = self.server.catalogue.call(method, target, headers, body)
        if not self.server.seen.add(call.ident):
            # hazard: an upstream that has it already turns it away; its answer might go to the wrong client
            raise Reject(409, "this X-Request-Id has been used")
        if self.transport.get_write_buffer_size() > 0:
            raise Reject(400, "the last answer was not read")  # hazard: unread answers would fill the memory
        self.server.move(self, State.OPEN)
        self.ident = self.server.host.arrived(call, self.answer)

    def answer(self, answer: Answer) -> None:
        if self.state is not State.OPEN:
            return
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
        # hazard: clients have a bound of their own; those who ask once and stay keep the others from asking
        only_one = self.state is State.OPEN and self.answered == 0 and self.server.crowded()
        last = last or self.last or self.server.stopping or only_one
        self.answered += 1
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
            self.server.move(self, State.IDLE)

    def end(self) -> None:
        """Hazard: closing with bytes unread resets the connection, and the client may lose its answer."""
        assert self.transport is not None
        self.server.move(self, State.ENDING)
        self.transport.write_eof()

    def quiet(self) -> bool:
        """Whether nothing has come that was not read yet."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK) == b""
        except OSError:  # nothing has come, or it has broken
            return True

    def close(self) -> None:
        """End it at once; only where no request is open."""
        self.server.move(self, State.ENDING)
        if self.transport is not None:
            self.transport.abort()

    def overdue(self) -> None:
        """Its state has lasted too long."""
        if self.state in (State.FRESH, State.READING) and self.size:
            now = time.monotonic()
            if now > min(self.heard + LONGEST_PAUSE_S, self.since + LONGEST_SLOW_S):
                self.write(408, b"", last=True)
        elif self.state is State.ENDING or self.quiet():
            self.close()


class Server:
    """All connections of the application."""

    def __init__(self, host: Host, settings: Settings, most_clients: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.host = host
        self.catalogue = Catalogue(settings)
        self.seen = SeenIds(max(kind.deadline_us for kind in settings.classes) / 1e6)
        self.most_clients = most_clients
        # each in the order in which its state began, so that the oldest is found at once
        self.clients: dict[State, dict[Client, None]] = {state: {} for state in State}
        self.coming: set[asyncio.Task[object]] = set()
        self.stopping = False
        self.sock: socket.socket | None = None

    @property
    def ready(self) -> bool:
        return self.host.ready and not self.stopping

    def count(self) -> int:
        return sum(len(group) for group in self.clients.values())

    def crowded(self) -> bool:
        """Whether so many connections are open that new ones had better not stay."""
        return self.count() > self.most_clients // 2

    def listen(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_server(address, backlog=1024)
        self.sock.setblocking(False)
        self.loop.add_reader(self.sock, self.accept)
        self.sweep()

    def accept(self) -> None:
        """Take what waits, in small lots. Hazard: asyncio's own server takes all that waits at once, and with
        no descriptor left it stops for a second."""
        assert self.sock is not None
        for _ in range(ACCEPTS_A_TURN):
            if self.count() >= self.most_clients and not self.make_room():
                self.pause()
                return
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                log.warning("no connection can be taken: %r", error)
                self.make_room()
                self.pause()
                return
            sock.setblocking(False)
            client = Client(self, sock)
            self.clients[State.FRESH][client] = None
            task = self.loop.create_task(self.take(client, sock))
            self.coming.add(task)
            task.add_done_callback(self.coming.discard)

    async def take(self, client: Client, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: client, sock)
        except OSError:
            self.remove(client)
            sock.close()

    def pause(self) -> None:
        """Take no more for a moment, or the loop would turn without a rest."""
        if self.sock is not None:
            self.loop.remove_reader(self.sock)
            self.loop.call_later(NO_ROOM_S, self.resume)

    def resume(self) -> None:
        if self.sock is not None:
            self.loop.add_reader(self.sock, self.accept)

    def make_room(self) -> bool:
        """Of the connections with no request open the one goes that has been of no use for longest, half a
        request last. Hazard: without a bound no descriptor would be left for upstreams and discovery."""
        now = time.monotonic()
        for state, age_s, half in LEAST_USE:
            for client in self.clients[state]:
                if client.since > now - age_s:
                    break
                if (client.transport is not None and (half or client.size == 0)
                        and (state is State.ENDING or client.quiet())):
                    client.close()
                    self.remove(client)
                    return True
        return False

    def move(self, client: Client, state: State) -> None:
        """Its state changes."""
        if client in self.clients[client.state]:
            del self.clients[client.state][client]
            client.state, client.since = state, time.monotonic()
            self.clients[state][client] = None

    def remove(self, client: Client) -> None:
        self.clients[client.state].pop(client, None)

    def sweep(self) -> None:
        """Hazard: one who says nothing, or half of it, would hold a connection for ever."""
        self.loop.call_later(SWEEP_S, self.sweep)
        now = time.monotonic()
        for state, longest_s in LONGEST_S.items():
            overdue = []
            for client in self.clients[state]:
                if client.since > now - longest_s:
                    break
                overdue.append(client)
            for client in overdue:
                client.overdue()

    def stop_idle(self) -> None:
        """From now on each answer is the last one of its connection; idle connections close."""
        self.stopping = True
        for state in (State.IDLE, State.FRESH):
            for client in list(self.clients[state]):
                if client.size == 0 and client.transport is not None and client.quiet():
                    client.close()

    def stop_listening(self) -> None:
        if self.sock is not None:
            self.loop.remove_reader(self.sock)
            self.sock.close()
            self.sock = None
