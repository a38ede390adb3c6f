"""The budget of retries, which bounds how far retries can multiply the load of a failing fleet."""

from __future__ import annotations

RETRY_SHARE = 0.2  # retries that a first attempt earns: enough if a fifth of the fleet fails every attempt
MAX_RETRY_BALANCE = 5.0  # retries that may be saved up in quiet times


class RetryBudget:
    """A balance of retries; several load balancers of one process may share it."""

    __slots__ = ("balance",)

    def __init__(self) -> None:
        self.balance = MAX_RETRY_BALANCE

    def allows_retry(self) -> bool:
        """Whether one retry can be paid for."""
        return self.balance >= 1.0

    def record_first_attempt(self) -> None:
        """Credit the share of a retry that a first attempt earns."""
        self.balance = min(MAX_RETRY_BALANCE, self.balance + RETRY_SHARE)

    def record_retry(self) -> None:
        """Charge one retry; the balance may become negative, as hedged requests are sent regardless."""
        self.balance -= 1.0
