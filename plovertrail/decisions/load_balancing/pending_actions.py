"""Collects the actions of an event until it has been handled."""

from __future__ import annotations

from plovertrail.decisions.actions import Action, Log

MIN_LOG_INTERVAL_US = 1_000_000  # at most one line per second, however many endpoints change state


class PendingActions:
    """The actions in the order in which to carry them out, and a rate limit for log lines."""

    __slots__ = ("pending", "_next_log_us")

    def __init__(self, now_us: int) -> None:
        self.pending: list[Action] = []
        self._next_log_us = now_us

    def log(self, text: str, now_us: int) -> bool:
        """Add a log line; return False if the rate limit forbids it, and the caller may try again later."""
        if now_us < self._next_log_us:
            return False
        self._next_log_us = now_us + MIN_LOG_INTERVAL_US
        self.pending.append(Log(text))
        return True

    def take(self) -> list[Action]:
        """Return the collected actions and clear the list."""
        actions = self.pending
        self.pending = []
        return actions
