"""How many attempts one call may become in a chain of services, worked out from the rules of retries.

Three bounds hold at once, and the least of them counts:

- attempts: a sidecar makes `attempts` of one call where the effect and the failure let it, else one;
- time: a call's attempts follow one another, and each hop has at most what its caller's attempt has left;
- budget: a sidecar's reissues are `MAX_RETRY_BALANCE` in hand and `RETRY_SHARE` for each first send.

The first two hold for each call. The third holds for all calls of a sidecar together, and so for one call
alone. None holds for what a service repeats by itself, and time only where services tell deadlines on.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from plovertrail.decisions.events import Outcome
from plovertrail.decisions.load_balancing.outcomes import NEVER_RAN, RETRYABLE
from plovertrail.decisions.load_balancing.retry_budget import MAX_RETRY_BALANCE, RETRY_SHARE

DEFAULT_ATTEMPTS = 3  # of a route, docs/operator.md


class Effect(Enum):
    """What repeating a request does; the values are those of `RequestClass.effect`."""

    SAFE = "idempotent"
    KEYED = "deduplicated"
    UNSAFE = "at_most_once"


class Failure(Enum):
    """How every attempt at the last service fails."""

    CONNECT_REFUSED = Outcome.CONNECT_FAILED
    NOT_RUN_REFUSAL = Outcome.REJECTED
    TIME_OUT = Outcome.TIMEOUT
    RESET = Outcome.RESET
    ERROR_ANSWER = Outcome.ERROR


class Propagation(Enum):
    """What a service answers when its own call was refused.

    A sidecar's refusal is a 503 without X-Not-Run, so it is for the service to say that nothing has run.
    """

    NOT_RUN = "503 with X-Not-Run: 1"
    ERROR = "5xx"


@dataclass(frozen=True, slots=True)
class Chain:
    """A chain of services, each with its servers and their sidecars."""

    depth: int
    servers: int  # of each service
    deadline_us: int  # of the call at the top
    least_attempt_us: int  # from the start of an attempt to its end, at the least
    attempts: int = DEFAULT_ATTEMPTS


def attempts_of_one_call(effect: Effect, outcome: Outcome, attempts: int) -> int:
    """The most attempts that one sidecar makes of one call whose attempts all end so."""
    if outcome not in RETRYABLE:
        return 1
    if effect is Effect.UNSAFE and outcome not in NEVER_RAN:
        return 1
    return attempts


def outcome_above(effect: Effect, outcome: Outcome, propagation: Propagation) -> Outcome:
    """What the caller's sidecar sees of a call that has failed so."""
    refused = effect is not Effect.UNSAFE or outcome in NEVER_RAN
    return Outcome.REJECTED if refused and propagation is Propagation.NOT_RUN else Outcome.ERROR


def factors(chain: Chain, effect: Effect, failure: Failure, propagation: Propagation) -> list[int]:
    """Attempts of one call at each depth, from the first hop to the last."""
    found = []
    outcome: Outcome = failure.value
    for _ in range(chain.depth):
        found.append(attempts_of_one_call(effect, outcome, chain.attempts))
        outcome = outcome_above(effect, outcome, propagation)
    return found[::-1]


def by_attempts(factors_by_depth: Sequence[int]) -> list[int]:
    """Attempts at each depth of one call at the top, by the routes' `attempts` alone."""
    found, attempts = [], 1
    for factor in factors_by_depth:
        attempts *= factor
        found.append(attempts)
    return found


def by_time(chain: Chain) -> int:
    """Attempts at any depth of one call at the top, by its deadline alone."""
    return 1 + chain.deadline_us // chain.least_attempt_us


def by_budget(chain: Chain, factors_by_depth: Sequence[int]) -> list[int]:
    """Attempts at each depth of one call at the top that has all sidecars to itself."""
    found = []
    calls, sidecars = 1, 1
    for factor in factors_by_depth:
        reissues = min((factor - 1) * calls, int(most_reissues(calls, sidecars)))
        calls += reissues
        sidecars = min(calls, chain.servers)
        found.append(calls)
    return found


def most_reissues(first_sends: int, sidecars: int) -> float:
    """Reissues of all calls together, of so many sidecars, however long they go on."""
    return MAX_RETRY_BALANCE * sidecars + RETRY_SHARE * first_sends


def of_one_call(
    chain: Chain, effect: Effect, failure: Failure, propagation: Propagation, alone: bool
) -> list[int]:
    """The most attempts at each depth that one call at the top becomes. `alone`: no other call uses the
    sidecars' budgets."""
    hops = factors(chain, effect, failure, propagation)
    most = by_time(chain)
    bounds = [min(count, most) for count in by_attempts(hops)]
    if alone:
        bounds = [min(pair) for pair in zip(bounds, by_budget(chain, hops), strict=True)]
    return bounds


def sustained(factors_by_depth: Sequence[int]) -> list[float]:
    """Mean attempts at each depth of a call, of many calls over a long time: what is in hand is used up."""
    found, mean = [], 1.0
    for factor in factors_by_depth:
        mean *= min(float(factor), 1.0 + RETRY_SHARE)
        found.append(mean)
    return found
