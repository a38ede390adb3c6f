"""Failover between pools: a route's pools are tried in order, each once, within common bounds."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from plovertrail.decisions.events import Outcome
from plovertrail.decisions.load_balancing.outcomes import NEVER_RAN
from plovertrail.decisions.load_balancing.retry_budget import RetryBudget


@dataclass(slots=True)
class FailoverState:
    """The progress of one request through its pools."""

    due_us: int
    pools_tried: int = 0  # also those that were passed over
    attempts: int = 0  # over all pools
    in_flight: int = 0  # attempts that have not ended
    may_have_run: bool = False

    def attempt_began(self) -> None:
        """One more attempt is in flight."""
        self.attempts += 1
        self.in_flight += 1

    def attempt_ended(self, outcome: Outcome) -> None:
        """An attempt has ended; after one that may have run no other pool is tried (rule 2)."""
        self.in_flight -= 1
        self.may_have_run |= outcome not in NEVER_RAN


def next_pool(
    failover: FailoverState,
    serving: Sequence[bool],
    max_attempts: int,
    retry_budget: RetryBudget,
    now_us: int,
) -> int | None:
    """The number of the next pool to try, None if the request ends here.

    `serving` says which pools have an endpoint. A request that goes on from pool to pool multiplies the load
    just when endpoints reject it, so attempts and retries are counted over all pools together.
    """
    if failover.may_have_run or failover.in_flight or now_us >= failover.due_us:
        return None
    if failover.attempts and (failover.attempts >= max_attempts or retry_budget.balance < 1.0):
        return None
    return next((number for number in range(failover.pools_tried, len(serving)) if serving[number]), None)


def attempts_left(failover: FailoverState, serving: Sequence[bool], number: int, max_attempts: int) -> int:
    """How many attempts a pool may make: those left of the first pool's, less one for each later pool.

    A pool whose endpoints all reject would otherwise use up the attempts, and a healthy one get none. Each
    pool has one at least.
    """
    left = max_attempts - failover.attempts
    behind = sum(1 for serves in serving[number + 1 :] if serves)
    return left - max(0, min(behind, left - 1))
