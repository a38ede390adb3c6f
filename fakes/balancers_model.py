"""Many balancers and their upstreams on a virtual clock, counted and held to the rules over all of them.

Upstreams serve one request at a time, turn away what would wait too long, and take only so many connections;
balancers keep a connection for each answer's next request. All of it is drawn from a seed.
"""

from __future__ import annotations

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
WORK_US = 20_000  # a request's, on a warm upstream
LONGEST_WAIT_US = 200_000
NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


def classes() -> list[RequestClass]:
    """One of each effect."""
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
    """What one upstream has done and been sent."""

    listed: Endpoint
    connection_limit: int  # connections that it takes
    work_us: int = WORK_US
    max_wait_us: int = LONGEST_WAIT_US  # to an answer; what would take longer is turned away
    free_at_us: int = 0
    is_silent: bool = False
    connections: int = 0
    sent_at_us: list[int] = field(default_factory=list)

    def warm_up_fraction(self, now_us: int, warm_up_initial_capacity: float, warm_up_us: int) -> float:
        """The fraction of its work that the server can do, from its start until `warm_up_us` later."""
        age_us = now_us - self.listed.started_us
        return (
            min(1.0, warm_up_initial_capacity + (1 - warm_up_initial_capacity) * age_us / warm_up_us)
            if self.listed.started_us
            else 1.0
        )


