"""The actions of one event, collected until it has been handled."""

from __future__ import annotations

from plovertrail.decisions.actions import Action, Log

MIN_LOG_INTERVAL_US = 1_000_000  # a line a second at most, however many endpoints change


class PendingActions:
    """A list of actions in the order in which they are to be carried out, and a rate limit on log lines."""

    __slots__ = ("pending", "_next_log_us")

    def __init__(self, now_us: int) -> None:
        self.pending: list[Action] = []
        self._next_log_us = now_us

    def log(self, text: str, now_us: int) -> bool:
        """Add a log line; returns False if it is too soon, and the caller tries again if it still holds."""
        if now_us < self._next_log_us:
            return False
        self._next_log_us = now_us + MIN_LOG_INTERVAL_US
        self.pending.append(Log(text))
        return True

    def take(self) -> list[Action]:
        """Return the actions, and begin anew."""
        actions = self.pending
        self.pending = []
        return actions
