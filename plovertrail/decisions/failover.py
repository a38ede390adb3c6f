"""Which pool a request goes to next: its route's pools in order, each asked once, under one set of bounds."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from plovertrail.decisions.events import Outcome
from plovertrail.decisions.load_balancing.outcomes import NEVER_RAN
from plovertrail.decisions.load_balancing.retry_budget import RetryBudget


@dataclass(slots=True)
class FailoverState:
    """How far a request has come: its pools are asked in order, none twice."""

    due_us: int
    pools_tried: int = 0  # pools passed over or asked
    attempts: int = 0  # over all pools
    out: int = 0  # of these have not ended
    may_have_run: bool = False

    def attempt_began(self) -> None:
        """One more attempt is out."""
        self.attempts += 1
        self.out += 1

    def attempt_ended(self, outcome: Outcome) -> None:
        """Rule 2: after one that may have run, no other pool."""
        self.out -= 1
        self.may_have_run |= outcome not in NEVER_RAN


def next_pool(
    failover: FailoverState, serving: Sequence[bool], most_attempts: int, reissues: RetryBudget, now_us: int
) -> int | None:
    """The number of the next pool to ask, None if the request ends here; `serving` tells which have a server.
    Hazard: a request that goes on from pool to pool multiplies the load just when servers turn it away; so
    attempts and reissues are counted over all pools together."""
    if failover.may_have_run or failover.out or now_us >= failover.due_us:
        return None
    if failover.attempts and (failover.attempts >= most_attempts or reissues.balance < 1.0):
        return None
    return next((number for number in range(failover.pools_tried, len(serving)) if serving[number]), None)


def attempts_left(failover: FailoverState, serving: Sequence[bool], number: int, most_attempts: int) -> int:
    """How many attempts a pool may make: what is left of the first pool's figure, but one for each pool
    behind it, as far as there are so many. Hazard: a pool whose servers all refuse would use up the attempts,
    and the one that is well would get none."""
    left = most_attempts - failover.attempts
    behind = sum(1 for serves in serving[number + 1 :] if serves)
    return left - max(0, min(behind, left - 1))
