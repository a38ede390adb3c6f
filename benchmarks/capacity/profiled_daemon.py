"""`plovertrail serve` with its loop's turns, callbacks, collections of garbage and threads counted:
`python -m benchmarks.capacity.profiled_daemon REPORT [--functions] SITE`; it writes REPORT when it ends.

A turn of the loop is what runs between two waits for events: an event that comes meanwhile waits for its end.
A turn's time less the CPU time of the loop's thread in it is time in which the thread stood still. Where the
kernel took the core (a forced switch), other processes had it; where the thread gave it up, it waited for the
interpreter's lock or in a system call; with no switch at all the machine's host had taken the core. With
`--functions` cProfile runs beside it, which slows all functions down: its shares tell, its times don't.
"""

from __future__ import annotations

import asyncio
import cProfile
import gc
import io
import json
import pstats
import resource
import sys
import threading
import time
from asyncio import events
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from benchmarks.capacity.latencies import percentile
from plovertrail.cli import main
from plovertrail.stall_detector import StallDetectingSelector

LONG_TURN_S = 0.001
MOST_CALLBACKS = 25
MOST_LONG_TURNS = 40
MOST_FUNCTIONS = 40


@dataclass
class CallbackCost:
    """All runs of one callback of the loop."""

    runs: int = 0
    seconds: float = 0.0
    longest_s: float = 0.0

    def add(self, seconds: float) -> None:
        """Count one run."""
        self.runs += 1
        self.seconds += seconds
        self.longest_s = max(self.longest_s, seconds)


@dataclass
class Turn:
    """One turn of the loop, and the switches of its thread meanwhile."""

    wall_s: float
    cpu_s: float
    given_up: int
    forced: int
    callbacks: list[tuple[str, float]]

    @property
    def blocked_s(self) -> float:
        """Time in which the loop's thread did not run."""
        return max(0.0, self.wall_s - self.cpu_s)


