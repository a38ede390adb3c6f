"""One hook in the engine: its instances, its counters, its log lines, and the cache of modules."""

from __future__ import annotations

import logging
from collections.abc import Iterator

import pytest

from plovertrail.config.hooks import HookSetup
from plovertrail.decisions.verdicts import Allowed, Verdict, check_request
from plovertrail.hooks.bounds import MOST_COMPILED, HookError
from plovertrail.hooks.engine import Bounds, Instance, InvalidModuleError, Runtime
from plovertrail.hooks.hook import LOGS_A_SECOND, Hook
from tests.hooks import wat

ALLOWED = Allowed((), (), frozenset((b"n",)))
# sets X-Calls to a letter: a for the instance's first call, b for its second
CALLS = wat.module(
    on_request="""(global.set $calls (i32.add (global.get $calls) (i32.const 1)))
        (if (i32.eq (global.get $calls) (i32.const 4)) (then unreachable))
        (memory.init $head (i32.const 1024) (i32.const 0) (i32.const 15))
        (i32.store8 (i32.const 1039) (i32.add (i32.const 96) (global.get $calls)))
        (i32.const 16)""",
    extra='(global $calls (mut i32) (i32.const 0)) (data $head "\\41\\00\\07\\00\\01\\00\\00\\00X-Calls")',
)
# takes a page more with each call, and reaches for it
LEAK = wat.module(
    on_request="""(local.set $i (memory.grow (i32.const 1)))
        (i32.store (i32.mul (local.get $i) (i32.const 65536)) (i32.const 1)) (i32.const 0)"""
)


@pytest.fixture
def runtime() -> Iterator[Runtime]:
    made = Runtime()
    made.start()
    yield made
    made.stop()


class Clock:
    def __init__(self) -> None:
        self.now_us = 0

    def __call__(self) -> int:
        return self.now_us


def make(runtime: Runtime, module: bytes, reuse: int = 1000, clock: Clock | None = None) -> Hook:
    setup = HookSetup("h", "h.wasm", 500_000, 4 << 20, reuse, 0, (), ("n",))
    return Hook(runtime, setup, runtime.compile_module(module), clock or Clock())


def calls(hook: Hook, count: int) -> str:
    """What X-Calls was, one letter a call; - for a fault."""
    found = ""
    for _ in range(count):
        try:
            found += hook.run("on_request", b"", ALLOWED, check_request, 0).set_headers[0][1].decode()
        except HookError:
            found += "-"
    return found


def test_globals_live_on_until_a_fault_or_the_last_call_of_an_instance(runtime: Runtime) -> None:
    assert calls(make(runtime, CALLS), 9) == "abc-abc-a"
    assert calls(make(runtime, CALLS, reuse=2), 5) == "ababa"
    assert calls(make(runtime, CALLS, reuse=1), 5) == "aaaaa"


def test_two_hooks_of_one_module_share_nothing(runtime: Runtime) -> None:
    first, second = make(runtime, CALLS), make(runtime, CALLS)
    assert calls(first, 2) + calls(second, 1) + calls(first, 1) == "abac"


def test_a_module_that_leaks_a_page_a_call_never_faults(runtime: Runtime) -> None:
    """64 pages in all: an instance is replaced in time."""
    hook = make(runtime, LEAK)
    for _ in range(500):
        hook.run("on_request", b"", ALLOWED, check_request, 0)
    assert hook.figures.faults == 0


def test_counters_add_up_and_stop_at_their_most(runtime: Runtime) -> None:
    hook = make(runtime, wat.answering("on_request", Verdict(counts=[(b"n", 2**32 - 1)])))
    for _ in range(3):
        hook.run("on_request", b"", ALLOWED, check_request, 0)
    assert hook.status()["counters"] == {"n": 3 * (2**32 - 1)}
    hook.figures.counters[b"n"] = (1 << 63) - 2
    hook.run("on_request", b"", ALLOWED, check_request, 0)
    assert hook.status()["counters"] == {"n": (1 << 63) - 1}


def test_log_lines_are_escaped_and_bounded_in_a_second(
    runtime: Runtime, caplog: pytest.LogCaptureFixture
) -> None:
    line = b"a\nERROR forged \x1b[31m\xff"
    clock = Clock()
    hook = make(runtime, wat.answering("on_request", Verdict(logs=[line] * 4)), clock=clock)
    with caplog.at_level(logging.INFO):
        for second in range(3):
            for _ in range(100):
                hook.run("on_request", b"", ALLOWED, check_request, second * 1_000_000)
    assert len(caplog.records) == 3 * LOGS_A_SECOND
    assert hook.figures.logs_dropped == 1200 - 3 * LOGS_A_SECOND
    for record in caplog.records:
        assert record.getMessage() == "hook h: a\\nERROR forged \\x1b[31m\\ufffd"


def test_modules_are_compiled_once_by_their_content(runtime: Runtime) -> None:
    first = runtime.compile_module(CALLS)
    assert runtime.compile_module(bytes(CALLS)) is first
    for number in range(MOST_COMPILED):
        runtime.compile_module(wat.module(on_request=f"(i32.const {-number})"))
    assert runtime.compile_module(CALLS) is not first  # the cache is bounded


@pytest.mark.parametrize("at", range(8, len(CALLS), 7))
def test_a_damaged_module_is_refused_or_runs_within_its_bounds(at: int, runtime: Runtime) -> None:
    data = bytearray(CALLS)
    data[at] ^= 0x55
    try:
        hook = make(runtime, bytes(data))
    except InvalidModuleError:
        return
    try:
        hook.run("on_request", b"", ALLOWED, check_request, 0)
    except HookError:
        assert hook.figures.faults == 1


@pytest.mark.parametrize("body", [wat.LOOP, wat.SLOW_BULK])
def test_the_clock_stops_what_fuel_would_let_run_for_a_minute(body: str, runtime: Runtime) -> None:
    compiled = runtime.compile_module(wat.module(on_request=body))
    instance = Instance(runtime, compiled, Bounds(fuel=1 << 60, memory=1 << 20))
    with pytest.raises(HookError, match="it ran for too long"):
        instance.call("on_request", b"")
