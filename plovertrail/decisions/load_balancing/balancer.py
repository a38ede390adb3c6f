"""The load balancer of one pool: it handles events and returns actions (docs/design.md).

A request takes a free slot of a random endpoint. If there is none, it waits in a buffer for one request, or
is rejected if the buffer is occupied. A retry takes a slot in the same way. This module passes each event to
the other modules of the package.
"""

from __future__ import annotations

import random

from plovertrail.decisions.actions import Action, SetTimer, Subscribe
from plovertrail.decisions.events import (
    AttemptEnded,
    EndpointsUpdated,
    Event,
    ListKind,
    PeerHealthUpdated,
    RequestArrived,
    RequestCancelled,
    StreamStarted,
    TimerFired,
)
from plovertrail.decisions.load_balancing.attempt_sending import AttemptSender
from plovertrail.decisions.load_balancing.class_exclusions import ClassExclusions
from plovertrail.decisions.load_balancing.concurrency_limits import ConcurrencyLimiter
from plovertrail.decisions.load_balancing.endpoint_health import EndpointHealth
from plovertrail.decisions.load_balancing.endpoint_selection import EndpointSelector
from plovertrail.decisions.load_balancing.endpoint_state import EndpointState
from plovertrail.decisions.load_balancing.endpoint_table import EndpointTable
from plovertrail.decisions.load_balancing.endpoint_updates import (
    EndpointRestorer,
    EndpointUpdates,
    PeerPenalties,
)
from plovertrail.decisions.load_balancing.latency_estimates import LatencyEstimates
from plovertrail.decisions.load_balancing.outcome_recording import OutcomeRecorder
from plovertrail.decisions.load_balancing.outlier_ejection import FailurePenalties, OutlierEjector
from plovertrail.decisions.load_balancing.overload_monitor import OverloadMonitor
from plovertrail.decisions.load_balancing.pending_actions import PendingActions
from plovertrail.decisions.load_balancing.poll_schedule import PollSchedule
from plovertrail.decisions.load_balancing.request_buffer import RequestBuffer, TenantUsage
from plovertrail.decisions.load_balancing.request_state import RequestState
from plovertrail.decisions.load_balancing.response_tracking import NoResponseCallback, ResponseTracker
from plovertrail.decisions.load_balancing.retry_budget import RetryBudget
from plovertrail.decisions.load_balancing.retry_policy import RetryPolicy
from plovertrail.decisions.load_balancing.slot_reopening import SlotReopener
from plovertrail.decisions.load_balancing.timers import RecheckQueue, TimerKind, TimerQueue
from plovertrail.decisions.load_balancing.warm_up_scheduler import WarmUpScheduler
from plovertrail.decisions.settings import Settings

# Warm-up progress per admitted request. If all endpoints are warming up, there are no responses at first that
# would open their slots.
PROGRESS_PER_ARRIVAL = 0.1


