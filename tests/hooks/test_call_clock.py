"""The clock that stops calls: by CPU time, so that a busy machine stops none."""

from __future__ import annotations

import threading
from collections.abc import Iterator

import pytest

from plovertrail.hooks.bounds import TICK_S, HookError
from plovertrail.hooks.call_clock import NS_PER_S, CallClock
from plovertrail.hooks.engine import Bounds, Instance, Runtime
from tests.hooks import wat

TICK_NS = int(TICK_S * NS_PER_S)


class Engine:
    """Counts epochs as an engine does."""

    def __init__(self) -> None:
        self.epochs = 0

    def increment_epoch(self) -> None:
        self.epochs += 1


class CpuTime:
    """CPU time that is driven by hand."""

    def __init__(self) -> None:
        self.now_ns = 0

    def __call__(self, cpu_clock: int) -> int:
        return self.now_ns


@pytest.fixture
def engine() -> Engine:
    return Engine()


@pytest.fixture
def cpu_time() -> CpuTime:
    return CpuTime()


@pytest.fixture
def clock(engine: Engine, cpu_time: CpuTime) -> CallClock:
    return CallClock(engine, TICK_S, cpu_time)


def test_nothing_is_counted_while_nobody_calls(clock: CallClock, engine: Engine, cpu_time: CpuTime) -> None:
    thread = clock.this_thread()
    thread.enter()
    thread.leave()
    for _ in range(10):
        cpu_time.now_ns += TICK_NS
        clock.look()
    assert engine.epochs == 0


def test_a_call_that_stands_still_is_never_stopped(
    clock: CallClock, engine: Engine, cpu_time: CpuTime
) -> None:
    clock.this_thread().enter()
    for _ in range(1000):
        clock.look()
    assert engine.epochs == 1  # and a call ends at its second
    cpu_time.now_ns += TICK_NS // 2
    clock.look()
    assert engine.epochs == 1


def test_a_call_that_uses_up_its_ticks_is_stopped(
    clock: CallClock, engine: Engine, cpu_time: CpuTime
) -> None:
    clock.this_thread().enter()
    clock.look()
    cpu_time.now_ns += TICK_NS * 95 // 100
    clock.look()
    assert engine.epochs == 2


def test_many_short_calls_are_not_taken_for_a_long_one(
    clock: CallClock, engine: Engine, cpu_time: CpuTime
) -> None:
    thread = clock.this_thread()
    for number in range(1, 20):
        before = engine.epochs
        thread.enter()
        clock.look()
        assert engine.epochs - before <= 1, number
        cpu_time.now_ns += TICK_NS
        thread.leave()


def test_threads_that_have_ended_are_forgotten(engine: Engine) -> None:
    clock = CallClock(engine)
    for _ in range(20):
        worker = threading.Thread(target=clock.this_thread)
        worker.start()
        worker.join()
    assert clock.this_thread() is clock.this_thread()
    assert len(clock._threads) <= 2  # this one, and the last one if its record is still there


@pytest.fixture
def suspended_runtime() -> Iterator[Runtime]:
    """A runtime on a machine that gives the calling thread no CPU time, as far as the clock can see."""
    runtime = Runtime()
    runtime.clock = CallClock(runtime.engine, TICK_S / 5, CpuTime())
    runtime.start()
    yield runtime
    runtime.stop()


def test_wall_time_alone_stops_no_call(suspended_runtime: Runtime) -> None:
    """The loop runs for many ticks by the wall, until its fuel is out."""
    compiled = suspended_runtime.compile_module(wat.module(on_request=wat.LOOP))
    instance = Instance(suspended_runtime, compiled, Bounds(fuel=100_000_000, memory=1 << 20))
    with pytest.raises(HookError, match="it used up its fuel"):
        instance.call("on_request", b"")
