"""Failover between pools: a route's pools are tried in order, each once, with common limits."""

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
    pools_tried: int = 0  # including pools that were skipped
    attempts: int = 0  # over all pools
    in_flight: int = 0  # attempts that have not ended
    may_have_run: bool = False

    def attempt_began(self) -> None:
        """Count an attempt that is now in flight."""
        self.attempts += 1
        self.in_flight += 1

    def attempt_ended(self, outcome: Outcome) -> None:
        """Count an attempt's end; after one that may have run, no other pool is tried (rule 2)."""
        self.in_flight -= 1
        self.may_have_run |= outcome not in NEVER_RAN


def next_pool(
    failover: FailoverState,
    serving: Sequence[bool],
    max_attempts: int,
    retry_budget: RetryBudget,
    now_us: int,
) -> int | None:
    """Return the number of the next pool to try; None if there is none.

    `serving` tells which pools have an endpoint. Failover multiplies the load just when endpoints reject
    requests, so attempts and retries are counted over all pools together.
    """
    if failover.may_have_run or failover.in_flight or now_us >= failover.due_us:
        return None
    if failover.attempts and (failover.attempts >= max_attempts or retry_budget.balance < 1.0):
        return None
    return next((number for number in range(failover.pools_tried, len(serving)) if serving[number]), None)


def attempts_left(failover: FailoverState, serving: Sequence[bool], number: int, max_attempts: int) -> int:
    """Return how many attempts a pool may make: the remaining ones, less one for each later serving pool.

    Otherwise a pool whose endpoints all reject would use up the attempts and a healthy pool would get none.
    Each pool has at least one attempt. `max_attempts` is the first pool's.
    """
    left = max_attempts - failover.attempts
    later_pools = sum(1 for serves in serving[number + 1 :] if serves)
    return left - max(0, min(later_pools, left - 1))