class LoadBalancer:
    """Selects an endpoint for each request and ends each request with one final answer.

    Its components own the state. `retry_budget` may be shared with other load balancers of the process. All
    components draw from one random generator, so the same events and seed give the same actions.
    """

    def __init__(
        self, settings: Settings, seed: int, now_us: int, retry_budget: RetryBudget | None = None
    ) -> None:
        self.settings = settings
        self.now_us = now_us  # time of the last event
        self.requests: dict[int, RequestState] = {}
        self.latencies = LatencyEstimates(settings.classes)
        self.table = EndpointTable(settings, now_us)
        self._retry_budget = retry_budget or RetryBudget()
        self.timers = TimerQueue()
        self.rechecks = RecheckQueue()
        self.exclusions = ClassExclusions(self.table)
        self.penalties = FailurePenalties(self.table)
        self.peer_penalties = PeerPenalties(self.table)
        self._limiter = ConcurrencyLimiter(self.latencies)
        self._tenants = TenantUsage(settings)
        self.buffer = RequestBuffer(settings, self.latencies, self._tenants)
        self.retries = RetryPolicy(settings, self.latencies, self._retry_budget)
        self.reopener = SlotReopener(self.table, self.rechecks, self.penalties, self.exclusions)
        self._random = random.Random(seed)
        self.polls = PollSchedule(settings, self.timers, self._random, now_us)
        self._warm_ups = WarmUpScheduler(self.table, self._random)
        self._updates = EndpointUpdates(self.table, self._warm_ups, self.reopener)
        self.selector = EndpointSelector(self.table, self.exclusions, self._random)
        self._ejector = OutlierEjector(self.penalties, self.rechecks, self._random)
        self._tracker = ResponseTracker(self.table, self.exclusions, self._random)
        self._actions = PendingActions(now_us)
        self._overload = OverloadMonitor()
        self._sender = AttemptSender(self.table, self._warm_ups, self.retries, self._tracker, self.timers)
        health = EndpointHealth(self.latencies, self._limiter, self._ejector)
        self._recorder = OutcomeRecorder(self.table, self.latencies, health, self._tracker, self._actions)

    @property
    def endpoints(self) -> dict[int, EndpointState]:
        """The ready endpoints by id, in the order in which they were added."""
        return self.table.by_id

    def set_endpoint_restorer(self, restorer: EndpointRestorer) -> None:
        """Set the callback that restores the state of each endpoint that is added from now on."""
        self._updates.restorer = restorer

    def set_no_response_callback(self, callback: NoResponseCallback | None) -> None:
        """Set the callback for attempts that are overdue without a response; None removes it."""
        self._tracker.callback = callback

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Handle an event and return the actions to carry out, in order."""
        self.now_us = now_us
        if isinstance(event, AttemptEnded):
            self._on_attempt_ended(event)
        elif isinstance(event, RequestArrived):
            self._on_request_arrived(event)
        elif isinstance(event, TimerFired):
            self.timers.record_fired(now_us)
            self._run_due_timers()
        else:
            self._handle_other(event)
        if self.buffer.waiting is not None:
            self._dispatch_buffered(self.buffer.waiting)
        if self.buffer.waiting is not None or self.timers.next_due_us < self.timers.armed_us:
            self._arm_timer()
        return self._actions.take()

    def has_capacity(self, now_us: int) -> bool:
        """Return whether a request would find a free slot, for an external queue in front of this pool.

        Concurrency limits grow only after a shortage of slots, so a negative answer is recorded as one: the
        requests in that queue are not seen here.
        """
        self.now_us = now_us
        self.reopener.reopen_due(now_us)
        if self.buffer.waiting is None and any(
            sampler.total_weight > 0.0 for group in self.table.groups for sampler in group.samplers
        ):
            return True
        self._limiter.last_shortage_us = now_us
        return False

    def next_slot_opening_us(self) -> int:
        """Return when the next slot may open by the passing of time, without an event."""
        return self.rechecks.next_due_us()

    def apply_restored_state(self, endpoint: EndpointState) -> None:
        """Apply the consequences of the state that was restored for an endpoint."""
        if endpoint.failure_penalty:
            self.penalties.schedule_decay(endpoint, self.now_us)
        if endpoint.concurrency_limit < 1.0:
            # Otherwise, after a restart of all instances, each of them would try a failing endpoint at once.
            mean_us = sum(self.latencies.mean_us) / len(self.latencies.mean_us)
            self._ejector.eject(endpoint, mean_us, self.now_us)
        self.table.update_selection_weight(endpoint, self.now_us)

    def _handle_other(self, event: Event) -> None:
        """Handle the event types that are less frequent than arrivals, attempt ends and timers."""
        if isinstance(event, RequestCancelled):
            if event.request in self.requests:
                self._close(self.requests[event.request])
        elif isinstance(event, StreamStarted):
            if event.request in self.requests:
                self.requests[event.request].is_streaming = True
        elif isinstance(event, EndpointsUpdated):
            self._on_endpoints_updated(event)
        elif isinstance(event, PeerHealthUpdated):
            self.peer_penalties.apply(event.penalties)

    def _on_request_arrived(self, event: RequestArrived) -> None:
        if event.request in self.requests:
            return
        request_class = self.settings.classes[event.class_index]
        request = RequestState(event, request_class, self.now_us)
        self.requests[event.request] = request
        self._tenants.record_arrival(event.tenant)
        self._dispatch(request)
        self._overload.record_arrival(bool(request.attempts), self._actions, self.now_us)

    def _dispatch(self, request: RequestState) -> None:
        """Send a request through a free slot; without one, buffer it or give the final answer."""
        now_us = self.now_us
        latest_us = self.retries.latest_start_us(request)
        if now_us >= latest_us:
            self._answer(request)
            return
        for group in self.table.groups:
            group.admission.replenish(now_us)
            group.warm_up.progress += PROGRESS_PER_ARRIVAL * group.admission.probability
        endpoint = self._select_endpoint(request)
        if endpoint is not None:
            self._send(request, endpoint)
            return
        self._limiter.last_shortage_us = now_us
        if not self.retries.may_send(request, now_us) or not self.buffer.accepts(request):
            self._answer(request)
            return
        if self.buffer.waiting is not None:
            self._answer(self.buffer.waiting)
        self.buffer.waiting = request
        until_us = now_us + self.latencies.slow_us[request.event.class_index]
        self.timers.schedule(min(until_us, latest_us), TimerKind.BUFFER_EXPIRY, request.event.request, now_us)

    def _dispatch_buffered(self, request: RequestState) -> None:
        endpoint = self._select_endpoint(request)
        if endpoint is not None:
            self.buffer.waiting = None
            self._send(request, endpoint)

    def _select_endpoint(self, request: RequestState) -> EndpointState | None:
        if not self.retries.may_send(request, self.now_us):
            return None
        self.reopener.reopen_due(self.now_us)
        return self.selector.select_endpoint(request, self.now_us)

    def _send(self, request: RequestState, endpoint: EndpointState) -> None:
        self._actions.pending.append(self._sender.send(request, endpoint, self.now_us))

    def _send_hedge(self, request: RequestState) -> None:
        """Send a second attempt while the first is still in flight.

        Not while a request is buffered: hedges would take the slots that other requests wait for.
        """
        if request.in_flight == 1 and self.buffer.waiting is None:
            endpoint = self._select_endpoint(request)
            if endpoint is not None and endpoint is not request.attempts[-1].endpoint:
                self._send(request, endpoint)

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.outcome is not None:
            return
        attempt.outcome = event.outcome
        request.in_flight -= 1
        self._recorder.record(attempt, event.outcome, event.elapsed_us, self.now_us)
        if event.final or request.is_closed:
            self._close(request)
        elif request.in_flight == 0:
            if self.retries.may_retry(request, event.outcome, self.now_us):
                self._dispatch(request)
            else:
                self._answer(request)

    def _on_endpoints_updated(self, event: EndpointsUpdated) -> None:
        if event.kind is ListKind.FAILED:
            self.polls.record_failure(event.watch_stalled, self.now_us)
            return
        if event.kind is not ListKind.CACHED:
            self.polls.record_list_received()
        self._updates.apply(event, self.now_us)

    def _answer(self, request: RequestState) -> None:
        """Give the final answer; only this method does, to ensure rules 1 and 2 of the contract."""
        if not request.attempts:
            for group in self.table.groups:
                group.warm_up.record_rejection(self.now_us)
        self._close(request)
        self._actions.pending.append(self.retries.final_answer(request, self._random.random()))

    def _close(self, request: RequestState) -> None:
        request.is_closed = True
        self.buffer.discard(request)
        if request.in_flight == 0:
            self.requests.pop(request.event.request, None)

    def _run_due_timers(self) -> None:
        timers = self.timers
        while (due := timers.pop_due(self.now_us)) is not None:
            kind, request_id = due
            if kind is TimerKind.POLL:
                if self.polls.begin_due_poll(self.now_us):
                    self._actions.pending.append(Subscribe(True))
            elif kind is TimerKind.HEDGE:
                if request_id in self.requests:
                    self._send_hedge(self.requests[request_id])
            elif self.buffer.waiting is not None and self.buffer.waiting.event.request == request_id:
                self._answer(self.buffer.waiting)
        timers.reset_next_due()
        timers.ensure_fires_by(self._tracker.check_overdue(self.now_us))

    def _arm_timer(self) -> None:
        at_us = self.timers.next_due_us
        if self.buffer.waiting is not None:
            # A slot that opens by the passing of time causes no event, so the buffered request needs a timer.
            self.reopener.reopen_due(self.now_us)
            at_us = min(at_us, self.reopener.next_opening_us(self.buffer.waiting.event.class_index))
        if self.timers.arm(at_us):
            self._actions.pending.append(SetTimer(at_us, 0))
