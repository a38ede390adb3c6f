"""Rate limit of connects, for one instance and over a fleet."""

from __future__ import annotations

import random
from collections import Counter

from plovertrail.decisions.connect_rate import BURST, ConnectRateLimiter
from plovertrail.decisions.fleet_limits import Fleet, FleetLimits, instance_limits


def test_a_fleet_that_starts_together_connects_evenly() -> None:
    rng = random.Random(1)
    interval_us = instance_limits(Fleet(5_000), FleetLimits(connects_per_s=100.0), 20).connect_interval_us
    fleet = [ConnectRateLimiter(interval_us, 0, rng.random()) for _ in range(5_000)]
    seconds: Counter[int] = Counter()
    for limiter in fleet:
        at_us = limiter.next_us
        while at_us < 20_000_000:  # connects as often as allowed
            assert limiter.allows(at_us)
            assert not limiter.allows(at_us - 1)
            limiter.consume(at_us)
            seconds[at_us // 1_000_000] += 1
            at_us = limiter.next_us
    assert max(seconds.values()) <= 20 * 100
    assert min(seconds.values()) >= 20 * 100 * 0.5


def test_one_connect_per_interval_and_a_burst_after_an_idle_time() -> None:
    limiter = ConnectRateLimiter(1_000_000, 0, 0.5)
    assert not limiter.allows(499_999)
    now_us, connects = 500_000, 0
    while limiter.allows(now_us):
        limiter.consume(now_us)
        connects += 1
    assert connects == 1, "no burst before the first idle time"
    assert limiter.next_us == 1_500_000
    now_us, connects = 3_600_000_000, 0
    while limiter.allows(now_us):
        limiter.consume(now_us)
        connects += 1
    assert connects == BURST
    assert limiter.next_us == now_us + 1_000_000


def test_a_fleet_that_resumes_together_connects_as_evenly_as_at_a_start() -> None:
    rng = random.Random(1)
    interval_us = instance_limits(Fleet(5_000), FleetLimits(connects_per_s=100.0), 20).connect_interval_us
    fleet = [ConnectRateLimiter(interval_us, 0, rng.random()) for _ in range(5_000)]
    resumed_at_us = 3_600_000_000
    assert (
        sum(limiter.allows(resumed_at_us) for limiter in fleet) == 5_000
    )  # without process_paused, each could burst
    seconds: Counter[int] = Counter()
    for limiter in fleet:
        limiter.process_paused(resumed_at_us, rng.random())
        at_us = max(resumed_at_us, limiter.next_us)
        while at_us < resumed_at_us + 10_000_000:
            limiter.consume(at_us)
            seconds[(at_us - resumed_at_us) // 1_000_000] += 1
            at_us = limiter.next_us
    assert max(seconds.values()) <= 20 * 100
    limiter = ConnectRateLimiter(interval_us, 0, 0.5)
    for _ in range(3):
        limiter.consume(0)  # past connects still count after process_paused
    before_us = limiter.next_us
    limiter.process_paused(0, 0.0)
    assert limiter.next_us == before_us


def test_the_interval_can_change_with_the_fleet_size() -> None:
    limiter = ConnectRateLimiter(60_000_000, 0, 0.0)
    limiter.consume(0)
    assert limiter.next_us == 60_000_000
    limiter.set_interval(1_000_000, 0)
    assert limiter.next_us == 1_000_000, "past connects count with the new interval"
    limiter.set_interval(60_000_000, 1_000_000)
    assert limiter.allows(1_000_000)
    assert limiter.next_us >= -60_000_000 * BURST


def test_rejected_clients_get_different_retry_times_and_no_connect_goes_unused() -> None:
    limiter = ConnectRateLimiter(interval_us=100_000, now_us=0, start_fraction=0.0)
    now_us = limiter.next_us - 50_000
    retries = [limiter.reserve_retry_us(now_us, 1_000_000) for _ in range(1_000)]
    assert all(now_us < at_us <= now_us + 1_000_000 for at_us in retries)
    counts = Counter(retries)
    assert len(counts) == 10
    assert max(counts.values()) - min(counts.values()) <= 1
    assert limiter.reserve_retry_us(now_us + 60_000_000, 1_000_000) <= now_us + 61_000_000
    far = ConnectRateLimiter(interval_us=3_600_000_000, now_us=0, start_fraction=0.5)
    assert far.reserve_retry_us(0, 1_000_000) == far.next_us, "no connect is allowed within the longest time"
