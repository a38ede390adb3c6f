"""What an instance may do after it has started, was paused, or has lost a source of endpoint lists.

What was true before a gap is not acted on until the sources have been read again, or a timeout is over. The
times of the instance's own clock come in, phases go out.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

MAX_IDLE_WAIT_US = 250_000  # an idle event loop turns this often, so that a pause shows
# Longer than this, and what was known before may be outdated: a drain is written to a file that is looked at
# every second, and the endpoint serves for 2 s more.
PAUSE_THRESHOLD_US = 500_000
CATCH_UP_TIMEOUT_US = 1_000_000  # after it, sources that could not be read count as failed


class Phase(enum.Enum):
    """How far an instance is, in this order; the values are shown to operators."""

    STARTING = "starting"  # nothing has been read yet
    CATCHING_UP = "catching up"  # what it knows may be outdated: nothing is sent
    PARTIAL = "serving in part"  # it sends by what it has; a source has failed
    FULL = "full"


class StallDetector:
    """Tells a paused process from an idle one, by the turns of its event loop.

    A clock alone can't tell them apart, as time goes by for both.
    """

    def __init__(self, now_us: int) -> None:
        self.turn_began_us = now_us
        self.wait_deadline_us = now_us  # when the present wait should have ended at the latest

    def before_wait(self, now_us: int, timeout_us: int) -> int:
        """Note that the loop begins to wait; returns for how long the turn before was paused, or 0."""
        paused_us = now_us - self.turn_began_us
        self.wait_deadline_us = now_us + timeout_us
        return paused_us if paused_us > PAUSE_THRESHOLD_US else 0

    def after_wait(self, now_us: int) -> int:
        """Note that the wait has ended; returns for how long the process was paused in it, or 0."""
        paused_us = now_us - self.wait_deadline_us
        self.turn_began_us = now_us
        return paused_us if paused_us > PAUSE_THRESHOLD_US else 0

    def turn_is_stale(self, now_us: int) -> bool:
        """Whether the present turn has lasted so long that what it began with may be outdated."""
        return now_us - self.turn_began_us > PAUSE_THRESHOLD_US


class RecoveryState:
    """The phase of one instance."""

    def __init__(self, now_us: int) -> None:
        self.phase = Phase.STARTING
        self.phase_since_us = now_us
        self.recovering_since_us = now_us
        self.reason = "process start"
        self.pending_sources: set[str] = set()  # to be read before anything is sent
        self.failed_sources: dict[str, str] = {}  # what was wrong when they were last read
        self.last_recovery_us: int | None = None  # how long it took; None: none has ended
        self.pauses = 0
        self.longest_pause_us = 0
        self.catch_up_deadline_us = now_us

    @property
    def may_send(self) -> bool:
        """Whether what is known may be acted on."""
        return self.phase in (Phase.PARTIAL, Phase.FULL)

    def process_paused(
        self, paused_us: int, sources: Iterable[str], now_us: int, starting: bool = False
    ) -> None:
        """Read these sources again after a pause; `starting`: it was a start that took long."""
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
        """Follow these sources from now on: after the start, or after a new configuration."""
        followed = set(sources)
        self.failed_sources = {
            source: problem for source, problem in self.failed_sources.items() if source in followed
        }
        self.pending_sources &= followed
        if self.phase is not Phase.CATCHING_UP:
            self._update_phase(now_us)

    def source_read(self, source: str, problem: str, now_us: int) -> None:
        """Note that a source was read; `problem`: why it gave no list, empty if it did."""
        self.pending_sources.discard(source)
        if problem:
            self.failed_sources[source] = problem
        else:
            self.failed_sources.pop(source, None)
        if self.may_send:
            self._update_phase(now_us)

    def end_catch_up(self, now_us: int) -> None:
        """Serve by what has been read; what has not counts as failed.

        Otherwise one disk that hangs would keep all pools from serving.
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
