"""Upstreams that end their warm-up: those that were fast while cold stay in use."""

from __future__ import annotations

import heapq
from collections import Counter

from plovertrail.decisions.balance import Balancer
from plovertrail.decisions.interface import (
    AttemptEnded,
    Event,
    ListKind,
    Outcome,
    RequestArrived,
    Send,
    SetTimer,
    TimerFired,
    Upstream,
    UpstreamsUpdated,
)
from tests.decisions.world import START_US, settings

SECOND_US = 1_000_000
WARM_UP_US = 20 * SECOND_US
OLD, NEW = range(1, 17), range(101, 125)
SLOW_US, FAST_US = 140_000, 20_000  # the old ones are crowded by other sidecars; neither is a slow answer


class Sidecar:
    """One balancer, and upstreams that answer by whether they are old or new."""

    def __init__(self, seed: int) -> None:
        self.settings = settings(instances=200, second_copies=False, warm_up_us=WARM_UP_US)
        self.now_us, self.order = START_US, 0
        self.balancer = Balancer(self.settings, seed, START_US)
        self.due: list[tuple[int, int, Event]] = []
        self.sent: Counter[str] = Counter()
        self.asked = 0
        self.old_us = SLOW_US

    def tell(self, event: Event) -> None:
        for action in self.balancer.handle(self.now_us, event):
            self.order += 1
            if isinstance(action, Send):
                new = action.upstream in NEW
                self.sent["new" if new else "old"] += 1
                after_us = min(action.timeout_us, FAST_US if new else self.old_us)
                outcome = Outcome.OK if after_us < action.timeout_us else Outcome.TIMEOUT
                ended = AttemptEnded(action.request, 0, action.upstream, outcome, after_us, True)
                heapq.heappush(self.due, (self.now_us + after_us, self.order, ended))
            elif isinstance(action, SetTimer):
                heapq.heappush(self.due, (action.at_us, self.order, TimerFired(action.token)))

    def play(self, seconds: float, per_s: float) -> None:
        until_us = self.now_us + int(seconds * SECOND_US)
        while self.now_us < until_us:
            next_us = self.now_us + int(SECOND_US / per_s)
            while self.due and self.due[0][0] <= next_us:
                self.now_us, _, event = heapq.heappop(self.due)
                self.tell(event)
            self.now_us, self.asked = next_us, self.asked + 1
            self.tell(RequestArrived(self.asked, next_us + self.settings.classes[0].deadline_us, 0))


def test_a_sidecar_goes_on_with_new_upstreams_that_were_fast_while_they_were_cold() -> None:
    """Hazard: once warm they came behind those in use, which stay while they have a slot, however slow: with
    half of a fleet replaced, all sidecars together crowd the old ones, and the new ones stand idle."""
    sidecar = Sidecar(seed=3)
    sidecar.tell(UpstreamsUpdated(ListKind.FULL, [Upstream(number) for number in OLD]))
    sidecar.play(4.0, 8.0)
    sidecar.tell(UpstreamsUpdated(ListKind.DELTA, [Upstream(number, started_us=sidecar.now_us)
                                                   for number in NEW]))
    sidecar.play(WARM_UP_US / SECOND_US, 8.0)
    assert sidecar.sent["new"] > 0
    in_use = len(sidecar.balancer.pools[0].in_use)
    sidecar.sent.clear()
    sidecar.play(4.0, 8.0)
    assert sidecar.sent["new"] > 4 * sidecar.sent["old"]
    assert len(sidecar.balancer.pools[0].in_use) <= in_use + len(NEW)


def test_one_that_was_slow_while_cold_or_was_never_asked_waits_until_it_is_needed() -> None:
    sidecar = Sidecar(seed=3)
    sidecar.tell(UpstreamsUpdated(ListKind.FULL, [Upstream(number) for number in OLD]))
    sidecar.play(4.0, 8.0)
    before = set(sidecar.balancer.pools[0].in_use)
    unasked = [Upstream(number, started_us=sidecar.now_us - WARM_UP_US + 1000) for number in NEW]
    sidecar.tell(UpstreamsUpdated(ListKind.DELTA, unasked))
    sidecar.play(1.0, 8.0)
    assert set(sidecar.balancer.pools[0].in_use) - before <= set(OLD)


def cold_turns(per_s: float) -> float:
    """The turns a second that cold upstreams have while the warm ones choke, at so many requests a second."""
    sidecar = Sidecar(seed=3)
    sidecar.old_us = FAST_US
    sidecar.tell(UpstreamsUpdated(ListKind.FULL, [Upstream(number) for number in OLD]))
    sidecar.play(20.0, 8.0)
    sidecar.old_us = SECOND_US
    half_warm = [Upstream(number, started_us=sidecar.now_us - WARM_UP_US // 2) for number in NEW]
    sidecar.tell(UpstreamsUpdated(ListKind.DELTA, half_warm))
    sidecar.play(3.0, per_s)  # till the thinning holds
    sidecar.sent.clear()
    sidecar.play(6.0, per_s)
    return sidecar.sent["new"] / 6.0


def test_cold_ones_keep_their_turns_while_warm_ones_choke_however_much_is_asked() -> None:
    """Hazard: by what is served now they would have the fewer turns the more they are needed; by what
    is asked, a crowd of clients would push them over."""
    few, many = cold_turns(8.0), cold_turns(80.0)
    # a turn of one of 24 comes after about whole / (warmth * COLD_PART * overload_factor) served
    whole = len(OLD) + 0.6 * len(NEW)
    due = 8.0 * len(NEW) * 0.6 * 0.6 * 2.5 / whole
    assert 0.6 * due < few < 1.5 * due
    assert many < 2.0 * due
