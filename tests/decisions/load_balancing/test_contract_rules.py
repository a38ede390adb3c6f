"""The four rules of the contract under arbitrary valid event sequences; the harness checks every action."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from plovertrail.decisions.actions import Send
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
from plovertrail.decisions.settings import RequestClass
from tests.decisions.load_balancing.harness import (
    START_US,
    BalancerHarness,
    classes,
    ready_endpoints,
    settings,
)

FAULTS = [o for o in Outcome if o is not Outcome.TIMEOUT]

STEPS = st.one_of(
    st.tuples(st.just("arrive"), st.integers(0, 4), st.integers(1, 2_000_000)),
    st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from(FAULTS)),
    st.tuples(st.just("advance"), st.integers(0, 700_000), st.just(0)),
    st.tuples(st.just("list"), st.integers(0, 7), st.sampled_from(list(EndpointStatus))),
    st.tuples(st.just("full"), st.integers(0, 8), st.sampled_from([ListKind.FULL, ListKind.CACHED])),
    st.tuples(st.just("restart"), st.integers(0, 7), st.integers(0, 30_000_000)),
    st.tuples(st.just("fail"), st.just(0), st.just(0)),
    st.tuples(st.just("cancel"), st.integers(0, 50), st.just(0)),
    st.tuples(st.just("stream"), st.integers(0, 50), st.just(0)),
)

CONFIGS = st.fixed_dictionaries(
    {
        "hedging": st.booleans(),
        "endpoints_on_request": st.booleans(),
        "cancel": st.booleans(),
        "max_attempts": st.integers(1, 5),
        "instances": st.integers(1, 8),
        "retry_after": st.booleans(),
        "max_poll_interval_us": st.sampled_from([0, 10_000_000]),
        "health_checks": st.booleans(),
        "report_names": st.sampled_from([[], ["utilization"], ["in_flight", "queued", "latency_ms"]]),
    }
)


def all_classes() -> list[RequestClass]:
    return [
        *classes(),
        RequestClass(
            "zoned", 200_000, 900_000, effect="deduplicated", dedup_scope="zone", dedup_window_us=400_000
        ),
        RequestClass("feed", 200_000, 900_000, effect="deduplicated", dedup_window_us=9_000_000, stream=True),
    ]


def apply_step(harness: BalancerHarness, step: tuple[str, int, object]) -> None:
    kind, number, argument = step
    in_flight = [
        (request_id, attempt)
        for request_id, record in harness.requests.items()
        for attempt in record.in_flight()
    ]
    if kind == "arrive":
        assert isinstance(argument, int)
        harness.request_arrives(number, timeout_us=argument)
    elif kind == "advance":
        harness.advance(number)
    elif kind in ("list", "restart"):
        started = harness.now_us - argument if isinstance(argument, int) else 0
        state = argument if isinstance(argument, EndpointStatus) else EndpointStatus.READY
        entry = Endpoint(100 + number, state, number // 2, 0, number // 2, 1.0, started)
        harness.update_endpoints([entry], ListKind.DELTA)
    elif kind == "full":
        assert isinstance(argument, ListKind)
        harness.update_endpoints(ready_endpoints(number), argument)
    elif kind == "fail" and harness.settings.endpoints_on_request:
        harness.handle_event(EndpointsUpdated(ListKind.FAILED))
    elif kind == "cancel" and harness.requests:
        request_id = list(harness.requests)[number % len(harness.requests)]
        if not harness.requests[request_id].is_closed:
            harness.cancel_request(request_id)
    elif kind == "end" and in_flight:
        assert isinstance(argument, Outcome)
        harness.end_attempt(*in_flight[number % len(in_flight)], argument)
    elif kind == "stream":
        start_stream(harness, number, in_flight)


def start_stream(harness: BalancerHarness, number: int, in_flight: list[tuple[int, int]]) -> None:
    streams = [
        (request_id, attempt)
        for request_id, attempt in in_flight
        if harness.settings.classes[harness.requests[request_id].event.class_index].stream
        and not harness.requests[request_id].is_streaming
        and not harness.requests[request_id].is_closed
    ]
    if streams:
        harness.start_stream(*streams[number % len(streams)])


@hypothesis_settings(derandomize=True, deadline=None, max_examples=400)
@given(CONFIGS, st.integers(0, 2**64 - 1), st.lists(STEPS, max_size=80))
def test_no_rule_is_broken_by_any_sequence_of_events(
    config: dict[str, object], seed: int, steps: list[tuple[str, int, object]]
) -> None:
    harness = BalancerHarness(settings(classes=all_classes(), **config), seed)
    harness.update_endpoints(ready_endpoints(6), ListKind.CACHED)
    for step in steps:
        apply_step(harness, step)
    harness.advance(5_000_000)  # each request must have an answer by its deadline


def actions_under_heavy_load(config: dict[str, object], seed: int) -> list[object]:
    """Return the actions under a load with all kinds of faults that leads to buffering and retries."""
    rng = random.Random(seed)
    harness = BalancerHarness(settings(classes=all_classes(), **config), seed)
    harness.update_endpoints(ready_endpoints(6), ListKind.CACHED)
    for _ in range(1500):
        kind = rng.choices(
            ["arrive", "end", "advance", "list", "restart", "cancel", "stream", "fail"],
            [50, 40, 10, 1, 1, 1, 1, 1],
        )[0]
        argument: object = 0
        number = rng.randrange(50)
        if kind == "arrive":
            number, argument = rng.randrange(5), rng.randrange(1_000, 2_000_000)
        elif kind == "end":
            argument = rng.choices(FAULTS, [20, 2, 2, 2, 1, 1, 1, 1])[0]
        elif kind == "advance":
            number = rng.randrange(60_000)
        elif kind in ("list", "restart"):
            number = rng.randrange(8)
            argument = rng.choice(list(EndpointStatus)) if kind == "list" else rng.randrange(30_000_000)
        apply_step(harness, (kind, number, argument))
    harness.advance(5_000_000)
    return list(harness.actions)


def test_heavy_load_breaks_no_rule_and_gives_the_same_actions_each_time() -> None:
    for seed in range(12):
        config: dict[str, object] = {
            "hedging": seed % 2 == 0,
            "endpoints_on_request": seed % 3 == 0,
            "max_poll_interval_us": 10_000_000,
            "report_names": [["utilization"], [], ["queued", "in_flight"]][seed % 3],
            "health_checks": seed % 4 == 0,
        }
        assert actions_under_heavy_load(config, seed) == actions_under_heavy_load(config, seed)


@dataclass
class InFlight:
    """An attempt in flight, with the time and outcome of its end."""

    ends_us: int
    instance: int
    request: int
    endpoint_id: int
    attempt: int
    outcome: Outcome
    sent_us: int


class StartingEndpoint:
    """Simulates a starting endpoint beside nine warm ones, under several times their capacity.

    Endpoints serve one request at a time, in 40 ms when warm, and reject what would take over 300 ms.
    Each instance gets its number of `arrivals` per tick of 4 ms, up to 26 times the capacity of the nine.
    """

    def __init__(self, arrivals: list[int], outcome: Outcome) -> None:
        self.arrivals = arrivals
        self.outcome = outcome  # of each attempt at the starting endpoint
        self.settings = settings(instances=len(arrivals), classes=[RequestClass("read", 300_000, 1_500_000)])
        self.balancers = [LoadBalancer(self.settings, n, START_US) for n in range(len(arrivals))]
        listed = [Endpoint(1, started_us=START_US), *[Endpoint(n) for n in range(2, 11)]]
        self.free_us = {entry.id: START_US for entry in listed}
        self.sent: list[int] = []
        self.in_flight: list[InFlight] = []
        self.attempts: Counter[int] = Counter()
        self.timers: list[tuple[int, int]] = []
        self.now_us = START_US
        self.request = 0
        for balancer in self.balancers:
            balancer.handle(self.now_us, EndpointsUpdated(ListKind.FULL, listed))

    def fraction(self, at_us: int) -> float:
        """Return the warm-up fraction of the starting endpoint."""
        initial = self.settings.warm_up_initial_capacity
        return initial + (1 - initial) * (at_us - START_US) / self.settings.warm_up_us

    def run(self, until_us: int) -> None:
        while self.now_us < until_us:
            for number, event in self.due_events():
                for action in self.balancers[number].handle(self.now_us, event):
                    if isinstance(action, Send):
                        self.send(number, action)
            self.now_us += 4_000

    def due_events(self) -> list[tuple[int, Event]]:
        events: list[tuple[int, Event]] = []
        for number, count in enumerate(self.arrivals):
            for _ in range(count):
                self.request += 1
                events.append((number, RequestArrived(self.request, self.now_us + 1_500_000)))
        for end in [each for each in self.in_flight if each.ends_us <= self.now_us]:
            self.in_flight.remove(end)
            elapsed_us = self.now_us - end.sent_us
            ok = end.outcome is Outcome.OK
            ended = AttemptEnded(end.request, end.attempt, end.endpoint_id, end.outcome, elapsed_us, ok)
            events.append((end.instance, ended))
        for timer in [each for each in self.timers if each[0] <= self.now_us]:
            self.timers.remove(timer)
            events.append((timer[1], TimerFired(0)))
        return events

    def send(self, number: int, action: Send) -> None:
        attempt = self.attempts[action.request]
        self.attempts[action.request] += 1
        is_new = action.endpoint_id == 1
        fraction = self.fraction(self.now_us) if is_new else 1.0
        ends_us = max(self.free_us[action.endpoint_id], self.now_us) + int(40_000 / fraction)
        outcome = self.outcome if is_new else Outcome.OK
        if outcome is not Outcome.OK or ends_us > self.now_us + 300_000:
            ends_us = self.now_us + 4_000
            outcome = Outcome.REJECTED if outcome is Outcome.OK else outcome
        else:
            self.free_us[action.endpoint_id] = ends_us
        self.in_flight.append(
            InFlight(ends_us, number, action.request, action.endpoint_id, attempt, outcome, self.now_us)
        )
        if is_new:
            self.sent.append(self.now_us)

    def peak_load(self) -> float:
        """Return the peak of the work sent in `overload_duration_us`, relative to the overload limit."""
        duration_us = self.settings.overload_duration_us
        peak = 0.0
        for start in self.sent:
            work_us = 40_000 * sum(1 for at_us in self.sent if start <= at_us < start + duration_us)
            budget_us = self.settings.overload_factor * self.fraction(start) * duration_us
            peak = max(peak, work_us / budget_us)
        return peak


def test_a_starting_endpoint_is_not_overloaded_by_all_instances_together() -> None:
    for arrivals in ([1, 1, 1], [3, 0, 0], [1] * 8, [1] * 24, [4, 1, 1, 1]):
        for outcome in (Outcome.OK, Outcome.REJECTED, Outcome.ERROR, Outcome.CONNECT_FAILED):
            starting = StartingEndpoint(arrivals, outcome)
            starting.run(START_US + 8_000_000)
            assert 0 < starting.peak_load() <= 1, (arrivals, outcome)
