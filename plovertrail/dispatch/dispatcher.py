"""Hosts the decision modules: what happens becomes their events, and their actions are carried out.

A server pool has a LoadBalancer of its own; a request asks the pools that it was given in their order.
Nothing is decided here. Each request gets its final answer in `Host._answer` and each attempt its
outcome in `Host._end_attempt`, the only places for either, exactly once.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
from collections import deque
from collections.abc import Callable, Container, Mapping, Sequence
from dataclasses import dataclass, field, replace
from itertools import islice
from typing import TYPE_CHECKING

from plovertrail.clock import clock_us
from plovertrail.decisions.actions import (
    Action,
    Cancel,
    CloseIdle,
    Fail,
    Log,
    Reject,
    Send,
    SetTimer,
    Subscribe,
)
from plovertrail.decisions.events import (
    AttemptEnded,
    Endpoint,
    EndpointStatus,
    EndpointsUpdated,
    Event,
    ListKind,
    Outcome,
    PeerHealthUpdated,
    RequestArrived,
    RequestCancelled,
    TimerFired,
)
from plovertrail.decisions.failover import Standing, attempts_left, next_pool
from plovertrail.decisions.load_balancing.balancer import LoadBalancer
from plovertrail.decisions.load_balancing.retry_budget import RetryBudget
from plovertrail.decisions.settings import Settings
from plovertrail.dispatch.types import (
    AttemptHandle,
    EndpointTransport,
    ProxyRequest,
    ProxyResponse,
    ResponseKind,
    TransportResult,
    WebSocketHandshake,
)

if TYPE_CHECKING:  # brought in where they are asked for: the platform's start has none of them
    from plovertrail.decisions.affinity import Affinity, Ring
    from plovertrail.decisions.counts import TenantUse
    from plovertrail.decisions.fair_queue import FairQueue, FairQueueAction, FairQueueSettings
    from plovertrail.decisions.rate_limits import Permit, RateLimiter
    from plovertrail.decisions.startup_admission import StartupAdmission
    from plovertrail.decisions.subsetting import EndpointSubset

log = logging.getLogger(__name__)

ANSWER_MARGIN_US = 10_000  # an answer sets out so long before the client's time is out, to be there in time
BACKSTOP_US = 5_000  # the host's own deadline comes so long after the module's
SLICE = 250  # servers of a list that are told in one go: a module takes about 10 us for each
LEAST_PAUSE_US = 1_000  # between two looks at a door
WOKEN_US = 1_000_000  # for so long after a stop what is read may have come before its end
LAST_RECEIVED = struct.Struct("=52xI")  # tcpi_last_data_recv of Linux's struct tcp_info, in ms
Address = tuple[str, int]


def never_stale() -> bool:
    """Where nobody watches for it."""
    return False


class Either:
    """What is in one of two."""

    def __init__(self, one: Container[int], other: Container[int]) -> None:
        self.one = one
        self.other = other

    def __contains__(self, item: object) -> bool:
        return item in self.one or item in self.other


class ServerPool:
    """Servers under one LoadBalancer: what is listed, and the connections that carry its attempts."""

    def __init__(
        self, name: str, settings: Settings, seed: int, upstreams: EndpointTransport, reissues: RetryBudget
    ) -> None:
        self.name = name
        self.settings = settings
        self.upstreams = upstreams
        self.balancer = LoadBalancer(settings, seed, clock_us(), reissues)
        self.addresses: dict[int, Address] = {}
        self.serving: set[int] = set()  # the servers that new requests may go to
        self.subset: EndpointSubset | None = None  # None: this instance uses all servers
        self.listed: dict[int, Address] = {}  # also those that are not in the subset
        # of a long list, what the module has not been told yet: first what drains or has gone
        self.untold_ends: dict[int, Endpoint | None] = {}  # None: it isn't listed any more
        self.untold: dict[int, Endpoint] = {}
        self.telling: asyncio.Handle | None = None
        self.retired = False
        self.dial_timer: asyncio.TimerHandle | None = None
        self.affinity: Affinity | None = None  # None: requests prefer no server
        self.ring: Ring | None = None
        self.door: FairQueue | None = None  # None: requests go to the module as they come
        self.door_timer: asyncio.TimerHandle | None = None
        self.door_due_us = 0  # when that fires
        self.admission: StartupAdmission | None = None  # None: all may come in that finds a slot

    def forget(self, ident: int) -> None:
        """Nothing new goes to a server, or to its old address."""
        self.serving.discard(ident)
        if self.ring is not None:
            self.ring.discard(ident)
        if self.addresses.pop(ident, None) is not None:
            self.upstreams.forget(ident)

    def sliced(self, event: EndpointsUpdated, addresses: dict[int, Address]) -> EndpointsUpdated:
        """What is told at once: all of a short list, a slice of a long one. The rest waits, what drains or
        has gone first, and is overtaken by what a later list says."""
        whole = event.kind in (ListKind.FULL, ListKind.CACHED) and not event.partial
        gone = self.listed.keys() - addresses.keys() if whole else set()
        self.listed |= addresses
        for ident in gone | {e.id for e in event.endpoints if e.state is EndpointStatus.REMOVED}:
            self.listed.pop(ident, None)
        if len(event.endpoints) + len(gone) > SLICE:  # in slices no part says who is missing
            for ident in gone:
                self.untold.pop(ident, None)
                self.untold_ends[ident] = None
        elif whole:
            self.untold_ends.clear()
            self.untold.clear()
            return event
        elif not self.telling_rest:
            return event
        for entry in event.endpoints:
            self.untold_ends.pop(entry.id, None)
            self.untold.pop(entry.id, None)
            ready = entry.state is EndpointStatus.READY
            if ready:
                self.untold[entry.id] = entry
            else:
                self.untold_ends[entry.id] = entry
        return replace(event, endpoints=self.next_slice(), partial=True)

    @property
    def telling_rest(self) -> bool:
        """Whether part of a long list has not been told yet."""
        return bool(self.untold or self.untold_ends)

    def narrowed(self, event: EndpointsUpdated) -> EndpointsUpdated:
        """What a list, or a slice of it, is to this instance."""
        if self.subset is None:
            return event
        if event.kind in (ListKind.FULL, ListKind.CACHED) and not event.partial:
            mine = self.subset.replace({entry.id for entry in event.endpoints}, event.endpoints, self.listed)
        else:
            mine = self.subset.update(event.endpoints, self.listed, add_missing=not self.telling_rest)
        return replace(event, endpoints=mine, partial=True)

    def next_slice(self) -> list[Endpoint]:
        """Take out the next entries of a long list to tell the module, SLICE at most: as long as there are
        servers that drain or have gone only these, then the ready ones."""
        if self.untold_ends:
            ends = {ident: self.untold_ends.pop(ident) for ident in list(islice(self.untold_ends, SLICE))}
            return [entry or Endpoint(ident, EndpointStatus.REMOVED) for ident, entry in ends.items()]
        return [self.untold.pop(ident) for ident in list(islice(self.untold, SLICE))]

    def follow(self, event: EndpointsUpdated) -> None:
        """Keep what new requests may go to in step with what the module is told."""
        if event.kind in (ListKind.FULL, ListKind.CACHED) and not event.partial:
            for ident in self.addresses.keys() - {entry.id for entry in event.endpoints}:
                self.forget(ident)
        for entry in event.endpoints:
            address = self.listed.get(entry.id)
            if address is None or self.addresses.get(entry.id, address) != address:
                self.forget(entry.id)
            if address is not None and entry.state is not EndpointStatus.REMOVED:
                self.addresses[entry.id] = address
            if entry.state is EndpointStatus.READY:
                self.serving.add(entry.id)
                if self.ring is not None and address is not None:
                    self.ring.put(entry.id, address, entry.weight)
            else:
                self.forget(entry.id)

    def use_affinity(self, affinity: Affinity) -> None:
        """Requests prefer servers by this. Before the first list."""
        from plovertrail.decisions.affinity import Ring

        self.affinity, self.ring = affinity, Ring()

    def preferred(self, call: ProxyRequest) -> tuple[int, ...]:
        """The servers that a request should go to if they have a free slot."""
        if self.affinity is None or self.ring is None:
            return ()
        key = self.affinity.key_of(call.client, call.tenant_name, call.target, call.headers)
        return self.ring.preferred(key)

    def lets_in(self) -> bool:
        """Whether this instance lets a request in beside those that the pool has."""
        admission = self.admission
        if admission is None:
            return True
        admission.reckon(len(self.serving))
        return admission.may(len(self.balancer.requests), clock_us())


@dataclass(slots=True)
class Attempt:
    """One try of a request at one server, from the decision to send it until its result. Times are by the
    monotonic clock, in microseconds."""

    pool: ServerPool
    upstream: int
    sent_us: int
    flight: AttemptHandle | None = None
    timer: asyncio.TimerHandle | None = None
    ended: bool = False
    placed: bool = False  # the socket that it asks for counts at its server


@dataclass(slots=True)
class Request:
    """A client's request while it is open or any of its attempts is. `due_us` is the deadline by the
    monotonic clock, in microseconds; `reply` is called with the final answer, once at most."""

    ident: int
    call: ProxyRequest
    due_us: int
    reply: Callable[[ProxyResponse], None]
    pools: Sequence[ServerPool]  # those it began with, in their order
    standing: Standing
    pool: ServerPool | None = None  # the one that has it now
    first: int = 0  # the number of that pool's first attempt
    asks: RequestArrived | None = None  # what that pool's module is told once its door lets it through
    work_us: int = 0  # for how long that pool's slots were held, over its attempts
    last: TransportResult | None = None  # of the attempt that ended last
    attempts: list[Attempt] = field(default_factory=list)
    timer: asyncio.TimerHandle | None = None
    permits: Sequence[Permit] = ()  # of the limits that it counts under
    over: bool = False  # it has had its final answer, or the client has gone


class Dispatcher:
    """The server pools, their clock and timers, and the requests and attempts that are live."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.subscribe: Callable[[bool], None] = lambda active: None
        self.tenant_use: TenantUse | None = None  # where instances count together
        self.servers_changed: Callable[[ServerPool, EndpointsUpdated], None] = lambda pool, event: None
        self.reissues = RetryBudget()  # one budget for all pools
        # called with each attempt that has ended, where instances tell one another of servers
        self.attempt_over: Callable[[ServerPool, int, int, Outcome, int], None] | None = None
        self.pools: list[ServerPool] = []
        self.requests: dict[int, Request] = {}
        self.last_ident = 0
        self.events: deque[tuple[ServerPool, Event]] = deque()
        self.running = False
        # while it may act on nothing: what lists say, which goes first, and sends that were decided before
        self.held = False
        self.held_lists: list[tuple[ServerPool, Event]] = []
        self.held_sends: list[tuple[ServerPool, Send]] = []
        self.stale: Callable[[], bool] = never_stale  # the turn under way began too long ago to act on
        self.gap_us = 0  # for how long the process last stood still,
        self.woke_us = 0  # and when that ended

    # What happens

    def add_pool(self, name: str, settings: Settings, seed: int, upstreams: EndpointTransport) -> ServerPool:
        """A new pool; its module may ask for what it wants from the first moment on."""
        pool = ServerPool(name, settings, seed, upstreams, self.reissues)
        self.pools.append(pool)
        return pool

    def start(self, pool: ServerPool) -> None:
        """Let a pool's module act for the first time, by a timer event."""
        self._tell(pool, TimerFired(0))

    def retire(self, pool: ServerPool) -> None:
        """A pool that is configured no more: nothing new goes to its servers, what is out finishes."""
        self.pools.remove(pool)
        pool.retired = True
        pool.subset = None
        pool.untold_ends.clear()
        pool.untold.clear()
        self._tell_list(pool, EndpointsUpdated(ListKind.FULL))
        for request in list(self.requests.values()):
            # hazard: one that waits in its buffer would wait for a slot that never comes
            if request.pool is pool and not request.over and all(a.ended for a in request.attempts):
                self._tell(pool, RequestCancelled(request.ident))
                self._given_up(request, ProxyResponse(ResponseKind.REJECTED, self._retry_after_us(pool)))

    def arrived(
        self,
        call: ProxyRequest,
        reply: Callable[[ProxyResponse], None],
        pools: Sequence[ServerPool],
        limiters: Sequence[RateLimiter] = (),
    ) -> int:
        """A request has been taken; `reply` is called once with its answer unless the client goes first."""
        self.last_ident += 1
        due_us = call.arrived_us + max(1, call.deadline_us - ANSWER_MARGIN_US)
        request = Request(self.last_ident, call, due_us, reply, pools, Standing(due_us))
        self.requests[request.ident] = request
        # hazard: whatever becomes of the module's own timers, no client is left without an answer
        request.timer = self._at(due_us + BACKSTOP_US, self._overdue, request)
        if self.tenant_use is not None:
            self.tenant_use.came(call.tenant, clock_us())
        if limiters:
            from plovertrail.decisions.rate_limits import LimitExceeded, admit

            found = admit(limiters, call.tenant_name, call.client, clock_us())
            if isinstance(found, LimitExceeded):
                self._answer(
                    request.ident, ProxyResponse(ResponseKind.REJECTED, found.retry_after_us, over=found)
                )
                return request.ident
            request.permits = found
        self._given_up(request, ProxyResponse(ResponseKind.REJECTED, self._retry_after_us(pools[0])))
        return request.ident

    @staticmethod
    def _retry_after_us(pool: ServerPool) -> int:
        """Where no server is listed there is nothing to estimate by: the longest advice."""
        return pool.settings.max_retry_after_us if pool.settings.retry_after else 0

    def gone(self, ident: int) -> None:
        """The client has closed its connection."""
        request = self.requests.get(ident)
        if request is not None and not request.over:
            self._finish(request)
            if request.pool is not None:
                self._tell(request.pool, RequestCancelled(ident))

    def end(self, ident: int) -> None:
        """No more time is left for it: a request that is still open has its final answer now."""
        request = self.requests.get(ident)
        if request is not None and not request.over:
            self._out_of_time(request)

    # A process that stood still

    def hold(self, gap_us: int = 0) -> None:
        """Act on nothing until `go_on`. What is on its way and not written is given up: its server may drain.
        Bound: what waits meanwhile is what is open, each with its few events."""
        self.gap_us, self.woke_us = max(gap_us, self.gap_us if self.held else 0), clock_us()
        self.held = True
        for request in list(self.requests.values()):
            for number, attempt in enumerate(request.attempts):
                if not attempt.ended and attempt.flight is not None and not attempt.flight.written:
                    self._give_up(request, number, Outcome.CONNECT_FAILED)

    def go_on(self) -> None:
        """The sources have been read: what they said goes first, then what was decided, then what came."""
        if not self.held:
            return
        self.held = False
        lists, self.held_lists = self.held_lists, []
        sends, self.held_sends = self.held_sends, []
        self.events.extendleft(reversed(lists))
        for pool, action in sends:
            self._send(pool, action)
        self._run()

    def waited_us(self, sock: socket.socket) -> int:
        """For how long what a client sent may have lain unread while the process stood still. Hazard: its
        time began when it was sent, and counted from when it was read it would be sent on too late."""
        since_us = clock_us() - self.woke_us
        if not self.gap_us or since_us > WOKEN_US:
            return 0
        longest_us = self.gap_us + since_us
        try:
            found = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_RECEIVED.size)
            return min(longest_us, 1000 * int(LAST_RECEIVED.unpack(found)[0]))
        except (OSError, struct.error):
            return longest_us  # the kernel doesn't tell: as if it had come first

    # Lists

    def list_changed(self, pool: ServerPool, event: EndpointsUpdated, addresses: dict[int, Address]) -> None:
        """What is known of a pool's servers has changed."""
        if event.kind is ListKind.FAILED:
            self._tell(pool, event)
            return
        self.servers_changed(pool, event)
        self._tell_list(pool, pool.narrowed(pool.sliced(event, addresses)))
        self._tell_rest(pool, event.kind)

    def heard_of(self, pool: ServerPool, held_back: Mapping[tuple[int, int], float]) -> None:
        """What other instances make of a pool's servers, by number and class."""
        self._tell(pool, PeerHealthUpdated(held_back))

    def use_subset(self, pool: ServerPool, subset: EndpointSubset) -> None:
        """This instance uses a part of a pool's servers from now on. Before the first list."""
        pool.subset = subset

    def use_door(
        self, pool: ServerPool, settings: FairQueueSettings | None, rng: Callable[[], float]
    ) -> None:
        """A pool has a door, another one, or none, from now on; who waits at it goes on waiting, or is let
        through."""
        if settings is not None and pool.door is not None:
            pool.door.configure(settings)
        elif settings is not None:
            from plovertrail.decisions.fair_queue import FairQueue

            pool.door = FairQueue(settings, clock_us(), rng)
        elif pool.door is not None:
            waiting, pool.door = list(pool.door.waiting), None
            for ident in waiting:
                self._let_through(pool, ident)

    def _tell_list(self, pool: ServerPool, event: EndpointsUpdated) -> None:
        pool.follow(event)
        self._tell(pool, event)

    def _tell_rest(self, pool: ServerPool, kind: ListKind) -> None:
        """Hazard: to tell of 10,000 servers in one go would hold up all that is open for longer than some of
        it has left."""
        if pool.telling_rest and pool.telling is None:
            pool.telling = self.loop.call_soon(self._tell_slice, pool, kind)

    def _tell_slice(self, pool: ServerPool, kind: ListKind) -> None:
        pool.telling = None
        entries = pool.next_slice()
        if entries:
            self._tell_list(pool, pool.narrowed(EndpointsUpdated(kind, entries, partial=True)))
            self._tell_rest(pool, kind)

    def _changed_subset(self, pool: ServerPool, entries: list[Endpoint]) -> None:
        if entries:
            self._tell_list(pool, EndpointsUpdated(ListKind.DELTA, entries))

    def narrow(self, pool: ServerPool) -> None:
        """Now and then: what the pool's subset can do without goes."""
        if pool.retired or pool.subset is None:
            return
        busy = {
            attempt.upstream
            for request in self.requests.values()
            for attempt in request.attempts
            if attempt.pool is pool and not attempt.ended
        }
        self._changed_subset(pool, pool.subset.narrow(clock_us(), busy))

    @property
    def ready(self) -> bool:
        """Whether there is a server to send to."""
        return any(pool.addresses for pool in self.pools)

    # Events in, actions out

    def _tell(self, pool: ServerPool, event: Event) -> None:
        """Hand over an event and carry out the actions; what they bring about at once waits its turn."""
        if self.held and isinstance(event, EndpointsUpdated):
            self.held_lists.append((pool, event))
        elif not (self.held and isinstance(event, TimerFired) and (pool, event) in self.events):
            self.events.append((pool, event))
        self._run()

    def _run(self) -> None:
        if self.running or self.held:
            return
        self.running = True
        try:
            while self.events and not self.held:
                self._handle(*self.events.popleft())
                if not self.events and not self.held:
                    self._open_doors()
        finally:
            self.running = False

    def _handle(self, pool: ServerPool, event: Event) -> None:
        try:
            actions = pool.balancer.handle(clock_us(), event)
        except Exception:
            # hazard: one request that the module stumbles over must not take the others with it
            log.exception("the module failed on %s", type(event).__name__)
            request = self.requests.get(getattr(event, "request", 0))
            if request is not None and not request.over:
                self._answer(request.ident, ProxyResponse(ResponseKind.FAILED))
                self.events.append((pool, RequestCancelled(request.ident)))
            return
        for action in actions:
            try:
                self._carry_out(pool, action)
            except Exception:
                log.exception("could not carry out %s", type(action).__name__)

    def _carry_out(self, pool: ServerPool, action: Action) -> None:
        if isinstance(action, Send):
            if self.stale() and not self.held:
                self.hold()  # hazard: stopped between two events of one turn, the second would send
            if self.held:
                self.held_sends.append((pool, action))
            else:
                self._send(pool, action)
        elif isinstance(action, Reject):
            self._gave_up(
                pool, action.request, ProxyResponse(ResponseKind.REJECTED, self._back_after_us(pool, action))
            )
            if pool.subset is not None:
                self._changed_subset(pool, pool.subset.widen(clock_us()))
        elif isinstance(action, Fail):
            self._gave_up(pool, action.request, ProxyResponse(ResponseKind.FAILED))
        elif isinstance(action, SetTimer):
            self._at(action.at_us, self._tell, pool, TimerFired(action.token))
        elif isinstance(action, Cancel):
            self._cancel(pool, action)
        elif isinstance(action, CloseIdle):
            pool.upstreams.close_idle(action.endpoint_id)
        elif isinstance(action, Subscribe):
            self.subscribe(action.active)
        elif isinstance(action, Log):
            log.info("%s", f"{pool.name}: {action.text}" if pool.name else action.text)
        else:
            log.warning("not carried out here: %s", type(action).__name__)

    def _at(self, at_us: int, what: Callable[..., None], *args: object) -> asyncio.TimerHandle:
        return self.loop.call_later(max(0, at_us - clock_us() + 1) / 1e6, what, *args)

    # Requests

    def _overdue(self, request: Request) -> None:
        if not request.over:
            log.warning("a request was overdue")
            self._out_of_time(request)

    def _out_of_time(self, request: Request) -> None:
        answer = ProxyResponse(ResponseKind.FAILED, result=request.last)
        if not request.attempts:  # nothing has run
            answer = ProxyResponse(ResponseKind.REJECTED, self._retry_after_us(request.pools[0]))
        self._answer(request.ident, answer)
        if request.pool is not None:
            self._tell(request.pool, RequestCancelled(request.ident))

    def _gave_up(self, pool: ServerPool, ident: int, answer: ProxyResponse) -> None:
        """A pool's module gives a request up."""
        request = self.requests.get(ident)
        if request is not None and request.pool is pool and not request.over:
            self._given_up(request, answer)

    def _given_up(self, request: Request, answer: ProxyResponse) -> None:
        """No pool has the request: on to its next one, or else this is its answer."""
        standing, handshake = request.standing, request.call.handshake
        serving = [
            bool(pool.serving) if handshake is None else handshake.has_room(pool.name, pool.serving)
            for pool in request.pools
        ]
        most = request.pools[0].settings.max_attempts
        number = next_pool(standing, serving, most, self.reissues, clock_us())
        if number is None:
            answer.result = request.last
            self._answer(request.ident, answer)
            return
        self._leave_door(request)
        pool, call = request.pools[number], request.call
        if pool.door is None and pool.admission is not None and not pool.lets_in():
            standing.asked = number + 1
            after_us = pool.admission.back_after_us() if pool.settings.retry_after else 0
            self._given_up(request, ProxyResponse(ResponseKind.REJECTED, after_us))
            return
        barred = pool.upstreams.shut(handshake is not None)
        if handshake is not None:
            barred = Either(barred, handshake.barred(pool.name))
        standing.asked = number + 1
        request.pool, request.first = pool, len(request.attempts)
        request.asks = RequestArrived(
            request.ident,
            request.due_us,
            call.class_index,
            call.tenant,
            call.key,
            call.cost_us,
            call.retried,
            earlier_attempts=standing.attempts,
            attempts_left=attempts_left(standing, serving, number, most),
            excluded=barred,
            preferred=pool.preferred(call),
            tenant_share=0.0 if self.tenant_use is None else self.tenant_use.share(call.tenant, clock_us()),
        )
        if pool.door is None:
            self._let_through(pool, request.ident)
        else:
            self._to_door(pool, pool.door, request)

    # Doors

    def _to_door(self, pool: ServerPool, door: FairQueue, request: Request) -> None:
        """A request comes to a pool's door. Hazard: what has been let through and not been told yet will take
        slots that still look free."""
        from plovertrail.decisions.fair_queue import FairQueueRequest

        call, now_us = request.call, clock_us()
        room = not self.events and pool.balancer.has_capacity(now_us) and pool.lets_in()
        actions = door.arrived(
            FairQueueRequest(
                request.ident,
                call.tenant_name,
                call.client,
                pool.settings.classes[call.class_index].priority_weight,
                request.due_us,
            ),
            now_us,
            room,
        )
        self._from_door(pool, actions)
        if request.ident in door.waiting:
            self._mind_door(pool, door)
            if pool.subset is not None:
                self._changed_subset(pool, pool.subset.widen(now_us))

    def _from_door(self, pool: ServerPool, actions: Sequence[FairQueueAction]) -> None:
        from plovertrail.decisions.fair_queue import Admitted

        for action in actions:
            if isinstance(action, Admitted):
                self._let_through(pool, action.request_id)
            else:
                after_us = action.retry_after_us if pool.settings.retry_after else 0
                self._gave_up(pool, action.request_id, ProxyResponse(ResponseKind.REJECTED, after_us))

    def _let_through(self, pool: ServerPool, ident: int) -> None:
        request = self.requests.get(ident)
        if request is not None and not request.over and request.asks is not None:
            asks, request.asks = request.asks, None
            self._tell(pool, asks)
            self._wake_for_dial(pool, request)

    def _open_doors(self) -> None:
        """The next one is let through where there is room, one at a time, as each takes a slot."""
        for pool in self.pools:
            door = pool.door
            if (
                door is not None
                and door.waiting
                and pool.balancer.has_capacity(clock_us())
                and pool.lets_in()
            ):
                admitted = door.next(clock_us())
                if admitted is not None:
                    self._let_through(pool, admitted.request_id)
                    return  # its event is in the queue now, and the doors are looked at again after it

    def _mind_door(self, pool: ServerPool, door: FairQueue) -> None:
        """Hazard: a slot that opens by time, or a wait that ends, has no event to wake the door."""
        expiry_us = door.next_expiration_us()
        if expiry_us is None:
            return
        at_us = max(min(expiry_us, pool.balancer.next_slot_opening_us()), clock_us() + LEAST_PAUSE_US)
        if pool.door_timer is not None:
            if pool.door_due_us <= at_us:
                return
            pool.door_timer.cancel()
        pool.door_timer, pool.door_due_us = self._at(at_us, self._door_due, pool), at_us

    def _door_due(self, pool: ServerPool) -> None:
        pool.door_timer = None
        door = pool.door
        if door is not None:
            self._from_door(pool, door.expired(clock_us()))
            self._tell(pool, TimerFired(0))
            self._mind_door(pool, door)

    def _leave_door(self, request: Request) -> None:
        """A pool's door is rid of a request: it waits no more, or what it let through is over."""
        pool, request.asks = request.pool, None
        if pool is not None and pool.door is not None:
            pool.door.cancelled(request.ident, clock_us())
            pool.door.ended(request.ident, request.work_us, clock_us())
        request.work_us = 0

    # Times

    def _wake_for_dial(self, pool: ServerPool, request: Request) -> None:
        """Hazard: a request that waits for a connection that may be made later has no event to wake it."""
        wait_us = pool.upstreams.next_dial_us() - clock_us()
        if wait_us > 0 and not request.over and not request.attempts and pool.dial_timer is None:
            pool.dial_timer = self._at(clock_us() + wait_us, self._may_dial, pool)

    def _may_dial(self, pool: ServerPool) -> None:
        pool.dial_timer = None
        self._tell(pool, TimerFired(0))

    def _back_after_us(self, pool: ServerPool, action: Reject) -> int:
        """A client that is refused for want of a connection comes back in vain before one may be made."""
        if not action.retry_after_us:
            return 0
        most_us = pool.settings.max_retry_after_us
        return max(action.retry_after_us, min(most_us, pool.upstreams.promised_dial_us(most_us) - clock_us()))

    def _answer(self, ident: int, answer: ProxyResponse) -> None:
        """The one place of final answers."""
        request = self.requests.get(ident)
        if request is None or request.over:
            return
        self._finish(request)
        request.reply(answer)

    def _finish(self, request: Request) -> None:
        """Nothing is owed any more, and what has not been written yet is not sent."""
        request.over = True
        if request.asks is not None:
            self._leave_door(request)
        if request.timer is not None:
            request.timer.cancel()
        for number, attempt in enumerate(request.attempts):
            if attempt.flight is not None and not attempt.ended and not attempt.flight.written:
                attempt.flight.give_up()
                self._end_attempt(request, number, TransportResult(Outcome.NOT_SENT))
        self._drop_if_done(request)

    def _drop_if_done(self, request: Request) -> None:
        over = request.over and all(attempt.ended for attempt in request.attempts)
        if over and self.requests.pop(request.ident, None) is not None:
            self._leave_door(request)
            for permit in request.permits:
                permit.limiter.ended(permit, clock_us())

    # Attempts

    def _send(self, pool: ServerPool, action: Send) -> None:
        request = self.requests.get(action.request)
        if request is None or request.pool is not pool:
            return  # over, and the module has been told
        now_us = clock_us()
        number = len(request.attempts)
        attempt = Attempt(pool, action.endpoint_id, now_us)
        request.attempts.append(attempt)
        request.standing.attempt_began()
        address = pool.addresses.get(action.endpoint_id)
        left_us = request.due_us - now_us
        if address is None:  # it was forgotten since the module chose it
            self._end_attempt(request, number, TransportResult(Outcome.CONNECT_FAILED))
            return
        if (
            request.over
            or left_us <= 0
            or action.timeout_us < 0
            or number >= request.pools[0].settings.max_attempts
            or self._has_left(request)
            or not self._may_place(attempt, address, request.call)
        ):
            self._end_attempt(request, number, TransportResult(Outcome.NOT_SENT))
            return
        timeout_us = min(action.timeout_us or left_us, left_us)
        attempt.timer = self._at(now_us + timeout_us, self._timed_out, request, number)
        attempt.flight = pool.upstreams.start(
            action.endpoint_id,
            address,
            request.call,
            timeout_us,
            lambda result: self._end_attempt(request, number, result),
            action.start_within_us,
        )

    def _has_left(self, request: Request) -> bool:
        """Whether the client has closed by now. Hazard: its end may lie in the system while a due timer, a
        freed slot or a long turn comes first, and what is sent then runs for nobody."""
        if request.call.left():
            self.gone(request.ident)
        return request.over

    @staticmethod
    def _may_place(attempt: Attempt, address: tuple[str, int], call: ProxyRequest) -> bool:
        if call.handshake is None:
            return True
        attempt.placed = call.handshake.placed(attempt.pool.name, attempt.upstream, address)
        return attempt.placed

    def _timed_out(self, request: Request, number: int) -> None:
        self._give_up(request, number, Outcome.TIMEOUT)

    def _cancel(self, pool: ServerPool, action: Cancel) -> None:
        request = self.requests.get(action.request)
        if request is not None and request.pool is pool:
            number = request.first + action.attempt
            if number < len(request.attempts):
                self._give_up(request, number, Outcome.CANCELLED)

    def _give_up(self, request: Request, number: int, outcome: Outcome) -> None:
        attempt = request.attempts[number]
        if attempt.ended or attempt.flight is None:
            return
        if not attempt.flight.written:
            outcome = Outcome.CONNECT_FAILED  # no connection in time: it never ran
        attempt.flight.give_up()
        self._end_attempt(request, number, TransportResult(outcome))

    def _end_attempt(self, request: Request, number: int, result: TransportResult) -> None:
        """The one place where attempts end."""
        attempt = request.attempts[number]
        if attempt.ended:
            return
        attempt.ended = True
        attempt.flight = None
        if attempt.timer is not None:
            attempt.timer.cancel()
        if request.call.handshake is not None:
            result = self._socket_result(request, attempt, result, request.call.handshake)
        request.last = result
        elapsed_us = clock_us() - attempt.sent_us
        request.work_us += elapsed_us
        if self.attempt_over is not None:
            self.attempt_over(
                attempt.pool, attempt.upstream, request.call.class_index, result.outcome, elapsed_us
            )
        if attempt.pool.admission is not None:
            aim_us = attempt.pool.settings.classes[request.call.class_index].latency_objective_us
            attempt.pool.admission.ended(result.outcome, elapsed_us, aim_us, clock_us())
        request.standing.attempt_ended(result.outcome)
        if result.outcome is Outcome.OK:
            self._answer(request.ident, ProxyResponse(ResponseKind.SERVED, result=result))
        self._drop_if_done(request)
        self._tell(
            attempt.pool,
            AttemptEnded(
                request.ident,
                number - request.first,
                attempt.upstream,
                result.outcome,
                elapsed_us,
                request.over,
            ),
        )

    @staticmethod
    def _socket_result(
        request: Request, attempt: Attempt, result: TransportResult, handshake: WebSocketHandshake
    ) -> TransportResult:
        """How a handshake's attempt has ended. A socket that may not open (its client has gone, its server
        drains) is closed again: it has run."""
        if result.tunnel is not None and (request.over or not handshake.accepted()):
            result.tunnel.close()
            result = TransportResult(Outcome.RESET)
        if result.tunnel is None and attempt.placed:
            handshake.missed()
        return result
