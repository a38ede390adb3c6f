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
class Server:
    """What one upstream has done and been sent."""

    entry: Endpoint
    table: int  # connections that it takes
    work_us: int = WORK_US
    longest_wait_us: int = LONGEST_WAIT_US  # to an answer; what would take longer is turned away
    free_us: int = 0
    silent: bool = False
    connections: int = 0
    sent: list[int] = field(default_factory=list)

    def warmth(self, now_us: int, warm_up_initial_capacity: float, warm_up_us: int) -> float:
        """The fraction of its work that the server can do, from its start until `warm_up_us` later."""
        age_us = now_us - self.entry.started_us
        return (
            min(1.0, warm_up_initial_capacity + (1 - warm_up_initial_capacity) * age_us / warm_up_us)
            if self.entry.started_us
            else 1.0
        )


class Fleet:
    """Decision modules and their servers on a virtual clock; each answer and send is held to the rules."""

    def __init__(self, servers: int, table: int = 1_000, sidecars: int = 40, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.settings = Settings(
            classes=classes(),
            instances=sidecars,
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
        self.balancers = [LoadBalancer(self.settings, number, START_US) for number in range(sidecars)]
        self.servers = {
            number: Server(Endpoint(number, zone=number % 3), table) for number in range(1, servers + 1)
        }
        self.left: dict[tuple[int, int], bool] = {}  # (sidecar, upstream): word of its leave has come
        self.idle: Counter[tuple[int, int]] = Counter()  # (sidecar, upstream)
        self.due: list[tuple[int, int, int, Event]] = []
        self.order = 0
        self.asked = 0
        self.owed: dict[int, tuple[int, RequestArrived]] = {}  # by request, its sidecar
        self.ran: Counter[int] = Counter()  # by request, attempts that may have run
        self.tries: dict[int, int] = {}
        self.ended: Counter[str] = Counter()
        self.outcomes: Counter[Outcome] = Counter()
        self.busy, self.busy_part = -1, 0.0  # a sidecar that has this share of all requests for itself
        self.of_busy: Counter[str] = Counter()
        for number in range(sidecars):
            listed = [server.entry for server in self.servers.values()]
            self.tell(number, EndpointsUpdated(ListKind.FULL, listed))

    def at(self, at_us: int, sidecar: int, event: Event) -> None:
        """Tell a sidecar an event at a time."""
        self.order += 1
        heapq.heappush(self.due, (at_us, self.order, sidecar, event))

    def change(self, entry: Endpoint, late_us: int = 0) -> None:
        """All are told of it, each at a time of its own within `late_us`."""
        if entry.state is EndpointStatus.READY:
            self.servers[entry.id] = Server(entry, next(iter(self.servers.values())).table)
        for number in range(len(self.balancers)):
            told_us = self.now_us + int(self.random.random() * late_us)
            self.at(told_us, number, EndpointsUpdated(ListKind.DELTA, [entry]))

    def tell(self, sidecar: int, event: Event) -> None:
        """Give a sidecar an event, and carry out the actions that it returns."""
        if isinstance(event, EndpointsUpdated):
            for entry in event.endpoints:
                self.left[sidecar, entry.id] = entry.state is not EndpointStatus.READY
        if isinstance(event, AttemptEnded):
            self.outcomes[event.outcome] += 1
            if event.outcome is Outcome.OK:
                self.answer(event.request, "served")
                self.idle[sidecar, event.endpoint_id] += 1
            elif event.outcome in (Outcome.TIMEOUT, Outcome.RESET):
                self.servers[event.endpoint_id].connections -= 1
        for action in self.balancers[sidecar].handle(self.now_us, event):
            if isinstance(action, Send):
                self.send(sidecar, action)
            elif isinstance(action, Reject | Fail):
                refused = isinstance(action, Reject)
                request = self.owed[action.request][1]
                unsafe = self.settings.classes[request.class_index].effect == "at_most_once"
                may_have_run = unsafe and self.ran[action.request] > 0
                assert not (refused and may_have_run), "rule 2: refused, and may have run"
                self.answer(action.request, "refused" if refused else "failed")
            elif isinstance(action, SetTimer):
                self.at(action.at_us, sidecar, TimerFired(action.token))
            elif isinstance(action, CloseIdle):
                self.servers[action.endpoint_id].connections -= self.idle.pop(
                    (sidecar, action.endpoint_id), 0
                )

    def answer(self, request: int, how: str) -> None:
        """Count a final answer; raises on a second one and on a late one."""
        sidecar, event = self.owed.pop(request)  # rule 1: raises on a second answer
        assert self.now_us <= event.due_us + 4 * self.settings.tick_us, "rule 1: answered late"
        self.ended[how] += 1
        if sidecar == self.busy:
            self.of_busy[how] += 1

    def send(self, sidecar: int, send: Send) -> None:
        """Carry out an attempt; raises AssertionError if it breaks a rule."""
        server, now_us = self.servers[send.endpoint_id], self.now_us
        assert send.request in self.owed, "rule 1: a send after the end"
        assert not self.left[sidecar, send.endpoint_id], "rule 3: sent after word of its leave"
        nth = self.tries[send.request] = self.tries.get(send.request, -1) + 1
        index = self.owed[send.request][1].class_index
        if self.settings.classes[index].effect == "at_most_once":
            assert not self.ran[send.request], "rule 2: an unsafe request twice"
        server.sent.append(now_us)

        def ends(after_us: int, how: Outcome) -> None:
            ended = AttemptEnded(send.request, nth, send.endpoint_id, how, after_us, how is Outcome.OK)
            self.at(now_us + after_us, sidecar, ended)

        if self.idle[sidecar, send.endpoint_id]:
            self.idle[sidecar, send.endpoint_id] -= 1
        elif server.connections >= server.table:
            ends(2_000, Outcome.CONNECT_FAILED)
            return
        else:
            server.connections += 1
        warmth = server.warmth(now_us, self.settings.warm_up_initial_capacity, self.settings.warm_up_us)
        ready_us = max(server.free_us, now_us) + int(server.work_us / warmth)
        if server.silent:
            self.ran[send.request] += 1
            reset_us = 100_000  # half of them by what lies between, the others by their time
            if self.random.random() < 0.5 and reset_us < send.timeout_us:
                ends(reset_us, Outcome.RESET)
            else:
                ends(send.timeout_us, Outcome.TIMEOUT)
        elif ready_us > now_us + server.longest_wait_us:
            server.connections -= 1  # it ends the connection with what it turns away
            ends(2_000, Outcome.REJECTED)
        else:
            server.free_us = ready_us
            self.ran[send.request] += 1
            after_us = ready_us - now_us + 1_000
            in_time = after_us <= send.timeout_us
            ends(min(after_us, send.timeout_us), Outcome.OK if in_time else Outcome.TIMEOUT)

    def run(self, until_us: int) -> None:
        """Play until this time."""
        while self.due and self.due[0][0] <= until_us:
            self.now_us, _, sidecar, event = heapq.heappop(self.due)
            self.tell(sidecar, event)
        self.now_us = until_us

    def play(self, seconds: float, per_s: float) -> None:
        """Requests of all classes, to sidecars drawn at random."""
        end_us = self.now_us + int(seconds * SECOND_US)
        while True:
            at_us = self.now_us + int(self.random.expovariate(per_s / SECOND_US))
            if at_us >= end_us:
                break
            self.run(at_us)
            index = self.random.randrange(len(self.settings.classes))
            sidecar = self.random.randrange(len(self.balancers))
            if self.busy_part and self.random.random() < self.busy_part:
                sidecar = self.busy
            self.asked += 1
            due_us = self.now_us + self.settings.classes[index].deadline_us
            event = RequestArrived(self.asked, due_us, index)
            self.owed[self.asked] = sidecar, event
            self.tell(sidecar, event)
        self.run(end_us)

    def settle(self) -> None:
        """Till each request has its answer."""
        self.run(self.now_us + 3 * SECOND_US)
        assert not self.owed, "rule 1: without an answer"

    def restart(self, sidecar: int) -> None:
        """It dies and begins anew with the list alone; what it had open is its clients' to repeat."""
        self.balancers[sidecar] = LoadBalancer(self.settings, self.random.randrange(2**30), self.now_us)
        self.owed = {request: owed for request, owed in self.owed.items() if owed[0] != sidecar}
        self.due = [due for due in self.due if due[2] != sidecar]
        heapq.heapify(self.due)
        for upstream in [upstream for owner, upstream in self.idle if owner == sidecar]:
            self.servers[upstream].connections -= self.idle.pop((sidecar, upstream))
        listed = [
            server.entry for server in self.servers.values() if not self.left.get((sidecar, server.entry.id))
        ]
        self.tell(sidecar, EndpointsUpdated(ListKind.FULL, listed))

    def beyond(self, number: int) -> float:
        """How far a cold upstream got beyond N + 2 calls within `overload_duration_us`, N its
        budget: in roots of N."""
        server, s, worst, end = self.servers[number], self.settings, -math.inf, 0
        for begin, start in enumerate(server.sent):
            while end < len(server.sent) and server.sent[end] < start + s.overload_duration_us:
                end += 1
            warmth = server.warmth(start, s.warm_up_initial_capacity, s.warm_up_us)
            budget = s.overload_factor * warmth * s.overload_duration_us / server.work_us
            worst = max(worst, (end - begin - budget - 2) / math.sqrt(budget))
        return worst

    def pushed(self, number: int) -> float:
        """The most work sent to a cold upstream in any `overload_duration_us`, of what pushes it over."""
        server, s, worst = self.servers[number], self.settings, 0.0
        for start in server.sent:
            work = server.work_us * sum(
                1 for at_us in server.sent if start <= at_us < start + s.overload_duration_us
            )
            warmth = server.warmth(start, s.warm_up_initial_capacity, s.warm_up_us)
            worst = max(worst, work / (s.overload_factor * warmth * s.overload_duration_us))
        return worst
