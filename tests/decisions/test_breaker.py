"""The circuit breaker of a hook: when it switches the hook off and on again, on simulated times."""

from __future__ import annotations

from plovertrail.decisions.breaker import INITIAL_PAUSE_US, MAX_PAUSE_US, CircuitBreaker

SECOND = 1_000_000


def test_a_run_of_faults_switches_off_and_a_successful_trial_on() -> None:
    breaker = CircuitBreaker()
    calls = 0
    while breaker.allows_call(calls):
        assert calls < 20
        breaker.record_fault(calls, 10)
        calls += 1
    assert calls == 11  # more than half of the moving average are faults
    off_until_us = breaker.off_until_us
    assert not breaker.allows_call(off_until_us - 1)
    assert breaker.until_trial_us(off_until_us - 1) == 1
    assert breaker.allows_call(off_until_us)
    assert breaker.record_success()
    assert breaker.allows_call(off_until_us)
    assert not breaker.record_success()
    assert breaker.fault_share == 0.0


def test_a_failed_trial_doubles_the_pause_up_to_a_maximum() -> None:
    breaker, now = CircuitBreaker(), 0
    for _ in range(11):
        breaker.record_fault(now, 10)
    pauses = []
    for _ in range(10):
        now = breaker.off_until_us
        assert breaker.record_fault(now, 10)
        pauses.append(breaker.off_until_us - now)
    assert pauses[:3] == [2 * INITIAL_PAUSE_US, 4 * INITIAL_PAUSE_US, 8 * INITIAL_PAUSE_US]
    assert pauses[-1] == MAX_PAUSE_US


def test_a_few_faults_among_many_successful_calls_leave_it_on() -> None:
    """Otherwise anyone who knows an input on which a hook faults could disable its route."""
    breaker = CircuitBreaker()
    for now in range(0, 60 * SECOND, 10_000):
        assert breaker.allows_call(now)
        if now % 50_000:
            breaker.record_success()
        else:
            breaker.record_fault(now, 500)  # 20 a second take 1 % of the time


def test_faults_that_take_too_much_time_switch_it_off_even_if_they_are_few() -> None:
    """20 faults a second that each take 10 ms use a fifth of the event loop's time."""
    breaker, now = CircuitBreaker(), 0
    while breaker.allows_call(now):
        for _ in range(9):
            breaker.record_success()
        breaker.record_fault(now, 10_000)
        now += 50_000
    assert SECOND < now < 3 * SECOND


def test_the_time_of_old_faults_is_forgotten() -> None:
    breaker = CircuitBreaker()
    for minute in range(60):
        breaker.record_success()
        breaker.record_fault(minute * 60 * SECOND, 100_000)
        breaker.record_success()
    assert breaker.allows_call(3600 * SECOND)