class Fleet:
    """Decision modules and their servers on a virtual clock; each answer and send is held to the rules."""

    def __init__(self, servers: int, table: int = 1_000, instance_count: int = 40, seed: int = 1) -> None:
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
        self.servers = {
            number: SimulatedEndpoint(Endpoint(number, zone=number % 3), table)
            for number in range(1, servers + 1)
        }
        self.not_ready: dict[tuple[int, int], bool] = {}  # (sidecar, upstream): word of its leave has come
        self.idle_connections: Counter[tuple[int, int]] = Counter()  # (sidecar, upstream)
        self.events: list[tuple[int, int, int, Event]] = []
        self.event_count = 0
        self.request_count = 0
        self.open_requests: dict[int, tuple[int, RequestArrived]] = {}  # by request, its sidecar
        self.may_have_run: Counter[int] = Counter()  # by request, attempts that may have run
        self.attempt_counts: dict[int, int] = {}
        self.answers: Counter[str] = Counter()
        self.outcomes: Counter[Outcome] = Counter()
        self.busy_instance, self.busy_share = (
            -1,
            0.0,
        )  # a sidecar that has this share of all requests for itself
        self.busy_answers: Counter[str] = Counter()
        for number in range(instance_count):
            listed = [server.listed for server in self.servers.values()]
            self.handle_event(number, EndpointsUpdated(ListKind.FULL, listed))

    def schedule(self, at_us: int, sidecar: int, event: Event) -> None:
        """Tell a sidecar an event at a time."""
        self.event_count += 1
        heapq.heappush(self.events, (at_us, self.event_count, sidecar, event))

    def update_endpoint(self, entry: Endpoint, late_us: int = 0) -> None:
        """All are told of it, each at a time of its own within `late_us`."""
        if entry.state is EndpointStatus.READY:
            self.servers[entry.id] = SimulatedEndpoint(
                entry, next(iter(self.servers.values())).connection_limit
            )
        for number in range(len(self.instances)):
            told_us = self.now_us + int(self.random.random() * late_us)
            self.schedule(told_us, number, EndpointsUpdated(ListKind.DELTA, [entry]))

    def handle_event(self, sidecar: int, event: Event) -> None:
        """Give a sidecar an event, and carry out the actions that it returns."""
        if isinstance(event, EndpointsUpdated):
            for entry in event.endpoints:
                self.not_ready[sidecar, entry.id] = entry.state is not EndpointStatus.READY
        if isinstance(event, AttemptEnded):
            self.outcomes[event.outcome] += 1
            if event.outcome is Outcome.OK:
                self.record_answer(event.request, "served")
                self.idle_connections[sidecar, event.endpoint_id] += 1
            elif event.outcome in (Outcome.TIMEOUT, Outcome.RESET):
                self.servers[event.endpoint_id].connections -= 1
        for action in self.instances[sidecar].handle(self.now_us, event):
            if isinstance(action, Send):
                self.send(sidecar, action)
            elif isinstance(action, Reject | Fail):
                refused = isinstance(action, Reject)
                request = self.open_requests[action.request][1]
                unsafe = self.settings.classes[request.class_index].effect == "at_most_once"
                may_have_run = unsafe and self.may_have_run[action.request] > 0
                assert not (refused and may_have_run), "rule 2: refused, and may have run"
                self.record_answer(action.request, "refused" if refused else "failed")
            elif isinstance(action, SetTimer):
                self.schedule(action.at_us, sidecar, TimerFired(action.token))
            elif isinstance(action, CloseIdle):
                self.servers[action.endpoint_id].connections -= self.idle_connections.pop(
                    (sidecar, action.endpoint_id), 0
                )

    def record_answer(self, request: int, how: str) -> None:
        """Count a final answer; raises on a second one and on a late one."""
        sidecar, event = self.open_requests.pop(request)  # rule 1: raises on a second answer
        assert self.now_us <= event.due_us + 4 * self.settings.tick_us, "rule 1: answered late"
        self.answers[how] += 1
        if sidecar == self.busy_instance:
            self.busy_answers[how] += 1

    def send(self, sidecar: int, send: Send) -> None:
        """Carry out an attempt; raises AssertionError if it breaks a rule."""
        server, now_us = self.servers[send.endpoint_id], self.now_us
        assert send.request in self.open_requests, "rule 1: a send after the end"
        assert not self.not_ready[sidecar, send.endpoint_id], "rule 3: sent after word of its leave"
        nth = self.attempt_counts[send.request] = self.attempt_counts.get(send.request, -1) + 1
        index = self.open_requests[send.request][1].class_index
        if self.settings.classes[index].effect == "at_most_once":
            assert not self.may_have_run[send.request], "rule 2: an unsafe request twice"
        server.sent_at_us.append(now_us)

        def ends(after_us: int, how: Outcome) -> None:
            ended = AttemptEnded(send.request, nth, send.endpoint_id, how, after_us, how is Outcome.OK)
            self.schedule(now_us + after_us, sidecar, ended)

        if self.idle_connections[sidecar, send.endpoint_id]:
            self.idle_connections[sidecar, send.endpoint_id] -= 1
        elif server.connections >= server.connection_limit:
            ends(2_000, Outcome.CONNECT_FAILED)
            return
        else:
            server.connections += 1
        warmth = server.warm_up_fraction(
            now_us, self.settings.warm_up_initial_capacity, self.settings.warm_up_us
        )
        ready_us = max(server.free_at_us, now_us) + int(server.work_us / warmth)
        if server.is_silent:
            self.may_have_run[send.request] += 1
            reset_us = 100_000  # half of them by what lies between, the others by their time
            if self.random.random() < 0.5 and reset_us < send.timeout_us:
                ends(reset_us, Outcome.RESET)
            else:
                ends(send.timeout_us, Outcome.TIMEOUT)
        elif ready_us > now_us + server.max_wait_us:
            server.connections -= 1  # it ends the connection with what it turns away
            ends(2_000, Outcome.REJECTED)
        else:
            server.free_at_us = ready_us
            self.may_have_run[send.request] += 1
            after_us = ready_us - now_us + 1_000
            in_time = after_us <= send.timeout_us
            ends(min(after_us, send.timeout_us), Outcome.OK if in_time else Outcome.TIMEOUT)

    def run_until(self, until_us: int) -> None:
        """Play until this time."""
        while self.events and self.events[0][0] <= until_us:
            self.now_us, _, sidecar, event = heapq.heappop(self.events)
            self.handle_event(sidecar, event)
        self.now_us = until_us

    def play(self, seconds: float, per_s: float) -> None:
        """Requests of all classes, to sidecars drawn at random."""
        end_us = self.now_us + int(seconds * SECOND_US)
        while True:
            at_us = self.now_us + int(self.random.expovariate(per_s / SECOND_US))
            if at_us >= end_us:
                break
            self.run_until(at_us)
            index = self.random.randrange(len(self.settings.classes))
            sidecar = self.random.randrange(len(self.instances))
            if self.busy_share and self.random.random() < self.busy_share:
                sidecar = self.busy_instance
            self.request_count += 1
            due_us = self.now_us + self.settings.classes[index].deadline_us
            event = RequestArrived(self.request_count, due_us, index)
            self.open_requests[self.request_count] = sidecar, event
            self.handle_event(sidecar, event)
        self.run_until(end_us)

    def finish(self) -> None:
        """Till each request has its answer."""
        self.run_until(self.now_us + 3 * SECOND_US)
        assert not self.open_requests, "rule 1: without an answer"

    def restart_instance(self, sidecar: int) -> None:
        """It dies and begins anew with the list alone; what it had open is its clients' to repeat."""
        self.instances[sidecar] = LoadBalancer(self.settings, self.random.randrange(2**30), self.now_us)
        self.open_requests = {
            request: owed for request, owed in self.open_requests.items() if owed[0] != sidecar
        }
        self.events = [due for due in self.events if due[2] != sidecar]
        heapq.heapify(self.events)
        for upstream in [upstream for owner, upstream in self.idle_connections if owner == sidecar]:
            self.servers[upstream].connections -= self.idle_connections.pop((sidecar, upstream))
        listed = [
            server.listed
            for server in self.servers.values()
            if not self.not_ready.get((sidecar, server.listed.id))
        ]
        self.handle_event(sidecar, EndpointsUpdated(ListKind.FULL, listed))

    def excess_over_budget(self, number: int) -> float:
        """How far a cold upstream got beyond N + 2 calls within `overload_duration_us`, N its
        budget: in roots of N."""
        server, s, worst, end = self.servers[number], self.settings, -math.inf, 0
        for begin, start in enumerate(server.sent_at_us):
            while end < len(server.sent_at_us) and server.sent_at_us[end] < start + s.overload_duration_us:
                end += 1
            warmth = server.warm_up_fraction(start, s.warm_up_initial_capacity, s.warm_up_us)
            budget = s.overload_factor * warmth * s.overload_duration_us / server.work_us
            worst = max(worst, (end - begin - budget - 2) / math.sqrt(budget))
        return worst

    def peak_load(self, number: int) -> float:
        """The most work sent to a cold upstream in any `overload_duration_us`, of what pushes it over."""
        server, s, worst = self.servers[number], self.settings, 0.0
        for start in server.sent_at_us:
            work = server.work_us * sum(
                1 for at_us in server.sent_at_us if start <= at_us < start + s.overload_duration_us
            )
            warmth = server.warm_up_fraction(start, s.warm_up_initial_capacity, s.warm_up_us)
            worst = max(worst, work / (s.overload_factor * warmth * s.overload_duration_us))
        return worst
