"""Model checker for leases, run with `python -m fakes.lease_checker`.

It explores all histories of three instances and a few permits, breadth first. The instances run the real
`Acceptor` and `LeaseHolder`, each on a clock of its own speed. A step is a claim, the arrival of a late or
repeated message, a permit that is spent, lent or returned, a restart, or passing time; a lost message is one
that never arrives. In every state the permits in use and those that the instances could spend at that moment
must together not exceed the budget. A state that was reached before is not explored again, and the first
history that violates the budget is a shortest one.

Two of the three instances hold permits; all three are acceptors. A claim reaches two of them at once and, if
it is repeated, again later; with more receivers there would only be more grants.
"""

from __future__ import annotations

import argparse
import itertools
import pickle
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from plovertrail.decisions.leases import (
    Acceptor,
    InstanceIncarnation,
    LeaseAnswer,
    LeaseClaim,
    LeaseHolder,
    LeaseRelease,
    LeaseRules,
    LoanAnswer,
    LoanRequest,
    LoanReturn,
    Message,
    Ticket,
)

NAMES = ("a", "b", "c")
CLOCK_SPEEDS = (0.9, 1.1, 1.0)  # relative to the true time
RULES = LeaseRules(total=1, slots=1, lease_us=1_000, max_use_us=100, drift=0.1, slack_us=1)
TIME_STEP = 560  # of the true time; two steps outlast a lease
MAX_STATES = 400_000
HOLDERS = (0, 1)
CLAIM_TARGETS = ((0, 1), (1, 2), (0, 2))  # the acceptors that receive a claim at once


@dataclass
class MessageBatch:
    """Messages in flight that arrive together, between one instance and some others, in either direction."""

    kind: str
    instance: int
    others: tuple[int, ...]
    messages: tuple[Message, ...]
    incarnation: int  # of the one instance, when the messages were sent


@dataclass
class World:
    """One state of the search: the instances, and the messages in flight."""

    rules: LeaseRules
    now: int = 10_000
    acceptors: list[Acceptor] = field(default_factory=list)
    holders: list[LeaseHolder] = field(default_factory=list)
    incarnations: list[int] = field(default_factory=list)
    in_flight: list[MessageBatch] = field(default_factory=list)
    uses: list[tuple[int, int]] = field(default_factory=list)  # permits in use: begin and end, in true time
    tickets: list[tuple[int, Ticket, tuple[int, int]]] = field(default_factory=list)
    claims = repeats = restarts = loan_requests = spends = 0

    def clock(self, instance: int) -> int:
        """Return the time on the clock of an instance."""
        return int(self.now * CLOCK_SPEEDS[instance])

    def committed(self) -> int:
        """Return the permits in use together with those that all instances could spend now."""
        return sum(start <= self.now < end for start, end in self.uses) + sum(
            holder.available(self.clock(instance)) for instance, holder in enumerate(self.holders)
        )


@dataclass(frozen=True)
class Limits:
    """How often each kind of step may occur in a history."""

    claims: int = 3
    repeats: int = 0
    restarts: int = 0
    loan_requests: int = 0
    spends: int = 0
    releases: bool = False


LIMITS = {
    "claims and restarts": Limits(restarts=1, spends=1),
    "claims that come late, releases": Limits(repeats=1, releases=True),
    "loans": Limits(claims=2, repeats=1, loan_requests=1, spends=1),
    "loans over a restart": Limits(claims=2, restarts=1, loan_requests=1, spends=1),
}


@dataclass(frozen=True)
class SearchResult:
    """The result of a search; `history` is empty if the budget held."""

    states: int
    depth: int
    seconds: float
    history: tuple[str, ...]


