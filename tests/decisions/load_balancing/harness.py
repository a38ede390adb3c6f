"""A test harness that drives a LoadBalancer, carries out its actions and checks them against the contract.

Every action is checked against the four rules of the contract with records that the harness keeps by itself,
independently of the state of the load balancer.
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
    """Return ready endpoints, two per zone and per cell."""
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
        return [attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN]

    def in_flight(self) -> list[int]:
        return [number for number, attempt in enumerate(self.attempts) if attempt.outcome is None]


class BalancerHarness:
    def __init__(self, config: Settings | None = None, seed: int = 7) -> None:
        self.settings = config or settings()
        self.now_us = START_US
        self.balancer = LoadBalancer(self.settings, seed, self.now_us)
        self.requests: dict[int, RecordedRequest] = {}
        self.listed: dict[int, Endpoint] = {}
        self.not_ready_since_us: dict[int, int] = {}  # by endpoint id; draining and removed endpoints
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
            for endpoint_id in self.listed.keys() - {each.id for each in entries}:
                self.not_ready_since_us.setdefault(endpoint_id, self.now_us)
        return self.handle_event(EndpointsUpdated(kind, entries))

    def request_arrives(self, class_index: int = 0, timeout_us: int | None = None, **fields: Any) -> int:
        request_id = self.next_id
        self.next_id += 1
        due_in_us = timeout_us or self.settings.classes[class_index].deadline_us
        event = RequestArrived(request_id, self.now_us + due_in_us, class_index, **fields)
        self.requests[request_id] = RecordedRequest(event)
        self.handle_event(event)
        return request_id

    def end_attempt(
        self, request: int, attempt: int, outcome: Outcome, **fields: list[float]
    ) -> list[Action]:
        record = self.requests[request]
        ended = record.attempts[attempt]
        assert ended.outcome is None
        ended.outcome = outcome
        if (outcome is Outcome.OK or record.is_streaming) and not record.is_closed:
            record.is_closed = True
            record.answers += 1
        return self.handle_event(
            AttemptEnded(
                request,
                attempt,
                ended.endpoint_id,
                outcome,
                self.now_us - ended.sent_us,
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
        """Advance the clock, and fire the timers and attempt timeouts that become due."""
        end_us = self.now_us + by_us
        while True:
            due = [(at_us, 1, token, 0) for at_us, token in self.timers]
            due += [
                (attempt.ends_us, 0, request_id, number)
                for request_id, record in self.requests.items()
                if not record.is_streaming
                for number, attempt in enumerate(record.attempts)
                if attempt.outcome is None
            ]
            due = [each for each in due if each[0] <= end_us]
            if not due:
                break
            at_us, is_timer, request_id_or_token, attempt_number = min(due)
            self.now_us = max(self.now_us, at_us)
            if is_timer == 0:
                self.end_attempt(request_id_or_token, attempt_number, Outcome.TIMEOUT)
            else:
                self.timers.remove((at_us, request_id_or_token))
                self.handle_event(TimerFired(request_id_or_token))
        self.now_us = end_us
        slack_us = 4 * self.settings.tick_us
        for request_id, record in self.requests.items():
            overdue = self.now_us > record.event.due_us + slack_us and not record.is_streaming
            assert not overdue or record.answers == 1, f"rule 1: request {request_id} is overdue"

    # Checks

    def check(self, action: Action) -> None:
        if isinstance(action, Send):
            self.check_send(action)
        elif isinstance(action, Reject | Fail):
            self.check_answer(action)
        elif isinstance(action, Cancel):
            assert self.settings.cancel, "cancelled although cancellation is not allowed"
            assert action.attempt < len(self.requests[action.request].attempts), "no such attempt"
        elif isinstance(action, SetTimer):
            assert action.at_us >= self.now_us
            self.timers.append((action.at_us, action.token))
        elif isinstance(action, HealthCheck):
            assert self.settings.health_checks, "sent a health check although they are not allowed"
        else:
            assert not isinstance(action, Subscribe | PollEndpoints) or self.settings.endpoints_on_request

    def check_send(self, send: Send) -> None:
        record = self.requests[send.request]
        entry = self.listed[send.endpoint_id]
        request_class = self.settings.classes[record.event.class_index]
        assert not record.is_closed, "rule 1: sent after the final answer"
        assert len(record.attempts) < self.settings.max_attempts, "more attempts than allowed"
        assert send.endpoint_id not in self.not_ready_since_us, (
            "rule 3: sent to a draining or removed endpoint"
        )
        assert self.settings.hedging or not record.in_flight(), "rule 2: two attempts in flight at once"
        for earlier in record.may_have_run():
            assert request_class.effect != "at_most_once", "rule 2: retried an at-most-once request"
            if request_class.effect == "deduplicated":
                left_us = earlier.sent_us + request_class.dedup_window_us - self.now_us
                assert 0 < send.start_within_us <= left_us, (
                    "rule 2: sent after the dedup window, or may be written after it"
                )
                assert request_class.dedup_scope != "cell" or entry.cell == earlier.cell, "rule 2: other cell"
                assert request_class.dedup_scope != "zone" or entry.zone == earlier.zone, "rule 2: other zone"
        ends_us = record.event.due_us
        if send.timeout_us:
            ends_us = min(ends_us, self.now_us + send.timeout_us)
        record.attempts.append(
            RecordedAttempt(send.endpoint_id, entry.zone, entry.cell, self.now_us, ends_us)
        )

    def check_answer(self, answer: Reject | Fail) -> None:
        record = self.requests[answer.request]
        request_class = self.settings.classes[record.event.class_index]
        assert not record.is_closed, "rule 1: a second final answer"
        record.is_closed = True
        record.answers += 1
        if isinstance(answer, Reject):
            assert answer.retry_after_us <= self.settings.max_retry_after_us
            may_run_again = request_class.effect == "idempotent" or (
                request_class.effect == "deduplicated" and request_class.dedup_scope == "all"
            )
            assert may_run_again or not record.may_have_run(), "rule 2: rejected a request that may have run"

    # Results

    def sends(self, request: int | None = None) -> list[Send]:
        return [each for each in self.actions if isinstance(each, Send) and request in (None, each.request)]

    def answer(self, request: int) -> Action | None:
        for action in self.actions:
            if isinstance(action, Reject | Fail) and action.request == request:
                return action
        return None
