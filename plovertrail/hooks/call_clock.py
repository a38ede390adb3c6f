"""The clock that stops calls of hooks which run for too long, by the CPU time that they have used.

Fuel bounds how many instructions a call runs, but bulk operations do much for little fuel, so there is a
clock as well. It goes by CPU time: on a busy machine, or under a CPU quota, a process is suspended for longer
than a call may take, and by wall time a call of microseconds would be stopped for that. A call can't wait for
anything, so what it takes of wall time beyond its CPU time is the machine's doing.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import Protocol

from plovertrail.hooks.bounds import TICK_S

LEAST_USED = 0.8  # of a tick: a thread that runs all the time gets a little less than a tick between looks
NS_PER_S = 1_000_000_000


class EpochCounter(Protocol):
    """An engine, as the clock sees it: it stops calls whose epoch deadline is reached."""

    def increment_epoch(self) -> None:
        """Count one epoch more."""


class CallingThread:
    """A thread that calls hooks, and the call that it is in."""

    __slots__ = ("cpu_clock", "calls", "in_call", "seen_call", "seen_cpu_ns")

    def __init__(self, cpu_clock: int) -> None:
        self.cpu_clock = cpu_clock  # the id of the clock that counts the thread's CPU time
        self.calls = 0
        self.in_call = False
        self.seen_call = 0  # the number of the call that the clock looked at last
        self.seen_cpu_ns = 0  # the thread's CPU time at the first look at that call

    def enter(self) -> None:
        """A call begins. Only on this thread itself, as the clock goes by the CPU time of this thread."""
        self.calls += 1
        self.in_call = True

    def leave(self) -> None:
        """The call is over."""
        self.in_call = False


class CallClock:
    """Looks at the calls in progress once a tick, and advances the engine's epoch when one runs for too long.

    A call whose deadline is two epochs away ends between one tick and two. The first look at a call counts an
    epoch; a later one does once the thread has used nearly a whole tick of CPU time since the first.
    """

    def __init__(
        self,
        engine: EpochCounter,
        tick_s: float = TICK_S,
        cpu_time_ns: Callable[[int], int] = time.clock_gettime_ns,
    ) -> None:
        self._engine = engine
        self._tick_s = tick_s
        self._cpu_time_ns = cpu_time_ns  # by a thread's clock; raises OSError once the thread has ended
        self._least_cpu_ns = int(tick_s * NS_PER_S * LEAST_USED)
        self._threads: dict[int, CallingThread] = {}  # by the kernel's id
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._ticker: threading.Thread | None = None

    def this_thread(self) -> CallingThread:
        """The record of the thread that asks, on which it tells its calls."""
        # hazard: Python's own identifiers are given again to new threads, with another clock of CPU time
        native_id = threading.get_native_id()
        with self._lock:
            thread = self._threads.get(native_id)
            if thread is None:
                self._forget_ended()
                cpu_clock = time.pthread_getcpuclockid(threading.get_ident())
                thread = self._threads[native_id] = CallingThread(cpu_clock)
            return thread

    def start(self) -> None:
        """Begin to look, on a thread of its own: from now on calls are bounded in time."""
        if self._ticker is None:
            self._ticker = threading.Thread(target=self._run, name="hook-clock", daemon=True)
            self._ticker.start()

    def stop(self) -> None:
        """End the clock; returns when its thread has ended."""
        self._stopped.set()
        if self._ticker is not None:
            self._ticker.join()

    def _run(self) -> None:
        while not self._stopped.wait(self._tick_s):
            self.look()

    def look(self) -> None:
        """One look at the calls in progress."""
        with self._lock:
            due = [self._is_due(thread) for thread in self._threads.values() if thread.in_call]
        if any(due):
            self._engine.increment_epoch()

    def _is_due(self, thread: CallingThread) -> bool:
        """Whether the thread's call is to come closer to its end."""
        cpu_ns = self._cpu_time_ns(thread.cpu_clock)
        if thread.seen_call != thread.calls:
            thread.seen_call, thread.seen_cpu_ns = thread.calls, cpu_ns
            return True
        return cpu_ns - thread.seen_cpu_ns >= self._least_cpu_ns

    def _forget_ended(self) -> None:
        for native_id, thread in list(self._threads.items()):
            try:
                self._cpu_time_ns(thread.cpu_clock)
            except OSError:
                del self._threads[native_id]