class Checker:
    """Searches the histories within some limits; tests pass a `holder` or `acceptor` with a planted fault."""

    def __init__(
        self,
        limits: Limits,
        rules: LeaseRules = RULES,
        holder: type[LeaseHolder] = LeaseHolder,
        acceptor: type[Acceptor] = Acceptor,
    ) -> None:
        self.limits = limits
        self.rules = rules
        self.holder = holder
        self.acceptor = acceptor

    def new_holder(self, instance: int, incarnation: int) -> LeaseHolder:
        """Return a holder for a new process of an instance."""
        return self.holder(self.rules, InstanceIncarnation(NAMES[instance], incarnation), [NAMES])

    def initial_world(self) -> World:
        """Return the state from which the search begins."""
        world = World(self.rules)
        for instance in range(len(NAMES)):
            # The acceptors have run for long enough to grant from the beginning.
            world.acceptors.append(
                self.acceptor(self.rules, world.clock(instance) - 10 * self.rules.lease_us)
            )
            world.holders.append(self.new_holder(instance, 1))
            world.incarnations.append(1)
        return world

    # Steps

    def steps(self, world: World) -> Iterator[tuple[str, Callable[[World], None]]]:
        """Yield every possible next step, with its description."""
        limits = self.limits
        for instance in HOLDERS:
            if world.claims < limits.claims:
                for others in CLAIM_TARGETS:
                    yield (
                        f"{NAMES[instance]} claims, received by {names_of(others)}",
                        _claim_step(instance, others, False),
                    )
                    if world.repeats < limits.repeats:
                        description = f"{NAMES[instance]} claims, received by {names_of(others)}, again later"
                        yield description, _claim_step(instance, others, True)
            if world.spends < limits.spends and world.holders[instance].available(world.clock(instance)):
                yield f"{NAMES[instance]} spends a permit", _spend_step(instance)
            if world.restarts < limits.restarts and world.claims:
                yield f"{NAMES[instance]} restarts", self._restart_step(instance)
            if limits.releases and 0 in world.holders[instance].slots:
                yield f"{NAMES[instance]} releases the slot, received by all", _release_step(instance)
            if world.loan_requests < limits.loan_requests:
                for other in HOLDERS:
                    if other != instance and world.holders[other].slots:
                        yield (
                            f"{NAMES[instance]} requests a loan from {NAMES[other]}",
                            _request_step(instance, other),
                        )
            for number in world.holders[instance].loans:
                yield f"{NAMES[instance]} returns loan {number}", _return_step(instance, number)
        for index, batch in enumerate(world.in_flight):
            description = f"{batch.kind} between {NAMES[batch.instance]} and {names_of(batch.others)} arrive"
            yield description, _arrival_step(index, False)
            if world.repeats < limits.repeats:
                yield description + ", and stay in flight", _arrival_step(index, True)
        if world.restarts < limits.restarts and world.claims:
            yield f"{NAMES[2]} restarts", self._restart_step(2)
        for index, (instance, *_) in enumerate(world.tickets):
            yield f"{NAMES[instance]} learns that a use has ended", _finish_step(index)
        yield f"{TIME_STEP} time units pass", _time_step

    def _restart_step(self, instance: int) -> Callable[[World], None]:
        def step(world: World) -> None:
            world.restarts += 1
            world.incarnations[instance] += 1
            world.acceptors[instance] = self.acceptor(self.rules, world.clock(instance))
            world.holders[instance] = self.new_holder(instance, world.incarnations[instance])
            world.tickets = [each for each in world.tickets if each[0] != instance]

        return step

    # Search

    def explore(self, depth: int, max_states: int = MAX_STATES) -> SearchResult:
        """Explore all histories of up to `depth` steps, until `max_states` states are known."""
        started_s = time.monotonic()
        first = pickle.dumps(self.initial_world())
        seen = {first}
        frontier: list[tuple[bytes, tuple[str, ...]]] = [(first, ())]
        for level in range(1, depth + 1):
            next_frontier: list[tuple[bytes, tuple[str, ...]]] = []
            for pickled, history in frontier:
                for description, step in self.steps(pickle.loads(pickled)):
                    world: World = pickle.loads(pickled)
                    step(world)
                    path = (*history, description)
                    if world.committed() > self.rules.total:
                        return SearchResult(len(seen), level, time.monotonic() - started_s, path)
                    after = pickle.dumps(world)
                    if after not in seen:
                        if len(seen) >= max_states:
                            return SearchResult(len(seen), level, time.monotonic() - started_s, ())
                        seen.add(after)
                        next_frontier.append((after, path))
            frontier = next_frontier
        return SearchResult(len(seen), depth, time.monotonic() - started_s, ())


def names_of(instances: tuple[int, ...]) -> str:
    """Return the names of some instances as text."""
    return ", ".join(NAMES[instance] for instance in instances)


def _claim_step(instance: int, others: tuple[int, ...], repeat: bool) -> Callable[[World], None]:
    def step(world: World) -> None:
        world.claims += 1
        claim = world.holders[instance].claim(0, world.clock(instance))
        world.in_flight.append(
            MessageBatch("claims", instance, others, (claim,), world.incarnations[instance])
        )
        _arrival_step(len(world.in_flight) - 1, repeat)(world)

    return step


