"""CPU time of single calls, so that what a model does around the measured code is not counted."""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable
from functools import partial
from typing import ParamSpec, TypeVar

Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")
CALIBRATION_CALLS = 2_000


class CpuMeter:
    """Sums the CPU time of the calls made through it; calls within a metered call are not counted twice."""

    def __init__(self) -> None:
        self.total_ns = 0
        self.calls = 0
        self._depth = 0

    def call(
        self, function: Callable[Parameters, Result], *args: Parameters.args, **kwargs: Parameters.kwargs
    ) -> Result:
        """Call the function and count its CPU time."""
        if self._depth:
            return function(*args, **kwargs)
        self._depth += 1
        began_ns = time.thread_time_ns()
        try:
            return function(*args, **kwargs)
        finally:
            self.total_ns += time.thread_time_ns() - began_ns
            self.calls += 1
            self._depth -= 1

    def wrap(self, target: object, name: str) -> None:
        """Meter every call of one method of one object from now on."""
        setattr(target, name, partial(self.call, getattr(target, name)))

    def reset(self) -> None:
        """Begin anew."""
        self.total_ns = self.calls = 0

    def share(self, seconds: float, instances: int = 1) -> float:
        """The share of one core that one instance took over so many seconds of virtual time."""
        return self.total_ns / 1e9 / seconds / instances


def overhead_ns() -> float:
    """What the meter itself adds to the time of one call: an upper bound of the error of each."""

    def nothing() -> None:
        """Does nothing."""

    rounds = []
    for _ in range(5):
        meter = CpuMeter()
        for _ in range(CALIBRATION_CALLS):
            meter.call(nothing)
        rounds.append(meter.total_ns / meter.calls)
    return statistics.median(rounds)
