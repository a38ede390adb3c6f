"""Attempts at upstreams over HTTP/1.1, and the pool of connections that carry them."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

import httptools

from glenkeel.interface import Outcome
from plovertrail.host import Call, Result, clock_us

log = logging.getLogger(__name__)

LONGEST_BODY = 64 * 1024
LONGEST_ANSWER = 1024 * 1024  # with its head and framing
IDLE_MARGIN_US = 300_000  # an upstream may close a connection while a request is on its way to it
Address = tuple[str, int]


def request_head(call: Call, address: Address, timeout_us: int) -> bytes:
    """The head of an attempt: the client's own, with the time that the sidecar will wait."""
    lines = [b"%s %s HTTP/1.1\r\nHost: %s:%d" % (call.method, call.target, address[0].encode(), address[1])]
    lines.extend([b"%s: %s" % header for header in call.headers])
    lines.append(b"X-Deadline-Ms: %d" % max(1, timeout_us // 1000))
    if call.method != b"GET" or call.body:
        lines.append(b"Content-Length: %d" % len(call.body))
    return b"\r\n".join(lines) + b"\r\n\r\n"


class Attempt:
    """One attempt: it has a connection, or waits until its connection is up."""

    def __init__(self, pool: Pool, address: Address, data: bytes, ended: Callable[[Result], None]) -> None:
        self.pool = pool
        self.address = address
        self.data = data
        self.ended = ended
        self.connection: Connection | None = None
        self.written = False

    def give_up(self) -> None:
        """Nothing more comes of it. A connection that has carried it is closed; one still coming up stays."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.attempt = None
            if self.written:
                connection.close()

    def end(self, result: Result) -> None:
        self.connection = None
        self.ended(result)


class Connection(asyncio.Protocol):
    """A connection to an upstream; it carries one attempt at a time."""

    def __init__(self, pool: Pool, address: Address, sock: socket.socket) -> None:
        self.pool = pool
        self.address = address
        self.sock = sock
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self.idle_since_us = 0
        self.closed = False
        self.unsent = False  # part of what was written is still with us
        self.complete = False  # the answer is whole
        self.status = 0
        self.not_run = False
        self.content_type = b""
        self.body = bytearray()
        self.received = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # so that we are told whether all has been written
        if self.attempt is not None:
            self.send(self.attempt)
        else:
            self.pool.put_idle(self)

    def pause_writing(self) -> None:
        self.unsent = True

    def resume_writing(self) -> None:
        self.unsent = False

    def usable(self) -> bool:
        """Hazard: an end or stray bytes that have come but were not read yet would cost the request."""
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
        assert self.transport is not None
        self.attempt = attempt
        attempt.connection = self
        attempt.written = True
        self.parser = httptools.HttpResponseParser(self)
        self.complete = self.not_run = False
        self.status = 0
        self.content_type = b""
        self.body = bytearray()
        self.received = 0
        self.transport.write(attempt.data)
        if self.transport.is_closing():  # the write failed: the connection had broken before
            self.unsent = True

    # The answer, as the parser reads it

    def on_message_begin(self) -> None:
        if self.complete:
            self.closed = True  # more than one answer: the connection is of no further use

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.complete:
            return
        name = name.lower()
        if name == b"x-not-run":
            self.not_run = value.strip() == b"1"
        elif name == b"content-type":
            self.content_type = value

    def on_body(self, data: bytes) -> None:
        if not self.complete:
            self.body += data
            if len(self.body) > LONGEST_BODY:
                raise ValueError("the answer is too long")

    def on_message_complete(self) -> None:
        assert self.parser is not None
        if self.complete:
            return
        self.status = self.parser.get_status_code()
        if self.status < 200:  # an interim answer; the final one follows
            self.not_run = False
            self.content_type = b""
            return
        self.complete = True
        if not self.parser.should_keep_alive():
            self.closed = True

    def data_received(self, data: bytes) -> None:
        if self.attempt is None or self.parser is None:
            self.close()  # bytes that nobody asked for
            return
        self.received += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.closed = True  # hazard: what follows would be taken for the next answer
        if self.complete:
            self.finish_complete()
        elif self.closed or self.received > LONGEST_ANSWER:
            self.close()  # hazard: an answer without end would fill the memory
            self.finish(Outcome.RESET)

    def finish_complete(self) -> None:
        if self.closed or self.unsent:  # hazard: the rest of this request would be read as the next one
            self.close()
        if self.status == 200:
            outcome = Outcome.OK
        elif self.status in (503, 504) and self.not_run:
            outcome = Outcome.FULL
        else:
            outcome = Outcome.ERROR
        self.finish(outcome)

    def finish(self, outcome: Outcome) -> None:
        attempt, self.attempt = self.attempt, None
        result = Result(outcome)
        if outcome is Outcome.OK:
            result = Result(outcome, bytes(self.body), self.content_type)
        self.parser = None
        self.body = bytearray()
        if not self.closed:
            self.pool.put_idle(self)
        if attempt is not None:
            attempt.end(result)

    def eof_received(self) -> None:
        self.closed = True

    def connection_lost(self, error: Exception | None) -> None:
        self.closed = True
        self.pool.remove(self)
        if self.attempt is not None:
            # all that was written may have run; what was not written whole has not
            self.finish(Outcome.CONNECT_FAILED if self.unsent else Outcome.RESET)

    def close(self) -> None:
        self.closed = True
        self.pool.remove(self)
        if self.transport is not None:
            self.transport.abort()


class Pool:
    """Connections to all upstreams. The most recently used one is used again first."""

    def __init__(self, idle_us: int, dial_timeout_us: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.keep_us = max(0, idle_us - IDLE_MARGIN_US)
        self.dial_timeout_us = dial_timeout_us
        self.idle: dict[Address, list[Connection]] = {}
        self.dials: set[asyncio.Task[None]] = set()
        self.sweeper = self.loop.call_later(1.0, self.sweep)

    def start(self, address: Address, call: Call, timeout_us: int,
              ended: Callable[[Result], None]) -> Attempt:
        data = request_head(call, address, timeout_us) + call.body
        attempt = Attempt(self, address, data, ended)
        oldest_us = clock_us() - self.keep_us
        idle = self.idle.get(address, [])
        while idle:
            connection = idle[-1]
            if connection.idle_since_us > oldest_us and connection.usable():
                idle.pop()
                connection.send(attempt)
                return attempt
            connection.close()
        task = self.loop.create_task(self.dial(address, attempt))
        self.dials.add(task)
        task.add_done_callback(self.dials.discard)
        return attempt

    async def dial(self, address: Address, attempt: Attempt) -> None:
        sock: socket.socket | None = None
        connection: Connection | None = None
        try:
            async with asyncio.timeout(self.dial_timeout_us / 1e6 or None):
                sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                connection = Connection(self, address, sock)
                connection.attempt = attempt
                attempt.connection = connection
                await self.loop.sock_connect(sock, address)
            made = connection
            await self.loop.create_connection(lambda: made, sock=sock)
        except OSError:  # refused, unreachable, no descriptor left, or not up in time
            if sock is not None:
                sock.close()
            waiting = connection.attempt if connection is not None else attempt
            if waiting is not None and not waiting.written:
                if connection is not None:
                    connection.attempt = None
                waiting.end(Result(Outcome.CONNECT_FAILED))

    def put_idle(self, connection: Connection) -> None:
        connection.idle_since_us = clock_us()
        self.idle.setdefault(connection.address, []).append(connection)

    def remove(self, connection: Connection) -> None:
        idle = self.idle.get(connection.address)
        if idle is not None and connection in idle:
            idle.remove(connection)
            if not idle:
                del self.idle[connection.address]

    def close_idle(self, address: Address) -> None:
        for connection in self.idle.get(address, [])[:]:
            connection.close()

    def sweep(self) -> None:
        """Close what upstreams are about to close."""
        self.sweeper = self.loop.call_later(0.1, self.sweep)
        oldest_us = clock_us() - self.keep_us
        for connections in list(self.idle.values()):
            for connection in [c for c in connections if c.idle_since_us <= oldest_us]:
                connection.close()
