"""The rate limiters in force, which keep their counts across reloads."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping

from plovertrail.config.setup import Setup
from plovertrail.decisions.rate_limits import RateLimiter
from plovertrail.decisions.shared_counters import SharedCounters
from plovertrail.store.warm_state import WarmStateManager


class LimiterTable:
    """The rate limiters in force by name."""

    def __init__(self, new_seed: Callable[[], int]) -> None:
        self.new_seed = new_seed
        self.active: dict[str, RateLimiter] = {}

    def in_force(self) -> Mapping[str, RateLimiter]:
        """The rate limiters by name, as of now."""
        return self.active

    def apply(self, setup: Setup, counts: SharedCounters | None, warm_state: WarmStateManager) -> None:
        """Apply a configuration; `counts` are the fleet's counters, for limiters that are fleet-wide.

        A limiter keeps its counts under the same name: with a new one, each reload would grant every key its
        burst again.
        """
        previous = self.active
        self.active = {}
        for name, settings in setup.limiters.items():
            limiter = previous.get(name)
            if limiter is None:
                limiter = RateLimiter(settings, random.Random(self.new_seed()).random)
                warm_state.restore_limiter(name, limiter)
            limiter.configure(settings)
            limiter.counts = counts if settings.fleet_wide else None
            self.active[name] = limiter
