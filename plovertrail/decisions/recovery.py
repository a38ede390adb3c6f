"""Recovery of an instance after a start, a pause of its process, or the loss of a source of endpoint lists.

State from before the interruption is not acted on until the sources have been read again or a timeout has
passed. Times are in microseconds of the instance's own clock.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

MAX_IDLE_WAIT_US = 250_000  # maximum wait of an idle event loop, so that pauses can be detected
# After a longer pause, endpoint lists may be outdated: a drain is written to a file that is scanned once a
# second, and the endpoint serves for another 2 s.
PAUSE_THRESHOLD_US = 500_000
CATCH_UP_TIMEOUT_US = 1_000_000  # sources that could not be read by then count as failed


class Phase(enum.Enum):
    """The phases of recovery, in order; the values are shown to operators."""

    STARTING = "starting"  # no source has been read yet
    CATCHING_UP = "catching up"  # endpoint lists may be outdated, so nothing is sent
    PARTIAL = "serving in part"  # requests are sent although a source has failed
    FULL = "full"


class StallDetector:
    """Detects pauses of the process from the timing of event loop iterations.

    A clock alone can't distinguish a paused process from an idle one, as time passes for both.
    """

    def __init__(self, now_us: int) -> None:
        self.turn_began_us = now_us
        self.wait_deadline_us = now_us  # when the current wait should end at the latest

    def before_wait(self, now_us: int, timeout_us: int) -> int:
        """Record that the loop starts to wait; return how long its last iteration was paused, or 0."""
        paused_us = now_us - self.turn_began_us
        self.wait_deadline_us = now_us + timeout_us
        return paused_us if paused_us > PAUSE_THRESHOLD_US else 0

    def after_wait(self, now_us: int) -> int:
        """Record that the wait has ended; return how long the process was paused during it, or 0."""
        paused_us = now_us - self.wait_deadline_us
        self.turn_began_us = now_us
        return paused_us if paused_us > PAUSE_THRESHOLD_US else 0

    def turn_is_stale(self, now_us: int) -> bool:
        """Whether the current iteration has taken so long that the state it started with may be outdated."""
        return now_us - self.turn_began_us > PAUSE_THRESHOLD_US


class RecoveryState:
    """The recovery phase of one instance, and the sources that determine it."""

    def __init__(self, now_us: int) -> None:
        self.phase = Phase.STARTING
        self.phase_since_us = now_us
        self.recovering_since_us = now_us
        self.reason = "process start"
        self.pending_sources: set[str] = set()  # must be read before anything is sent
        self.failed_sources: dict[str, str] = {}  # with the problem of the last read
        self.last_recovery_us: int | None = None  # its duration; None if none has ended
        self.pauses = 0
        self.longest_pause_us = 0
        self.catch_up_deadline_us = now_us

    @property
    def may_send(self) -> bool:
        """Whether requests may be sent."""
        return self.phase in (Phase.PARTIAL, Phase.FULL)

    def process_paused(
        self, paused_us: int, sources: Iterable[str], now_us: int, starting: bool = False
    ) -> None:
        """Require these sources to be read again after a pause; `starting`: the pause was a slow start."""
        if not starting:
            self.pauses += 1
            self.longest_pause_us = max(self.longest_pause_us, paused_us)
            self.reason = f"process paused for {paused_us / 1e6:.1f} s"
        self.pending_sources = set(sources)
        self.catch_up_deadline_us = now_us + CATCH_UP_TIMEOUT_US
        if self.may_send:
            self.recovering_since_us = now_us
        self._enter(Phase.CATCHING_UP, now_us)

    def follow_sources(self, sources: Iterable[str], now_us: int) -> None:
        """Set the sources to follow, after the start or a change of configuration."""
        followed = set(sources)
        self.failed_sources = {
            source: problem for source, problem in self.failed_sources.items() if source in followed
        }
        self.pending_sources &= followed
        if self.phase is not Phase.CATCHING_UP:
            self._update_phase(now_us)

    def source_read(self, source: str, problem: str, now_us: int) -> None:
        """Record that a source was read; `problem` is why it gave no list, empty if it did."""
        self.pending_sources.discard(source)
        if problem:
            self.failed_sources[source] = problem
        else:
            self.failed_sources.pop(source, None)
        if self.may_send:
            self._update_phase(now_us)

    def end_catch_up(self, now_us: int) -> None:
        """End catching up: sources that have not been read count as failed.

        Otherwise one hanging disk would keep all pools from serving.
        """
        for source in self.pending_sources:
            self.failed_sources.setdefault(source, "it could not be read again in time")
        self.pending_sources = set()
        self._update_phase(now_us)

    def _update_phase(self, now_us: int) -> None:
        if self.failed_sources:
            if self.phase is Phase.FULL:
                self.recovering_since_us = now_us
                self.reason = "a source has no endpoint list"
            self._enter(Phase.PARTIAL, now_us)
        else:
            if self.phase is not Phase.FULL:
                self.last_recovery_us = now_us - self.recovering_since_us
            self._enter(Phase.FULL, now_us)

    def _enter(self, phase: Phase, now_us: int) -> None:
        if phase is not self.phase:
            self.phase = phase
            self.phase_since_us = now_us
