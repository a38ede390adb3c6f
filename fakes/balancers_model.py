"""Many load balancers and their endpoints on a virtual clock, checked against the contract.

Endpoints serve one request at a time, reject what would wait too long, and accept a limited number of
connections; load balancers keep a connection for the next request. All randomness comes from one seed.
"""

from __future__ import annotations

import enum
import heapq
import math
import random
from collections import Counter
from dataclasses import dataclass, field

from plovertrail.decisions.actions import CloseIdle, Fail, Reject, Send, SetTimer
from plovertrail.decisions.events import (
    AttemptEnded,
    Endpoint,
    EndpointStatus,
    EndpointsUpdated,
    Event,
    ListKind,
    Outcome,
    RequestArrived,
    TimerFired,
)
from plovertrail.decisions.load_balancing.balancer import LoadBalancer
from plovertrail.decisions.settings import RequestClass, Settings

START_US = 1_000_000_000
SECOND_US = 1_000_000
WORK_US = 20_000  # of a request on a warm endpoint
MAX_WAIT_US = 200_000
RESPONSE_TRANSIT_US = 1_000
REJECTION_US = 2_000
RESET_US = 100_000
NO_INSTANCE = -1


class AnswerKind(enum.Enum):
    """How a request ended."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"


def classes() -> list[RequestClass]:
    """Return one class of each effect."""
    return [
        RequestClass(
            "read", latency_objective_us=300_000, deadline_us=1_500_000, effect="idempotent", late_weight=0.3
        ),
        RequestClass(
            "pay", latency_objective_us=300_000, deadline_us=600_000, priority_weight=5, effect="at_most_once"
        ),
        RequestClass(
            "mark",
            latency_objective_us=400_000,
            deadline_us=2_000_000,
            priority_weight=3,
            effect="deduplicated",
            dedup_scope="cell",
            dedup_window_us=1_200_000,
        ),
    ]


@dataclass
class SimulatedEndpoint:
    """What one endpoint has done and been sent."""

    listed: Endpoint
    connection_limit: int
    work_us: int = WORK_US
    max_wait_us: int = MAX_WAIT_US  # a request that would get its response later is rejected
    free_at_us: int = 0
    is_silent: bool = False  # it accepts requests and answers none
    connections: int = 0
    sent_at_us: list[int] = field(default_factory=list)

    def warm_up_fraction(self, settings: Settings, now_us: int) -> float:
        """Return the fraction of its capacity that the endpoint has reached."""
        if not self.listed.started_us:
            return 1.0
        initial = settings.warm_up_initial_capacity
        age_us = now_us - self.listed.started_us
        return min(1.0, initial + (1 - initial) * age_us / settings.warm_up_us)


class Fleet:
    """Load balancers and their endpoints; each answer and send is checked against the contract."""

    def __init__(
        self, endpoint_count: int, connection_limit: int = 1_000, instance_count: int = 40, seed: int = 1
    ) -> None:
        self.random = random.Random(seed)
        self.settings = Settings(
            classes=classes(),
            instances=instance_count,
            tick_us=4000,
            max_attempts=4,
            cancel=True,
            max_retry_after_us=1_000_000,
            connect_timeout_us=150_000,
            warm_up_initial_capacity=0.2,
            warm_up_us=20 * SECOND_US,
            overload_factor=2.5,
            overload_duration_us=SECOND_US,
        )
        self.now_us = START_US
        self.instances = [LoadBalancer(self.settings, number, START_US) for number in range(instance_count)]
        self.endpoints = {
            endpoint_id: SimulatedEndpoint(Endpoint(endpoint_id, zone=endpoint_id % 3), connection_limit)
            for endpoint_id in range(1, endpoint_count + 1)
        }
        self.not_ready: dict[tuple[int, int], bool] = {}  # by instance and endpoint, as the instance knows
        self.idle_connections: Counter[tuple[int, int]] = Counter()  # by instance and endpoint
        self.events: list[tuple[int, int, int, Event]] = []  # (time, order, instance, event); a heap
        self.event_count = 0
        self.request_count = 0
        self.open_requests: dict[int, tuple[int, RequestArrived]] = {}  # with its instance
        self.may_have_run: Counter[int] = Counter()  # attempts by request
        self.attempt_counts: Counter[int] = Counter()  # by request
        self.answers: Counter[AnswerKind] = Counter()
        self.outcomes: Counter[Outcome] = Counter()
        self.busy_instance = NO_INSTANCE
        self.busy_share = 0.0  # of all requests, for the busy instance besides its even share
        self.busy_answers: Counter[AnswerKind] = Counter()
        for number in range(instance_count):
            listed = [endpoint.listed for endpoint in self.endpoints.values()]
            self.handle_event(number, EndpointsUpdated(ListKind.FULL, listed))

    def schedule(self, at_us: int, instance: int, event: Event) -> None:
        """Deliver an event to an instance at a time."""
        self.event_count += 1
        heapq.heappush(self.events, (at_us, self.event_count, instance, event))

    def update_endpoint(self, listed: Endpoint, late_us: int = 0) -> None:
        """List an endpoint anew; each instance learns it at a random time within `late_us`."""
        if listed.state is EndpointStatus.READY:
            connection_limit = next(iter(self.endpoints.values())).connection_limit
            self.endpoints[listed.id] = SimulatedEndpoint(listed, connection_limit)
        for number in range(len(self.instances)):
            at_us = self.now_us + int(self.random.random() * late_us)
            self.schedule(at_us, number, EndpointsUpdated(ListKind.DELTA, [listed]))

    def handle_event(self, instance: int, event: Event) -> None:
        """Pass an event to an instance, and carry out the actions that it returns."""
        if isinstance(event, EndpointsUpdated):
            for listed in event.endpoints:
                self.not_ready[instance, listed.id] = listed.state is not EndpointStatus.READY
        if isinstance(event, AttemptEnded):
            self._record_outcome(instance, event)
        for action in self.instances[instance].handle(self.now_us, event):
            if isinstance(action, Send):
                self._send(instance, action)
            elif isinstance(action, Reject):
                self._check_rejection(action)
                self._record_answer(action.request, AnswerKind.REJECTED)
            elif isinstance(action, Fail):
                self._record_answer(action.request, AnswerKind.FAILED)
            elif isinstance(action, SetTimer):
                self.schedule(action.at_us, instance, TimerFired(action.token))
            elif isinstance(action, CloseIdle):
                idle = self.idle_connections.pop((instance, action.endpoint_id), 0)
                self.endpoints[action.endpoint_id].connections -= idle

    def _record_outcome(self, instance: int, event: AttemptEnded) -> None:
        self.outcomes[event.outcome] += 1
        if event.outcome is Outcome.OK:
            self._record_answer(event.request, AnswerKind.SERVED)
            self.idle_connections[instance, event.endpoint_id] += 1
        elif event.outcome in (Outcome.TIMEOUT, Outcome.RESET):
            self.endpoints[event.endpoint_id].connections -= 1

    def _check_rejection(self, action: Reject) -> None:
        request = self.open_requests[action.request][1]
        at_most_once = self.settings.classes[request.class_index].effect == "at_most_once"
        may_have_run = at_most_once and self.may_have_run[action.request] > 0
        assert not may_have_run, "rule 2: rejected, and may have run"

    def _record_answer(self, request: int, kind: AnswerKind) -> None:
        """Count a final answer; raises on a second one and on a late one."""
        instance, event = self.open_requests.pop(request)  # rule 1: raises on a second answer
        assert self.now_us <= event.due_us + 4 * self.settings.tick_us, "rule 1: answered late"
        self.answers[kind] += 1
        if instance == self.busy_instance:
            self.busy_answers[kind] += 1

    def _send(self, instance: int, send: Send) -> None:
        """Carry out an attempt; raises AssertionError if it breaks a rule."""
        endpoint = self.endpoints[send.endpoint_id]
        assert send.request in self.open_requests, "rule 1: a send after the end"
        assert not self.not_ready[instance, send.endpoint_id], "rule 3: a send to a draining endpoint"
        attempt = self.attempt_counts[send.request]
        self.attempt_counts[send.request] += 1
        class_index = self.open_requests[send.request][1].class_index
        if self.settings.classes[class_index].effect == "at_most_once":
            assert not self.may_have_run[send.request], "rule 2: an at-most-once request sent twice"
        endpoint.sent_at_us.append(self.now_us)
        after_us, outcome = self._outcome(instance, send, endpoint)
        ended = AttemptEnded(
            send.request, attempt, send.endpoint_id, outcome, after_us, outcome is Outcome.OK
        )
        self.schedule(self.now_us + after_us, instance, ended)

    def _outcome(self, instance: int, send: Send, endpoint: SimulatedEndpoint) -> tuple[int, Outcome]:
        """Return after what time an attempt ends, and how."""
        if self.idle_connections[instance, send.endpoint_id]:
            self.idle_connections[instance, send.endpoint_id] -= 1
        elif endpoint.connections >= endpoint.connection_limit:
            return REJECTION_US, Outcome.CONNECT_FAILED
        else:
            endpoint.connections += 1
        work_us = int(endpoint.work_us / endpoint.warm_up_fraction(self.settings, self.now_us))
        ready_us = max(endpoint.free_at_us, self.now_us) + work_us
        if endpoint.is_silent:
            self.may_have_run[send.request] += 1
            # Half of the connections are reset on the way, the others time out.
            if self.random.random() < 0.5 and send.timeout_us > RESET_US:
                return RESET_US, Outcome.RESET
            return send.timeout_us, Outcome.TIMEOUT
        if ready_us > self.now_us + endpoint.max_wait_us:
            endpoint.connections -= 1  # a rejection closes the connection
            return REJECTION_US, Outcome.REJECTED
        endpoint.free_at_us = ready_us
        self.may_have_run[send.request] += 1
        after_us = ready_us - self.now_us + RESPONSE_TRANSIT_US
        if after_us <= send.timeout_us:
            return after_us, Outcome.OK
        return send.timeout_us, Outcome.TIMEOUT

    def run_until(self, until_us: int) -> None:
        """Deliver the events that are due by this time."""
        while self.events and self.events[0][0] <= until_us:
            self.now_us, _, instance, event = heapq.heappop(self.events)
            self.handle_event(instance, event)
        self.now_us = until_us

    def play(self, seconds: float, per_s: float) -> None:
        """Send requests of random classes to random instances."""
        end_us = self.now_us + int(seconds * SECOND_US)
        while True:
            at_us = self.now_us + int(self.random.expovariate(per_s / SECOND_US))
            if at_us >= end_us:
                break
            self.run_until(at_us)
            class_index = self.random.randrange(len(self.settings.classes))
            instance = self.random.randrange(len(self.instances))
            if self.busy_share and self.random.random() < self.busy_share:
                instance = self.busy_instance
            self.request_count += 1
            due_us = self.now_us + self.settings.classes[class_index].deadline_us
            event = RequestArrived(self.request_count, due_us, class_index)
            self.open_requests[self.request_count] = instance, event
            self.handle_event(instance, event)
        self.run_until(end_us)

    def finish(self) -> None:
        """Run until each request has its answer."""
        self.run_until(self.now_us + 3 * SECOND_US)
        assert not self.open_requests, "rule 1: without an answer"

    def restart_instance(self, instance: int) -> None:
        """Restart an instance with the list alone; its open requests are lost."""
        self.instances[instance] = LoadBalancer(self.settings, self.random.randrange(2**30), self.now_us)
        self.open_requests = {
            request: owner for request, owner in self.open_requests.items() if owner[0] != instance
        }
        self.events = [event for event in self.events if event[2] != instance]
        heapq.heapify(self.events)
        for endpoint_id in [each for owner, each in self.idle_connections if owner == instance]:
            self.endpoints[endpoint_id].connections -= self.idle_connections.pop((instance, endpoint_id))
        listed = [
            endpoint.listed
            for endpoint in self.endpoints.values()
            if not self.not_ready.get((instance, endpoint.listed.id))
        ]
        self.handle_event(instance, EndpointsUpdated(ListKind.FULL, listed))

    def excess_over_budget(self, endpoint_id: int) -> float:
        """Return how far a warming endpoint got beyond N + 2 requests, in square roots of N.

        N is its budget within `overload_duration_us`.
        """
        endpoint = self.endpoints[endpoint_id]
        settings = self.settings
        worst = -math.inf
        end = 0
        for begin, start_us in enumerate(endpoint.sent_at_us):
            end_us = start_us + settings.overload_duration_us
            while end < len(endpoint.sent_at_us) and endpoint.sent_at_us[end] < end_us:
                end += 1
            fraction = endpoint.warm_up_fraction(settings, start_us)
            budget = settings.overload_factor * fraction * settings.overload_duration_us / endpoint.work_us
            worst = max(worst, (end - begin - budget - 2) / math.sqrt(budget))
        return worst

    def peak_load(self, endpoint_id: int) -> float:
        """Return the most work sent to an endpoint in `overload_duration_us`, of what overloads it."""
        endpoint = self.endpoints[endpoint_id]
        settings = self.settings
        worst = 0.0
        for start_us in endpoint.sent_at_us:
            end_us = start_us + settings.overload_duration_us
            count = sum(1 for at_us in endpoint.sent_at_us if start_us <= at_us < end_us)
            fraction = endpoint.warm_up_fraction(settings, start_us)
            budget_us = settings.overload_factor * fraction * settings.overload_duration_us
            worst = max(worst, endpoint.work_us * count / budget_us)
        return worst
