"""A test harness around a LoadBalancer that carries out its actions and checks the contract.

Tests say what happens and when. Every action is checked against the four rules of the contract, from records
that are independent of the load balancer's own.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from fakes.balancers_model import START_US as START_US
from fakes.balancers_model import classes as classes
from plovertrail.decisions.actions import (
    Action,
    Cancel,
    Fail,
    HealthCheck,
    PollEndpoints,
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
    RequestArrived,
    RequestCancelled,
    StreamStarted,
    TimerFired,
)
from plovertrail.decisions.load_balancing.balancer import LoadBalancer
from plovertrail.decisions.settings import Settings

NEVER_RAN = {Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT}


def settings(**changes: object) -> Settings:
    values: dict[str, object] = {
        "classes": classes(),
        "instances": 3,
        "tick_us": 4000,
        "max_attempts": 4,
        "cancel": True,
        "max_retry_after_us": 1_000_000,
        "connect_timeout_us": 150_000,
        "hedging": True,
        "warm_up_initial_capacity": 0.2,
        "warm_up_us": 20_000_000,
        "overload_factor": 2.5,
        "overload_duration_us": 1_000_000,
    }
    values.update(changes)
    return Settings(**values)  # type: ignore[arg-type]


def ready_endpoints(count: int, **changes: Any) -> list[Endpoint]:
    """Return ready endpoints, two to a cell and to a zone."""
    return [Endpoint(100 + i, zone=i // 2, cell=i // 2, **changes) for i in range(count)]


@dataclass
class RecordedAttempt:
    endpoint_id: int
    zone: int
    cell: int
    sent_us: int
    ends_us: int
    outcome: Outcome | None = None


@dataclass
class RecordedRequest:
    event: RequestArrived
    attempts: list[RecordedAttempt] = field(default_factory=list)
    answers: int = 0
    is_closed: bool = False
    is_streaming: bool = False

    def may_have_run(self) -> list[RecordedAttempt]:
        return [t for t in self.attempts if t.outcome not in NEVER_RAN]

    def in_flight(self) -> list[int]:
        return [n for n, t in enumerate(self.attempts) if t.outcome is None]


class BalancerHarness:
    def __init__(self, config: Settings | None = None, seed: int = 7) -> None:
        self.settings = config or settings()
        self.now_us = START_US
        self.balancer = LoadBalancer(self.settings, seed, self.now_us)
        self.requests: dict[int, RecordedRequest] = {}
        self.listed: dict[int, Endpoint] = {}
        self.not_ready_since_us: dict[int, int] = {}  # by id of a draining or removed endpoint
        self.timers: list[tuple[int, int]] = []
        self.actions: list[Action] = []
        self.next_id = 1

    # Events

    def handle_event(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(self.now_us, event)
        for action in actions:
            self.check(action)
        self.actions.extend(actions)
        return actions

    def update_endpoints(self, entries: list[Endpoint], kind: ListKind = ListKind.FULL) -> list[Action]:
        for entry in entries:
            self.listed[entry.id] = entry
            if entry.state is EndpointStatus.READY:
                self.not_ready_since_us.pop(entry.id, None)
            else:
                self.not_ready_since_us.setdefault(entry.id, self.now_us)
        if kind in (ListKind.FULL, ListKind.CACHED):
            for request_id in self.listed.keys() - {e.id for e in entries}:
                self.not_ready_since_us.setdefault(request_id, self.now_us)
        return self.handle_event(EndpointsUpdated(kind, entries))

    def request_arrives(self, class_index: int = 0, patience_us: int | None = None, **fields: Any) -> int:
        request_id = self.next_id
        self.next_id += 1
        patience = patience_us or self.settings.classes[class_index].deadline_us
        event = RequestArrived(request_id, self.now_us + patience, class_index, **fields)
        self.requests[request_id] = RecordedRequest(event)
        self.handle_event(event)
        return request_id

    def end_attempt(
        self, request: int, attempt: int, outcome: Outcome, **fields: list[float]
    ) -> list[Action]:
        record = self.requests[request]
        this = record.attempts[attempt]
        assert this.outcome is None
        this.outcome = outcome
        if (outcome is Outcome.OK or record.is_streaming) and not record.is_closed:
            record.is_closed = True
            record.answers += 1
        return self.handle_event(
            AttemptEnded(
                request,
                attempt,
                this.endpoint_id,
                outcome,
                self.now_us - this.sent_us,
                record.is_closed,
                **fields,
            )
        )

    def start_stream(self, request: int, attempt: int) -> None:
        self.requests[request].is_streaming = True
        self.handle_event(
            StreamStarted(request, attempt, self.requests[request].attempts[attempt].endpoint_id)
        )

    def cancel_request(self, request: int) -> None:
        self.requests[request].is_closed = True
        self.requests[request].answers = 1
        self.handle_event(RequestCancelled(request))

    def advance(self, by_us: int) -> None:
        """Move the clock, firing the timers and timeouts that are due on the way."""
        end_us = self.now_us + by_us
        while True:
            due = [(at, 1, token, 0) for at, token in self.timers]
            due += [
                (t.ends_us, 0, request_id, n)
                for request_id, record in self.requests.items()
                if not record.is_streaming
                for n, t in enumerate(record.attempts)
                if t.outcome is None
            ]
            due = [d for d in due if d[0] <= end_us]
            if not due:
                break
            at, kind, first, second = min(due)
            self.now_us = max(self.now_us, at)
            if kind == 0:
                self.end_attempt(first, second, Outcome.TIMEOUT)
            else:
                self.timers.remove((at, first))
                self.handle_event(TimerFired(first))
        self.now_us = end_us
        slack_us = 4 * self.settings.tick_us
        for request_id, record in self.requests.items():
            overdue = self.now_us > record.event.due_us + slack_us and not record.is_streaming
            assert not overdue or record.answers == 1, f"rule 1: request {request_id} is unanswered past due"

    # Checks

    def check(self, action: Action) -> None:
        if isinstance(action, Send):
            self.check_send(action)
        elif isinstance(action, Reject | Fail):
            self.check_answer(action)
        elif isinstance(action, Cancel):
            assert self.settings.cancel, "a cancel where none is allowed"
            assert action.attempt < len(self.requests[action.request].attempts), "a cancel of no attempt"
        elif isinstance(action, SetTimer):
            assert action.at_us >= self.now_us
            self.timers.append((action.at_us, action.token))
        elif isinstance(action, HealthCheck):
            assert self.settings.health_checks, "a health check where none is allowed"
        else:
            assert not isinstance(action, Subscribe | PollEndpoints) or self.settings.endpoints_on_request

    def check_send(self, send: Send) -> None:
        record = self.requests[send.request]
        entry = self.listed[send.endpoint_id]
        kind = self.settings.classes[record.event.class_index]
        assert not record.is_closed, "rule 1: a send after the end"
        assert len(record.attempts) < self.settings.max_attempts, "more attempts than allowed"
        assert send.endpoint_id not in self.not_ready_since_us, (
            "rule 3: a send to a draining or removed endpoint"
        )
        assert self.settings.hedging or not record.in_flight(), "rule 2: two attempts in flight together"
        for earlier in record.may_have_run():
            assert kind.effect != "at_most_once", "rule 2: an at-most-once request sent again"
            if kind.effect == "deduplicated":
                left_us = earlier.sent_us + kind.dedup_window_us - self.now_us
                assert 0 < send.start_within_us <= left_us, (
                    "rule 2: after the dedup window, or once its connection is up"
                )
                assert kind.dedup_scope != "cell" or entry.cell == earlier.cell, "rule 2: outside the cell"
                assert kind.dedup_scope != "zone" or entry.zone == earlier.zone, "rule 2: outside the zone"
        ends_us = record.event.due_us
        if send.timeout_us:
            ends_us = min(ends_us, self.now_us + send.timeout_us)
        record.attempts.append(
            RecordedAttempt(send.endpoint_id, entry.zone, entry.cell, self.now_us, ends_us)
        )

    def check_answer(self, answer: Reject | Fail) -> None:
        record = self.requests[answer.request]
        kind = self.settings.classes[record.event.class_index]
        assert not record.is_closed, "rule 1: a second answer"
        record.is_closed = True
        record.answers += 1
        if isinstance(answer, Reject):
            assert answer.retry_after_us <= self.settings.max_retry_after_us
            harmless = kind.effect == "idempotent" or (
                kind.effect == "deduplicated" and kind.dedup_scope == "all"
            )
            assert harmless or not record.may_have_run(), "rule 2: a rejection of a request that may have run"

    # Results

    def sends(self, request: int | None = None) -> list[Send]:
        return [a for a in self.actions if isinstance(a, Send) and request in (None, a.request)]

    def answer(self, request: int) -> Action | None:
        for action in self.actions:
            if isinstance(action, Reject | Fail) and action.request == request:
                return action
        return None
