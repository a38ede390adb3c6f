"""The retry budget, which limits how far retries can multiply the load on a failing fleet."""

from __future__ import annotations

RETRY_SHARE = 0.2  # retries credited per first attempt; enough if a fifth of the fleet fails every attempt
MAX_RETRY_BALANCE = 5.0  # retries that may accumulate while few are made


class RetryBudget:
    """A balance of retries; several load balancers of one process may share it."""

    __slots__ = ("balance",)

    def __init__(self) -> None:
        self.balance = MAX_RETRY_BALANCE

    def allows_retry(self) -> bool:
        """Return whether the balance allows a retry."""
        return self.balance >= 1.0

    def record_first_attempt(self) -> None:
        """Credit `RETRY_SHARE` for a first attempt."""
        self.balance = min(MAX_RETRY_BALANCE, self.balance + RETRY_SHARE)

    def record_retry(self) -> None:
        """Charge one retry; the balance may become negative, since hedges are sent regardless of it."""
        self.balance -= 1.0