@dataclass
class LoopRecorder:
    """Patches the loop and the collector, and keeps what they tell."""

    callbacks: dict[str, CallbackCost] = field(default_factory=lambda: defaultdict(CallbackCost))
    turns: list[Turn] = field(default_factory=list)
    collections_s: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))
    most_threads: int = 0
    current: list[tuple[str, float]] = field(default_factory=list)
    began: float = 0.0
    began_cpu: float = 0.0
    began_switches: tuple[int, int] = (0, 0)
    collecting_since: float = 0.0
    ready_at: float = field(default_factory=time.perf_counter)

    def install(self) -> None:
        """From now on."""
        self._record_callbacks()
        self._record_turns()
        gc.callbacks.append(self._collection)

    def _record_callbacks(self) -> None:
        plain: Callable[[events.Handle], None] = events.Handle._run

        def run(handle: events.Handle) -> None:
            name = callback_name(handle)
            began = time.perf_counter()
            plain(handle)
            took = time.perf_counter() - began
            self.callbacks[name].add(took)
            self.current.append((name, took))

        setattr(events.Handle, "_run", run)  # noqa: B010

    def _record_turns(self) -> None:
        plain = StallDetectingSelector.select

        def select(selector: StallDetectingSelector, timeout: float | None = None) -> Any:
            if self.began:
                wall = time.perf_counter() - self.began
                cpu = time.thread_time() - self.began_cpu
                given_up, forced = thread_switches()
                given_up, forced = given_up - self.began_switches[0], forced - self.began_switches[1]
                self.turns.append(Turn(wall, cpu, given_up, forced, self._taken()))
            self.most_threads = max(self.most_threads, threading.active_count())
            found = plain(selector, timeout)
            self.began_switches = thread_switches()
            self.began, self.began_cpu = time.perf_counter(), time.thread_time()
            return found

        setattr(StallDetectingSelector, "select", select)  # noqa: B010

    def _taken(self) -> list[tuple[str, float]]:
        """The turn's callbacks; of a short turn, which there are many of, none are kept."""
        taken, self.current = self.current, []
        return taken if sum(seconds for _, seconds in taken) >= LONG_TURN_S else []

    def _collection(self, phase: str, info: dict[str, int]) -> None:
        if phase == "start":
            self.collecting_since = time.perf_counter()
        else:
            self.collections_s[info["generation"]].append(time.perf_counter() - self.collecting_since)

    def _blocked(self, kind: Callable[[Turn], bool]) -> float:
        """Seconds in which turns of one kind stood still."""
        return round(sum(turn.blocked_s for turn in self.turns if kind(turn)), 3)

    def _long(self, kind: Callable[[Turn], bool]) -> int:
        """Turns over LONG_TURN_S that stood still for the most of it, of one kind."""
        return sum(
            turn.wall_s > LONG_TURN_S and turn.blocked_s > turn.cpu_s and kind(turn) for turn in self.turns
        )

    def report(self) -> dict[str, Any]:
        """All of it, in milliseconds."""
        used = resource.getrusage(resource.RUSAGE_SELF)
        seconds = time.perf_counter() - self.ready_at
        dearest = sorted(self.callbacks.items(), key=lambda item: -item[1].seconds)
        longest = sorted(self.turns, key=lambda turn: -turn.wall_s)[:MOST_LONG_TURNS]
        walls = [turn.wall_s for turn in self.turns] or [0.0]
        return {
            "seconds": round(seconds, 2),
            "cpu_s": round(used.ru_utime + used.ru_stime, 2),
            "threads": self.most_threads,
            "switches": {"given_up": used.ru_nvcsw, "forced": used.ru_nivcsw},
            "turns": {
                "count": len(walls),
                "busy_s": round(sum(walls), 3),
                "preempted_s": self._blocked(lambda turn: turn.forced > 0),
                "waited_s": self._blocked(lambda turn: turn.given_up > 0 and not turn.forced),
                "stolen_s": self._blocked(lambda turn: not turn.given_up and not turn.forced),
                "over_1_ms_preempted": self._long(lambda turn: turn.forced > 0),
                "over_1_ms_waited": self._long(lambda turn: turn.given_up > 0 and not turn.forced),
                "over_1_ms_stolen": self._long(lambda turn: not turn.given_up and not turn.forced),
                "over_1_ms": sum(wall > LONG_TURN_S for wall in walls),
                "over_1_ms_of_cpu": sum(turn.cpu_s > LONG_TURN_S for turn in self.turns),
                "median_ms": ms(percentile(walls, 0.5)),
                "p99_ms": ms(percentile(walls, 0.99)),
                "longest_ms": ms(max(walls)),
            },
            "collections": {
                str(generation): {
                    "runs": len(took),
                    "seconds": round(sum(took), 3),
                    "longest_ms": ms(max(took)),
                }
                for generation, took in sorted(self.collections_s.items())
            },
            "callbacks": [
                {
                    "name": name,
                    "runs": cost.runs,
                    "s": round(cost.seconds, 3),
                    "longest_ms": ms(cost.longest_s),
                }
                for name, cost in dearest[:MOST_CALLBACKS]
            ],
            "longest_turns": [
                {
                    "wall_ms": ms(turn.wall_s),
                    "blocked_ms": ms(turn.blocked_s),
                    "given_up": turn.given_up,
                    "forced": turn.forced,
                    "callbacks": [
                        [name, ms(took)] for name, took in turn.callbacks if took > LONG_TURN_S / 10
                    ],
                }
                for turn in longest
            ],
        }


def thread_switches() -> tuple[int, int]:
    """How often this thread gave its core up, and how often the kernel took it."""
    used = resource.getrusage(resource.RUSAGE_THREAD)
    return used.ru_nvcsw, used.ru_nivcsw


def ms(seconds: float) -> float:
    """Milliseconds, to the microsecond."""
    return round(seconds * 1e3, 3)


def callback_name(handle: events.Handle) -> str:
    """The function that a handle calls; of a task its coroutine."""
    callback = handle._callback  # type: ignore[attr-defined]
    owner = getattr(callback, "__self__", None)
    if isinstance(owner, asyncio.Task):
        return f"task {getattr(owner.get_coro(), '__qualname__', '?')}"
    return str(getattr(callback, "__qualname__", type(callback).__name__))


def functions_of(profile: cProfile.Profile) -> str:
    """cProfile's table, by the time in functions themselves."""
    text = io.StringIO()
    pstats.Stats(profile, stream=text).sort_stats("tottime").print_stats(MOST_FUNCTIONS)
    return text.getvalue()


def run(report: Path, site: str, functions: bool) -> None:
    """Serve until SIGTERM, then write the report."""
    recorder = LoopRecorder()
    recorder.install()
    profile = cProfile.Profile() if functions else None
    try:
        if profile is not None:
            profile.runcall(main, ["serve", site], standalone_mode=False)
        else:
            main(["serve", site], standalone_mode=False)
    finally:
        report.write_text(json.dumps(recorder.report(), indent=1))
        if profile is not None:
            profile.dump_stats(report.with_suffix(".pstats"))
            report.with_suffix(".functions").write_text(functions_of(profile))


if __name__ == "__main__":
    run(Path(sys.argv[1]), sys.argv[-1], "--functions" in sys.argv[2:-1])
