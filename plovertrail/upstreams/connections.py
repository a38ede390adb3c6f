"""Attempts at upstreams over HTTP/1.1, and the pool of connections that carry them."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Container
from dataclasses import dataclass

import httptools

from plovertrail.clock import clock_us
from plovertrail.decisions.connect_rate import ConnectRateLimiter
from plovertrail.decisions.events import Outcome
from plovertrail.decisions.fleet_limits import InstanceLimits
from plovertrail.dispatch.types import (
    ProxyRequest,
    TransportResult,
    Tunnel,
    WebSocketHandshake,
    never_disconnected,
)

log = logging.getLogger(__name__)

LONGEST_HEAD = 32 * 1024
FRAMING = 4  # an answer with its head, what comes ahead of it, and its framing holds so many bodies at most
# the settings say when an upstream closes what has stood idle; it may do so while a request is on its way,
# and a sidecar under a CPU limit may stand still for as long
IDLE_MARGIN_US = 300_000
BREAKS_MEMORY = 16  # uses of connections that were idle for about as long
SWEEP_S = 0.1  # the shortest time between two looks for idle connections to close
MOST_BREAKS = 0.15  # share of them that may break: a request lost costs about ten new connections
BREAKS_FADE = 0.99  # for each one passed over, so that they are tried again
BODYLESS = (b"GET", b"HEAD", b"OPTIONS", b"DELETE")  # no length is told where there is no body
Address = tuple[str, int]
Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class AnswerRules:
    """Which answers of servers are taken, and which of these tell of a fault."""

    longest_body: int = 64 * 1024
    faults: frozenset[int] | None = None  # statuses; None: all but 200

    def outcome(self, status: int, not_run: bool) -> Outcome:
        """What a whole answer means. Hazard: only the server's own word tells that nothing has run."""
        if status in (503, 504) and not_run:
            return Outcome.REJECTED
        good = status == 200 if self.faults is None else status not in self.faults
        return Outcome.OK if good else Outcome.ERROR


