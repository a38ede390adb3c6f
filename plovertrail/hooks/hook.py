"""One configured hook: its module, its instance in use, its breaker, its counters and its log lines."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from plovertrail.config.hooks import HookSetup
from plovertrail.decisions.breaker import CircuitBreaker
from plovertrail.decisions.verdicts import EMPTY_VERDICT, Allowed, InvalidVerdictError, Verdict
from plovertrail.hooks import abi
from plovertrail.hooks.bounds import HookError, RequestTooLongError
from plovertrail.hooks.engine import Bounds, Compiled, Instance, Runtime

log = logging.getLogger(__name__)

MOST_COUNTED = (1 << 63) - 1
LOGS_A_SECOND = 10
A_SECOND_US = 1_000_000
LOOK_EACH = 8  # calls between two looks at how far an instance's memory has grown
MEAN_MEMORY = 64  # calls that make up the mean time of one
MOST_KEPT_FAULT = 200  # characters of the last fault's text
Check = Callable[[Verdict, Allowed], None]


@dataclass(slots=True)
class Figures:
    """What a hook has done since it came into force."""

    calls: int = 0
    faults: int = 0
    refused: int = 0
    skipped: int = 0  # calls not made, as it was off or no time was left
    too_long: int = 0  # requests that its buffer can't hold
    mean_us: float = 0.0  # of a call, smoothed
    logs_dropped: int = 0
    last_fault: str = ""
    counters: dict[bytes, int] = field(default_factory=dict)


class Hook:
    """A hook in force. Its instance is replaced after a fault, after `reuse` calls, and when half its memory
    is in use, so that what a module leaks never makes it fail."""

    def __init__(
        self, runtime: Runtime, setup: HookSetup, compiled: Compiled, clock_us: Callable[[], int]
    ) -> None:
        self.runtime = runtime
        self.clock_us = clock_us
        self.setup = setup
        self.compiled = compiled
        self.breaker = CircuitBreaker()
        self.figures = Figures(counters={name.encode(): 0 for name in setup.counters})
        self.counter_names = frozenset(self.figures.counters)
        self.told_own = self._own()
        self.instance: Instance | None = None
        self.served = 0
        self.first_memory = 0
        self.logs_left = LOGS_A_SECOND
        self.logs_from_us = 0

    def has(self, phase: str) -> bool:
        """Whether the module exports a phase: "on_request", "on_answer" or "on_end"."""
        return phase in self.compiled.phases

    def run(self, phase: str, told: bytes, allowed: Allowed, check: Check, began_us: int) -> Verdict:
        """One call, and its verdict, checked; raises HookError. Only while its breaker lets it."""
        self.figures.calls += 1
        try:
            verdict = self._call(phase, told)
            if verdict is not EMPTY_VERDICT:
                check(verdict, allowed)
        except RequestTooLongError as fault:
            self.figures.too_long += 1
            self.figures.last_fault = str(fault)
            raise
        except (InvalidVerdictError, HookError) as fault:
            raise self._faulted(f"{phase}: {fault}", began_us) from None
        except Exception as error:
            # hazard: a fault of the engine's own must end neither the request nor the daemon
            log.exception("hook %s: the engine failed", self.setup.name)
            raise self._faulted(f"{phase}: the engine failed: {error!r}", began_us) from None
        if self.breaker.record_success():
            log.warning("hook %s is on again", self.setup.name)
        self.figures.mean_us += (self.clock_us() - began_us - self.figures.mean_us) / MEAN_MEMORY
        if verdict is not EMPTY_VERDICT:
            self._take(verdict, began_us)
        return verdict

    def _call(self, phase: str, told: bytes) -> Verdict:
        instance = self.instance
        if instance is None:
            bounds = Bounds(self.setup.fuel, self.setup.memory)
            instance = self.instance = Instance(self.runtime, self.compiled, bounds)
            self.served, self.first_memory = 0, instance.memory_bytes()
        self.served += 1
        answer = instance.call(phase, told + self.told_own)
        if self.served >= self.setup.reuse or (self.served % LOOK_EACH == 0 and self._grown(instance)):
            self.instance = None
        return abi.read_verdict(answer) if answer else EMPTY_VERDICT

    def _grown(self, instance: Instance) -> bool:
        size = instance.memory_bytes()
        return size > self.first_memory and size > self.setup.memory // 2

    def _own(self) -> bytes:
        """What this hook alone is told: its counters and settings."""
        counters = b"".join(
            abi.number(abi.Read.COUNTER, count, name) for name, count in self.figures.counters.items()
        )
        return counters + abi.config(self.setup.config)

    def _faulted(self, why: str, began_us: int) -> HookError:
        self.instance = None  # hazard: what it left in its globals would spoil the next request
        self.figures.faults += 1
        self.figures.last_fault = why[:MOST_KEPT_FAULT]
        now_us = self.clock_us()
        if self.breaker.record_fault(now_us, now_us - began_us):
            log.error(
                "hook %s is switched off for %d s: it faults too often; the last time: %s",
                self.setup.name,
                self.breaker.until_trial_us(now_us) // A_SECOND_US,
                self.figures.last_fault,
            )
        elif self._may_log(now_us):
            log.warning("hook %s faulted: %s", self.setup.name, self.figures.last_fault)
        return HookError(why)

    def _take(self, verdict: Verdict, now_us: int) -> None:
        """Its counts and log lines."""
        counters = self.figures.counters
        for name, count in verdict.counts:
            counters[name] = min(counters[name] + count, MOST_COUNTED)
        if verdict.counts:
            self.told_own = self._own()
        for text in verdict.logs:
            if self._may_log(now_us):
                # hazard: a line end would let it write log lines of other parts
                log.info("hook %s: %s", self.setup.name, ascii(text.decode("utf-8", "replace"))[1:-1])
        self.figures.refused += verdict.refuse > 0

    def _may_log(self, now_us: int) -> bool:
        if now_us >= self.logs_from_us + A_SECOND_US:
            self.logs_from_us, self.logs_left = now_us, LOGS_A_SECOND
        self.logs_left -= 1
        if self.logs_left < 0:
            self.figures.logs_dropped += 1
        return self.logs_left >= 0

    def status(self) -> dict[str, Any]:
        """For operators."""
        figures = self.figures
        return {
            "file": self.setup.path,
            "digest": self.compiled.digest[:16],
            "phases": sorted(self.compiled.phases),
            "calls": figures.calls,
            "faults": figures.faults,
            "refused": figures.refused,
            "skipped": figures.skipped,
            "too_long": figures.too_long,
            "mean_us": round(figures.mean_us, 1),
            "logs_dropped": figures.logs_dropped,
            "last_fault": figures.last_fault,
            "off_for_s": round(self.breaker.until_trial_us(self.clock_us()) / 1e6, 1),
            "counters": {name.decode(): count for name, count in figures.counters.items()},
        }