def _spend_step(instance: int) -> Callable[[World], None]:
    def step(world: World) -> None:
        ticket = world.holders[instance].spend(world.clock(instance))
        assert ticket is not None
        world.spends += 1
        use = world.now, world.now + world.rules.max_use_us
        world.uses.append(use)
        world.tickets.append((instance, ticket, use))

    return step


def _finish_step(index: int) -> Callable[[World], None]:
    def step(world: World) -> None:
        instance, ticket, use = world.tickets.pop(index)
        world.holders[instance].finish(ticket)
        world.uses.remove(use)

    return step


def _release_step(instance: int) -> Callable[[World], None]:
    def step(world: World) -> None:
        release = world.holders[instance].release(0, world.clock(instance))
        if release is not None:
            world.in_flight.append(
                MessageBatch("releases", instance, (0, 1, 2), (release,), world.incarnations[instance])
            )

    return step


def _request_step(instance: int, other: int) -> Callable[[World], None]:
    def step(world: World) -> None:
        world.loan_requests += 1
        loan_request = world.holders[instance].request_loan(NAMES[other], 1, world.clock(instance))
        world.in_flight.append(
            MessageBatch("loan requests", instance, (other,), (loan_request,), world.incarnations[instance])
        )

    return step


def _return_step(instance: int, number: int) -> Callable[[World], None]:
    def step(world: World) -> None:
        returned = world.holders[instance].return_loan(number, world.clock(instance))
        if returned is not None:
            lender = NAMES.index(returned[0])
            world.in_flight.append(
                MessageBatch(
                    "loan returns", instance, (lender,), (returned[1],), world.incarnations[instance]
                )
            )

    return step


def _time_step(world: World) -> None:
    world.now += TIME_STEP
    world.uses = [each for each in world.uses if each[1] > world.now]
    world.tickets = [each for each in world.tickets if each[2][1] > world.now]


def _arrival_step(index: int, repeat: bool) -> Callable[[World], None]:
    def step(world: World) -> None:
        batch = world.in_flight[index]
        if repeat:
            world.repeats += 1
        else:
            del world.in_flight[index]
        sender = InstanceIncarnation(NAMES[batch.instance], batch.incarnation)
        alive = world.incarnations[batch.instance] == batch.incarnation
        replies: list[Message] = []
        for other, message in zip(batch.others, itertools.cycle(batch.messages), strict=False):
            now = world.clock(other)
            if isinstance(message, LeaseClaim):
                replies.append(world.acceptors[other].handle_claim(message, sender, now))
            elif isinstance(message, LeaseRelease):
                world.acceptors[other].handle_release(message, sender)
            elif isinstance(message, LoanRequest):
                loan_answer = world.holders[other].handle_loan_request(message, sender, message.count, now)
                replies += [loan_answer] if loan_answer is not None else []
            elif isinstance(message, LoanReturn):
                world.holders[other].handle_loan_return(message, sender)
            elif isinstance(message, LeaseAnswer) and alive:
                world.holders[batch.instance].handle_lease_answer(
                    message, NAMES[other], world.clock(batch.instance)
                )
            elif isinstance(message, LoanAnswer) and alive:
                world.holders[batch.instance].handle_loan_answer(
                    message, NAMES[other], world.clock(batch.instance)
                )
        if replies:
            kind = "grants" if isinstance(replies[0], LeaseAnswer) else "loans"
            world.in_flight.append(
                MessageBatch(kind, batch.instance, batch.others, tuple(replies), batch.incarnation)
            )

    return step


def main() -> int:
    """Search all limits for an overspent budget; returns the exit code."""
    parser = argparse.ArgumentParser(prog="python -m fakes.lease_checker")
    parser.add_argument("--depth", type=int, default=8)
    parser.add_argument("--states", type=int, default=MAX_STATES)
    arguments = parser.parse_args()
    broken = 0
    for name, limits in LIMITS.items():
        found = Checker(limits).explore(arguments.depth, arguments.states)
        print(f"{name}: {found.states:,} states, depth {found.depth}, {found.seconds:.1f} s", flush=True)
        for line in found.history:
            print("  " + line)
        broken += bool(found.history)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