def request_head(
    call: ProxyRequest, address: Address, timeout_us: int, upgrade: Headers | None = None
) -> bytes:
    """The head of an attempt: the client's own, with the time that the sidecar will wait, and what asks for a
    socket."""
    host = call.host or b"%s:%d" % (address[0].encode(), address[1])
    lines = [b"%s %s HTTP/1.1\r\nHost: %s" % (call.method, call.target, host)]
    lines.extend([b"%s: %s" % header for header in call.headers])
    lines.extend([b"%s: %s" % header for header in upgrade or ()])
    lines.append(b"X-Deadline-Ms: %d" % max(1, timeout_us // 1000))
    if call.body or call.method not in BODYLESS:
        lines.append(b"Content-Length: %d" % len(call.body))
    return b"\r\n".join(lines) + b"\r\n\r\n"


class Attempt:
    """One attempt: it has a connection, or waits until its connection is up."""

    def __init__(
        self,
        data: bytes,
        ended: Callable[[TransportResult], None],
        to_head: bool = False,
        handshake: WebSocketHandshake | None = None,
        key: bytes = b"",
        left: Callable[[], bool] = never_disconnected,
        latest_us: int = 0,
    ) -> None:
        self.data = data
        self.left = left  # whether its client has closed
        self.latest_us = latest_us  # it may not begin later; 0: at any time
        self.to_head = to_head  # its answer has a head only
        self.handshake = handshake
        self.key = key  # that of the handshake
        self.ended = ended
        self.connection: Connection | None = None
        self.written = False
        self.given_up = False

    def may_begin(self) -> bool:
        """Whether it is still of use, and harmless, now that its connection is up."""
        return not (self.latest_us and clock_us() >= self.latest_us) and not self.left()

    def cancel(self) -> None:
        """Nothing more comes of it. A connection that has carried it is closed; one still coming up stays."""
        self.given_up = True
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.attempt = None
            if self.written:
                connection.close()

    def end(self, result: TransportResult) -> None:
        """Report the result to the one who started the attempt, and let go of the connection."""
        self.connection = None
        self.ended(result)


class Connection(asyncio.Protocol):
    """A connection to an upstream; it carries one attempt at a time."""

    def __init__(self, pool: ConnectionPool, upstream: int, sock: socket.socket) -> None:
        self.pool = pool
        self.upstream = upstream
        self.forgotten = False  # the upstream is not in the list any more, or has moved
        self.sock = sock
        self.transport: asyncio.Transport | None = None
        self.attempt: Attempt | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self.idle_since_us = 0
        self.idle_us = 0  # for how long it was idle before the request that it carries
        self.closed = False
        self.unsent = False  # part of what was written is still with us
        self.complete = False  # the answer is whole
        self.status = 0
        self.not_run = False
        self.headers: list[tuple[bytes, bytes]] = []
        self.framed = False  # the head tells where the answer ends
        self.body = bytearray()
        self.received = 0
        self.head_done = False
        self.switched = False  # the answer was a 101 to a handshake
        pool.connections.setdefault(upstream, set()).add(self)
        pool.count += 1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the attempt that waits for the connection if it may still begin; else end it unsent. With no
        attempt the connection becomes idle."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)  # so that we are told whether all has been written
        # hazard: what drains gets nothing new, however long ago the attempt began; and a process that was
        # stopped in this turn doesn't know yet what drains
        if self.forgotten or (self.attempt is not None and self.pool.stale()):
            attempt, self.attempt = self.attempt, None
            self.close()
            if attempt is not None:
                attempt.end(TransportResult(Outcome.CONNECT_FAILED))
        elif self.attempt is None:
            self.pool.put_idle(self)
        elif self.attempt.may_begin():
            self.send(self.attempt)
        else:  # hazard: its connection may take seconds to come up
            attempt, self.attempt = self.attempt, None
            self.pool.put_idle(self)
            attempt.end(TransportResult(Outcome.NOT_SENT))

    def pause_writing(self) -> None:
        """Part of what was written is still in our buffer: the server can't have the whole request."""
        self.unsent = True

    def resume_writing(self) -> None:
        """All that was written has gone to the system: the server may have the whole request."""
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
        """Write an attempt's request and prepare for its answer; the connection has to be up and carry no
        other attempt."""
        assert self.transport is not None
        self.attempt = attempt
        attempt.connection = self
        attempt.written = True
        self.parser = httptools.HttpResponseParser(self)
        self.complete = self.not_run = False
        self.status = 0
        self.headers = []
        self.framed = False
        self.body = bytearray()
        self.received = 0
        self.head_done = False
        if attempt.handshake is not None:
            attempt.handshake.attempt_sent()
        self.transport.write(attempt.data)
        if self.transport.is_closing():  # the write failed: the connection had broken before
            self.unsent = True

    # The answer, as the parser reads it

    def on_message_begin(self) -> None:
        """An answer begins; a second one on a request marks the connection as of no further use."""
        if self.complete:
            self.closed = True  # more than one answer: the connection is of no further use

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header of the answer's head; raises ValueError if it tells of a longer body than is
        allowed."""
        if self.complete or self.head_done:
            return  # of a second answer, or behind a chunked body
        plain = name.lower()
        if plain == b"content-length":
            self.framed = True
            if int(value) > self.pool.rules.longest_body and not self.to_head():
                raise ValueError("the answer is too long")  # hazard: it may keep coming for hours
        elif plain == b"transfer-encoding":
            self.framed = True
        elif plain == b"x-not-run":
            self.not_run = value.strip() == b"1"
        self.headers.append((name, value))

    def to_head(self) -> bool:
        """Whether the attempt is a HEAD request, whose answer has no body whatever its headers say."""
        return self.attempt is not None and self.attempt.to_head

    def on_headers_complete(self) -> None:
        """The answer's head is whole; the final answer to a HEAD request is complete with it."""
        self.head_done = True
        if self.to_head() and self.parser is not None and self.parser.get_status_code() >= 200:
            self.on_message_complete()  # the parser doesn't know what was asked, and waits for a body

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body; raises ValueError if it becomes longer than is allowed. Bytes behind a
        complete answer mark the connection as of no further use."""
        if not self.complete:
            self.body += data
            if len(self.body) > self.pool.rules.longest_body:
                raise ValueError("the answer is too long")
        else:
            self.closed = True  # hazard: a body where none belongs would be read as the next answer

    def on_message_complete(self) -> None:
        """The answer is whole, or an interim one is (status below 200), after which the final one is awaited.
        A 101 to a handshake is only noted here, and handled once the parser has raised."""
        assert self.parser is not None
        if self.complete:
            return
        self.status = self.parser.get_status_code()
        if self.status == 101 and self.attempt is not None and self.attempt.handshake is not None:
            self.switched = True
            return
        if self.status < 200:  # an interim answer; the final one follows
            self.not_run = self.head_done = self.framed = False
            self.headers = []
            return
        self.complete = True
        if not self.parser.should_keep_alive():
            self.closed = True

    def data_received(self, data: bytes) -> None:
        """Read a part of the answer. Bytes that are no answer end the attempt as MALFORMED and close the
        connection; bytes that no request asked for close it as well."""
        if self.attempt is None or self.parser is None:
            self.close()  # bytes that nobody asked for
            return
        self.received += len(data)
        spoilt = False
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            if self.attempt.handshake is not None and self.switched:
                self.finish_upgrade(self.attempt.handshake, data[upgrade.args[0] :])
                return
            spoilt = self.closed = True
        except Exception:  # a 101 and a fault in a callback are not of the parser's own kind
            spoilt = self.closed = True  # hazard: what follows would be taken for the next answer
        if self.complete:
            self.finish_complete()
        elif spoilt or self.switched or self.received > self.most():
            self.close()  # hazard: an answer without end would fill the memory
            self.finish(Outcome.MALFORMED)

    def most(self) -> int:
        """Bytes that an answer may hold, as far as it is known."""
        return FRAMING * self.pool.rules.longest_body if self.head_done else LONGEST_HEAD

    def finish_complete(self) -> None:
        """End the attempt by its complete answer; closes the connection unless it can carry another
        request."""
        if self.closed or self.unsent:  # hazard: the rest of this request would be read as the next one
            self.close()
        outcome = self.pool.rules.outcome(self.status, self.not_run)
        if self.attempt is not None and self.attempt.handshake is not None:
            self.close()  # it was made for one socket
            if 200 <= self.status < 400:
                outcome = Outcome.ERROR  # no socket, and no refusal either: what has run isn't known
        self.finish(outcome)

    def finish_upgrade(self, handshake: WebSocketHandshake, rest: bytes) -> None:
        """The server has switched protocols: if its answer is right, the connection leaves the pool."""
        attempt, transport = self.attempt, self.transport
        assert attempt is not None and transport is not None
        try:
            chosen = handshake.checked_subprotocol(self.headers, attempt.key)
        except ValueError as error:
            log.warning("upstream %d accepted a handshake wrongly: %s", self.upstream, error)
            self.close()
            self.finish(Outcome.MALFORMED)
            return
        self.closed = True
        self.attempt = self.parser = None
        self.pool.remove(self)
        transport.pause_reading()
        attempt.end(TransportResult(Outcome.OK, 101, self.headers, tunnel=Tunnel(transport, rest, chosen)))

    def finish(self, outcome: Outcome) -> None:
        """End the attempt with an outcome and give the connection back to the pool, if it is still open."""
        attempt, self.attempt = self.attempt, None
        if self.idle_us > 0:
            self.pool.learn(self.idle_us, broke=outcome is Outcome.RESET and self.received == 0)
        result = TransportResult(outcome)
        if self.complete:
            result = TransportResult(outcome, self.status, self.headers, bytes(self.body))
        self.parser = None
        self.body = bytearray()
        if not self.closed:
            if self.forgotten:
                self.close()
            else:
                self.pool.put_idle(self)
        if attempt is not None:
            attempt.end(result)

    def eof_received(self) -> None:
        """The end of the connection ends an answer that has no length (RFC 9112, section 6.3); a reset is no
        end."""
        self.closed = True
        if (
            self.attempt is not None
            and self.parser is not None
            and self.head_done
            and not self.framed
            and not self.complete
        ):
            self.status = self.parser.get_status_code()
            self.complete = True
            self.finish_complete()

    def connection_lost(self, error: Exception | None) -> None:
        """The connection has ended: CONNECT_FAILED for an attempt that was not written in full, RESET for one
        that was and so may have run."""
        self.closed = True
        self.parser = None  # hazard: they hold each other, and would wait for a rare full collection
        self.pool.remove(self)
        if self.attempt is not None:
            # all that was written may have run; what was not written whole has not
            self.finish(Outcome.CONNECT_FAILED if self.unsent else Outcome.RESET)

    def close(self) -> None:
        """Abort the connection and take it out of the pool; the attempt that it carries is not ended by
        this."""
        self.closed = True
        self.pool.remove(self)
        if self.transport is not None:
            self.transport.abort()


class Shut:
    """The upstreams that no attempt can reach now, as it would need a connection that may not be made."""

    def __init__(self, pool: ConnectionPool, new: bool) -> None:
        self.pool = pool
        self.new = new

    def __contains__(self, upstream: object) -> bool:
        assert isinstance(upstream, int)
        if not self.new and upstream in self.pool.idle:
            return False
        return not self.pool.may_dial(upstream)


class ConnectionPool:
    """Connections to all upstreams of a list. Hazards: it goes by upstream, not by address, as an upstream
    may come to the address of one that has gone; and the one that has been idle for longest is used first, as
    an end, or more than its answer, may still be on the way on one that has just had its answer."""

    def __init__(
        self, idle_us: int, dial_timeout_us: int, most: int, rules: AnswerRules | None = None
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.keep_us = max(0, idle_us - IDLE_MARGIN_US)
        # share of connections that broke at their next request, by log2 of their idle time
        self.breaks = [0.0] * 64
        self.dial_timeout_us = dial_timeout_us
        self.configured = self.most = most  # connections
        self.count = 0
        self.budget = InstanceLimits()  # this instance's part of what an upstream bears from all
        self.dial_turns: ConnectRateLimiter | None = None
        self.rules = rules or AnswerRules()
        self.connections: dict[int, set[Connection]] = {}  # all there are, also those coming up
        self.idle: dict[int, list[Connection]] = {}
        self.dials: set[asyncio.Task[None]] = set()
        self.stale: Callable[[], bool] = lambda: False  # the turn under way began too long ago to act on
        self.sweeper: asyncio.TimerHandle | None = None  # set while there are idle connections

    def start(
        self,
        upstream: int,
        address: Address,
        call: ProxyRequest,
        timeout_us: int,
        ended: Callable[[TransportResult], None],
        within_us: int = 0,
    ) -> Attempt:
        """Begin an attempt at an upstream, on an idle connection or a new one. `timeout_us` is told to the
        server in X-Deadline-Ms; `within_us`: it may begin no later than this from now, 0 for at any time
        (a handshake always may). `ended` is called once with the result unless the attempt is given up; where
        there can be no connection it is called only after this has returned."""
        handshake = call.handshake
        if handshake is None:
            attempt = Attempt(
                request_head(call, address, timeout_us) + call.body,
                ended,
                call.method == b"HEAD",
                left=call.client_disconnected,
                latest_us=clock_us() + within_us if within_us else 0,
            )
        else:
            key, headers = handshake.upgrade_request()
            head = request_head(call, address, timeout_us, headers)
            attempt = Attempt(head, ended, handshake=handshake, key=key, left=call.client_disconnected)
        now_us = clock_us()
        while handshake is None and (idle := self.idle.get(upstream)):
            connection = idle[0]
            idle_us = now_us - connection.idle_since_us
            if idle_us < self.keep_us and self.trusted(idle_us) and connection.usable():
                self.take(connection)
                connection.idle_us = idle_us
                connection.send(attempt)
                return attempt
            connection.close()
        if not self.may_dial(upstream):
            # the module was told so; but several attempts may have gone for one place
            self.loop.call_soon(self.not_sent, attempt, Outcome.NOT_SENT)
            return attempt
        if self.dial_turns is not None:
            self.dial_turns.consume(now_us)
        try:
            # hazard: one that is made only as its dial begins is not there yet when its upstream is forgotten
            made = self.make(upstream, attempt)
        except OSError:
            self.loop.call_soon(self.not_sent, attempt, Outcome.CONNECT_FAILED)
            return attempt
        task = self.loop.create_task(self.dial(made, address, attempt))
        self.dials.add(task)
        task.add_done_callback(self.dials.discard)
        return attempt

    @staticmethod
    def not_sent(attempt: Attempt, outcome: Outcome) -> None:
        """End an attempt for which there was no connection, unless it was given up meanwhile."""
        if not attempt.given_up:
            attempt.end(TransportResult(outcome))

    def make(self, upstream: int, attempt: Attempt) -> Connection:
        """A connection that is to carry an attempt first, not dialled yet; raises OSError if there may be no
        more."""
        self.make_room()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        made = Connection(self, upstream, sock)
        made.attempt, attempt.connection = attempt, made
        return made

    def allow(self, most: int) -> None:
        """So many connections at most from now on; what is open beyond that closes as it becomes idle."""
        self.configured = most
        self.most = min(most, self.budget.connections or most)

    def limit(self, budget: InstanceLimits, turn: float) -> None:
        """Keep to this instance's part from now on; its first dial comes after `turn`, a random number from 0
        to 1, of the time between two. What is open beyond its part closes as it becomes idle."""
        self.budget = budget
        self.most = min(self.configured, budget.connections or self.configured)
        if not budget.connect_interval_us:
            self.dial_turns = None
        elif self.dial_turns is None:
            self.dial_turns = ConnectRateLimiter(budget.connect_interval_us, clock_us(), turn)
        else:
            self.dial_turns.set_interval(budget.connect_interval_us, clock_us())

    def stood_still(self, turn: float) -> None:
        """The process did nothing for a while; `turn` as for `limit`."""
        if self.dial_turns is not None:
            self.dial_turns.process_paused(clock_us(), turn)

    def may_dial(self, upstream: int) -> bool:
        """Whether a further connection fits into this instance's part."""
        each = self.budget.connections_per_endpoint
        if each and len(self.connections.get(upstream, ())) >= each:
            return False
        if self.budget.connections and self.count >= self.most and not self.idle:
            return False
        return self.dial_turns is None or self.dial_turns.allows(clock_us())

    def unreachable(self, needs_new_connection: bool) -> Container[int]:
        """A live view of the upstreams that can't be reached now, for a handshake without use of idle
        connections."""
        limited = self.budget.connections or self.dial_turns is not None
        return Shut(self, needs_new_connection) if limited else frozenset()

    def next_connect_us(self) -> int:
        """The time on the monotonic clock, in microseconds, from which a connection may be dialled; 0 without
        a limit on the rate of dials."""
        return self.dial_turns.next_us if self.dial_turns is not None else 0

    def promised_connect_us(self, longest_us: int) -> int:
        """When one that is refused for want of a turn to dial should come back, within so long if it can; 0:
        there is no such want."""
        now_us = clock_us()
        if self.dial_turns is None or self.dial_turns.allows(now_us):
            return 0
        return self.dial_turns.reserve_retry_us(now_us, longest_us)

    async def dial(self, made: Connection, address: Address, attempt: Attempt) -> None:
        """Bring a connection up within `dial_timeout_us`. If that fails, it is removed and its attempt ends
        with CONNECT_FAILED; nothing is raised."""
        if attempt.given_up:  # before this task's first step
            made.sock.close()
            self.remove(made)
            return
        try:
            async with asyncio.timeout(self.dial_timeout_us / 1e6 or None):
                await self.loop.sock_connect(made.sock, address)
            await self.loop.create_connection(lambda: made, sock=made.sock)
        except Exception as error:
            # refused, unreachable, not up in time; or no address at all
            if not isinstance(error, OSError):
                log.warning("no connection to upstream %d: %r", made.upstream, error)
            made.attempt = None
            made.sock.close()
            self.remove(made)
            if not attempt.given_up and not attempt.written:
                attempt.end(TransportResult(Outcome.CONNECT_FAILED))

    def make_room(self) -> None:
        """Hazard: silent upstreams, a connection for each attempt, would use up the descriptors."""
        if self.count < self.most:
            return
        idle = [connection for group in self.idle.values() for connection in group]
        if not idle:
            raise OSError("too many connections to upstreams")
        min(idle, key=lambda connection: connection.idle_since_us).close()

    def trusted(self, idle_us: int) -> bool:
        """Hazard: what lies between may drop idle connections sooner than the settings say, without a word.
        Each costs a request; so those idle for as long as others that broke are not used."""
        age = idle_us.bit_length()
        if self.breaks[age] > MOST_BREAKS:
            self.breaks[age] *= BREAKS_FADE
            return False
        return True

    def learn(self, idle_us: int, broke: bool) -> None:
        """How a connection fared that had been idle for so long."""
        age = idle_us.bit_length()
        self.breaks[age] += (float(broke) - self.breaks[age]) / BREAKS_MEMORY

    def put_idle(self, connection: Connection) -> None:
        """Keep a connection for later requests; closes it if there are too many or none is to be kept."""
        if self.count > self.most or not self.budget.keep_idle:
            connection.close()
            return
        connection.idle_since_us = clock_us()
        self.idle.setdefault(connection.upstream, []).append(connection)
        if self.sweeper is None:
            self.sweeper = self.loop.call_later(max(SWEEP_S, self.keep_us / 1e6), self.sweep)

    def take(self, connection: Connection) -> None:
        """It is idle no longer."""
        idle = self.idle.get(connection.upstream, [])
        if connection in idle:
            idle.remove(connection)
            if not idle:
                del self.idle[connection.upstream]

    def remove(self, connection: Connection) -> None:
        """Take a connection out of the pool's books; nothing happens if it isn't there any more."""
        self.take(connection)
        group = self.connections.get(connection.upstream, set())
        if connection in group:
            group.remove(connection)
            self.count -= 1
        if not group:
            self.connections.pop(connection.upstream, None)

    def close_idle(self, upstream: int) -> None:
        """Close all idle connections to an upstream."""
        for connection in self.idle.get(upstream, [])[:]:
            connection.close()

    def forget(self, upstream: int) -> None:
        """An upstream has gone or moved: its idle connections close now, those in use once their attempt has
        ended."""
        self.close_idle(upstream)
        for connection in self.connections.get(upstream, set()):
            connection.forgotten = True

    def sweep(self) -> None:
        """Close what upstreams are about to close."""
        self.sweeper = None
        oldest_us = clock_us() - self.keep_us
        for connections in list(self.idle.values()):
            for connection in [c for c in connections if c.idle_since_us <= oldest_us]:
                connection.close()
        if self.idle:
            next_us = min(connections[0].idle_since_us for connections in self.idle.values()) - oldest_us
            self.sweeper = self.loop.call_later(max(SWEEP_S, next_us / 1e6), self.sweep)
