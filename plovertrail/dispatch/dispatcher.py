"""Connects the decision modules to the sockets: passes events to them and carries out their actions.

Each server pool has a load balancer of its own, and a request tries the pools of its route in order. Nothing
is decided here. A request gets its final response only in `Dispatcher.answer` and an attempt its outcome only
in `Dispatcher.end_attempt`, each exactly once.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
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
    Event,
    Outcome,
    RequestCancelled,
    TimerFired,
)
from plovertrail.decisions.failover import FailoverState
from plovertrail.decisions.load_balancing.retry_budget import RetryBudget
from plovertrail.dispatch.attempts import AttemptRunner
from plovertrail.dispatch.event_queue import EventQueue
from plovertrail.dispatch.live_request import LiveAttempt, LiveRequest
from plovertrail.dispatch.observers import DiscoverySubscriber, NoDiscovery
from plovertrail.dispatch.pool_sequence import PoolSequence, rejection_without_endpoints
from plovertrail.dispatch.pools import Pools
from plovertrail.dispatch.request_log import RequestLog
from plovertrail.dispatch.server_pool import ServerPool
from plovertrail.dispatch.suspension import Suspension
from plovertrail.dispatch.timers import call_at
from plovertrail.dispatch.types import (
    ProxyRequest,
    ProxyResponse,
    ResponseKind,
    TransportResult,
    WebSocketHandshake,
    never_stale,
)
from plovertrail.problem_log import ProblemLog

if TYPE_CHECKING:  # imported only where configured, to keep the platform's sidecar (__main__.py) small
    from plovertrail.decisions.rate_limits import RateLimiter
    from plovertrail.decisions.shared_counters import TenantUsage

log = logging.getLogger(__name__)

ANSWER_MARGIN_US = 10_000  # a response is due this long before the client's deadline, to arrive in time
BACKSTOP_US = 5_000  # the dispatcher's own timer fires this long after the load balancer's deadline


class Dispatcher:
    """Holds the live requests and their attempts, and the pools that they are sent to.

    `turn_is_stale` returns whether the process was paused during the current iteration of the event loop, so
    that its knowledge of the endpoints may be out of date.
    """

    def __init__(self, turn_is_stale: Callable[[], bool] = never_stale) -> None:
        self.loop = asyncio.get_running_loop()
        self.turn_is_stale = turn_is_stale
        self.retry_budget = RetryBudget()  # one for all pools
        self.requests: dict[int, LiveRequest] = {}
        self.last_request_id = 0
        self.suspension = Suspension()
        self.events = EventQueue(self.suspension, self._handle, self._admit_queued)
        self.pools = Pools(self.events, self.retry_budget)
        self.attempts = AttemptRunner(self.loop, self)
        self.sequence = PoolSequence(self.loop, self.events, self.retry_budget, self)
        self.problems = ProblemLog()
        self.request_log = RequestLog(self.problems)
        self.tenant_use: TenantUsage | None = None  # set where instances share their counters
        self.discovery: DiscoverySubscriber = NoDiscovery()

    # Pools

    def start(self, pool: ServerPool) -> None:
        """Wake a pool's load balancer for the first time."""
        self.sequence.wake(pool)

    def retire(self, pool: ServerPool) -> None:
        """Take a pool out of service: it gets no new attempts, and those in flight finish."""
        self.pools.remove(pool)
        for request in list(self.requests.values()):
            # A request in the load balancer's buffer would wait for a slot that never becomes free.
            waits = request.pool is pool and not request.finished
            if waits and all(attempt.ended for attempt in request.attempts):
                self.events.put(pool, RequestCancelled(request.request_id))
                self.sequence.try_next_pool(request, rejection_without_endpoints(pool))

    def shrink_subset(self, pool: ServerPool) -> None:
        """Drop the endpoints that a pool's subset no longer needs, except those with attempts in flight."""
        if pool.retired or pool.subset is None:
            return
        busy = {
            attempt.endpoint_id
            for request in self.requests.values()
            for attempt in request.attempts
            if attempt.pool is pool and not attempt.ended
        }
        pool.feed.shrink_subset(clock_us(), busy)

    # Suspension after a pause of the process

    def suspend(self, paused_us: int = 0) -> None:
        """Send nothing until `resume`; cancels unwritten attempts, as their endpoints may be draining."""
        self.suspension.begin(paused_us)
        for request in list(self.requests.values()):
            self.attempts.abandon_unwritten(request, Outcome.CONNECT_FAILED)

    def resume(self) -> None:
        """Process what was held back, once the sources have been read again.

        Endpoint lists come first, then sends, then other events.
        """
        if not self.suspension.active:
            return
        updates, sends = self.suspension.end()
        self.events.put_back(updates)
        for pool, action in sends:
            self._send(pool, action)
        self.events.run()

    # Requests

    def submit(
        self,
        proxied: ProxyRequest,
        reply: Callable[[ProxyResponse], None],
        pools: Sequence[ServerPool],
        limiters: Sequence[RateLimiter] = (),
    ) -> int:
        """Accept a request; `reply` is called once with its response unless its client disconnects first."""
        self.last_request_id += 1
        due_us = proxied.arrived_us + max(1, proxied.deadline_us - ANSWER_MARGIN_US)
        request = LiveRequest(self.last_request_id, proxied, due_us, reply, pools, FailoverState(due_us))
        self.requests[request.request_id] = request
        # Guarantees a response even if the load balancer's own timers fail.
        request.timer = call_at(self.loop, due_us + BACKSTOP_US, self._deadline_exceeded, request)
        if self.tenant_use is not None:
            self.tenant_use.record_request(proxied.tenant, clock_us())
        if limiters:
            from plovertrail.decisions.rate_limits import LimitExceeded, admit

            result = admit(limiters, proxied.tenant_name, proxied.client, clock_us())
            if isinstance(result, LimitExceeded):
                response = ProxyResponse(ResponseKind.REJECTED, result.retry_after_us, limit_exceeded=result)
                self.answer(request.request_id, response)
                return request.request_id
            request.permits = result
        self.sequence.try_next_pool(request, rejection_without_endpoints(pools[0]))
        return request.request_id

    def tenant_share(self, tenant: int) -> float:
        """A tenant's share of the requests to the whole fleet; 0: unknown, or counters are not shared."""
        return 0.0 if self.tenant_use is None else self.tenant_use.share(tenant, clock_us())

    def disconnected(self, request_id: int) -> None:
        """Handle that the client of a request has closed its connection."""
        request = self.requests.get(request_id)
        if request is not None and not request.finished:
            self.request_log.client_left(request)
            self._finish(request)
            if request.pool is not None:
                self.events.put(request.pool, RequestCancelled(request_id))

    def expire(self, request_id: int) -> None:
        """Answer a request now, as its time is up."""
        request = self.requests.get(request_id)
        if request is not None and not request.finished:
            self._answer_expired(request)

    def _deadline_exceeded(self, request: LiveRequest) -> None:
        if not request.finished:
            log.warning("request exceeded its deadline request=%d", request.request_id)
            self._answer_expired(request)

    def _answer_expired(self, request: LiveRequest) -> None:
        response = ProxyResponse(ResponseKind.FAILED, result=request.last_result)
        if not request.attempts:  # nothing has run
            response = rejection_without_endpoints(request.pools[0])
        self.answer(request.request_id, response)
        if request.pool is not None:
            self.events.put(request.pool, RequestCancelled(request.request_id))

    def answer(self, request_id: int, response: ProxyResponse) -> None:
        """Give a request its final response; ignored if it has finished already."""
        request = self.requests.get(request_id)
        if request is None or request.finished:
            return
        self.request_log.answered(request, response)
        self._finish(request)
        request.reply(response)

    def _finish(self, request: LiveRequest) -> None:
        """Mark a request as finished; attempts that are not written yet are cancelled."""
        request.finished = True
        if request.arrival is not None:
            self.sequence.release_queue_place(request)
        if request.timer is not None:
            request.timer.cancel()
        self.attempts.abandon_unwritten(request, Outcome.NOT_SENT)
        self._drop_if_done(request)

    def _drop_if_done(self, request: LiveRequest) -> None:
        done = request.finished and all(attempt.ended for attempt in request.attempts)
        if done and self.requests.pop(request.request_id, None) is not None:
            self.sequence.release_queue_place(request)
            for permit in request.permits:
                permit.limiter.ended(permit, clock_us())

    # Events and actions of the load balancers

    def _admit_queued(self) -> None:
        """Admit the next queued request that finds a free slot: only one, as it takes that slot."""
        for pool in self.pools:
            if pool.queue is not None and pool.queue.admit_next():
                return  # its event is queued now, and this method is called again once that is handled

    def _handle(self, pool: ServerPool, event: Event) -> None:
        try:
            actions = pool.balancer.handle(clock_us(), event)
        except Exception:
            # An exception on one request must not affect the others.
            log.exception("load balancer failed event=%s pool=%s", type(event).__name__, pool.name)
            request = self.requests.get(getattr(event, "request", 0))
            if request is not None and not request.finished:
                self.answer(request.request_id, ProxyResponse(ResponseKind.FAILED))
                self.events.events.append((pool, RequestCancelled(request.request_id)))
            return
        for action in actions:
            try:
                self._carry_out(pool, action)
            except Exception:
                log.exception("action failed action=%s pool=%s", type(action).__name__, pool.name)

    def _carry_out(self, pool: ServerPool, action: Action) -> None:
        if isinstance(action, Send):
            self._send_unless_suspended(pool, action)
        elif isinstance(action, Reject):
            response = ProxyResponse(ResponseKind.REJECTED, pool.retry_after_us(action))
            self.sequence.pool_declined(pool, action.request, response)
            pool.feed.widen_subset(clock_us())
        elif isinstance(action, Fail):
            self.sequence.pool_declined(pool, action.request, ProxyResponse(ResponseKind.FAILED))
        elif isinstance(action, SetTimer):
            call_at(self.loop, action.at_us, self.events.put, pool, TimerFired(action.token))
        elif isinstance(action, Cancel):
            request = self.requests.get(action.request)
            if request is not None and request.pool is pool:
                self.attempts.cancel(request, action)
        elif isinstance(action, CloseIdle):
            pool.transport.close_idle(action.endpoint_id)
        elif isinstance(action, Subscribe):
            self.discovery.subscribe(action.active)
        elif isinstance(action, Log):
            log.info("%s", f"{pool.name}: {action.text}" if pool.name else action.text)
        else:
            log.warning("action not supported action=%s", type(action).__name__)

    def _send_unless_suspended(self, pool: ServerPool, action: Send) -> None:
        if self.turn_is_stale() and not self.suspension.active:
            # After a pause between two events of one loop iteration, the endpoint may already be draining.
            self.suspend()
        if self.suspension.active:
            self.suspension.sends.append((pool, action))
        else:
            self._send(pool, action)

    def _send(self, pool: ServerPool, action: Send) -> None:
        request = self.requests.get(action.request)
        if request is not None and request.pool is pool:  # else it has ended, as the load balancer was told
            self.attempts.start(request, pool, action)

    # Results of attempts

    def end_attempt(self, request: LiveRequest, number: int, result: TransportResult) -> None:
        """Record an attempt's result and pass it to the load balancer; ignored if it has ended already."""
        attempt = request.attempts[number]
        if attempt.ended:
            return
        now_us = clock_us()
        attempt.ended = True
        attempt.ended_us = now_us
        attempt.use = result.use
        attempt.handle = None
        if attempt.timer is not None:
            attempt.timer.cancel()
        if request.proxied.handshake is not None:
            result = upgraded_result(request, attempt, result, request.proxied.handshake)
        request.last_result = result
        attempt.outcome = result.outcome
        elapsed_us = now_us - attempt.started_us - result.deferred_us
        request.slot_time_us += now_us - attempt.started_us
        self.pools.attempt_ended(attempt, request.proxied.class_index, result.outcome, elapsed_us)
        self.request_log.attempt_ended(result.outcome)
        request.failover.attempt_ended(result.outcome)
        if result.outcome is Outcome.OK:
            self.answer(request.request_id, ProxyResponse(ResponseKind.SERVED, result=result))
        self._drop_if_done(request)
        self.events.put(
            attempt.pool,
            AttemptEnded(
                request.request_id,
                number - request.first_attempt,
                attempt.endpoint_id,
                result.outcome,
                elapsed_us,
                request.finished,
            ),
        )


def upgraded_result(
    request: LiveRequest, attempt: LiveAttempt, result: TransportResult, handshake: WebSocketHandshake
) -> TransportResult:
    """The result of a handshake's attempt.

    A WebSocket that may not open, as its client has disconnected or its endpoint is draining, is closed.
    The result is then RESET, as the endpoint has already processed the handshake.
    """
    if result.tunnel is not None and (request.finished or not handshake.accept_upgrade()):
        result.tunnel.close()
        result = TransportResult(Outcome.RESET)
    if result.tunnel is None and attempt.handshake_counted:
        handshake.attempt_failed()
    return result
