"""Budgets of a whole fleet on a virtual clock.

Real holders, acceptors and planners, a network that loses and splits, clocks of different speeds, and demand
that moves. What is in use is counted as servers would see it.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from plovertrail.decisions.lease_planner import LeasePlanner, OutgoingMessage
from plovertrail.decisions.leases import (
    Acceptor,
    InstanceIncarnation,
    LeaseClaim,
    LeaseRelease,
    LeaseRules,
    Message,
    Ticket,
)
from plovertrail.simulation.clock import SECOND_US, Clock

ACCEPTORS = 5
DELAY_US = (500, 20_000)
BUDGET = "b"


@dataclass(frozen=True)
class Plan:
    """`mean_request_us`: of a request, on average; it never takes longer than a permit is held."""

    instances: int = 24
    rules: LeaseRules = field(
        default_factory=lambda: LeaseRules(total=96, slots=48, lease_us=6 * SECOND_US, max_use_us=SECOND_US)
    )
    requests_per_s: float = 600.0  # of all instances
    mean_request_us: int = 100_000
    loss: float = 0.0
    even_demand: bool = (
        True  # demand; else a few instances have nearly all of it, others each `demand_shift_s`
    )
    demand_shift_s: float = 1.0
    hot_instances: int = 3


class Member:
    """One instance: its lives, its clock, and its part in the budget."""

    def __init__(self, model: Model, number: int) -> None:
        self.model = model
        self.number = number
        self.name = f"i{number}"
        # within what the rules allow for
        self.speed = 1.0 + model.plan.rules.drift * (2.0 * model.rng.random() - 1.0) * 0.99
        self.incarnation = 0
        self.up = self.running = True
        self.queued: list[Callable[[], None]] = []  # that came while it stood still
        self.sent = 0
        self.start()

    def now(self) -> int:
        """The time on the member's own clock, in microseconds."""
        return int(self.model.clock.now_us * self.speed)

    def start(self) -> None:
        """Start a new process, which remembers nothing."""
        self.incarnation += 1
        self.up = True
        rules, model = self.model.plan.rules, self.model
        self.acceptor = Acceptor(rules, self.now())
        self.planner = LeasePlanner(
            BUDGET,
            rules,
            InstanceIncarnation(self.name, self.incarnation),
            [model.acceptors],
            model.names,
            random.Random(model.rng.random()),
            self.now(),
        )
        model.clock.after(1, self.run_timer, self.incarnation)

    def run_timer(self, incarnation: int) -> None:
        """Its timer."""
        if incarnation != self.incarnation or not self.up:
            return
        if not self.running:
            self.queued.append(lambda: self.run_timer(incarnation))
            return
        self.send(self.planner.tick(self.now()))
        wait_us = max(1_000, self.planner.next_us - self.now())
        self.model.clock.after(int(wait_us / self.speed) + 1, self.run_timer, incarnation)

    def send(self, out: Iterable[OutgoingMessage]) -> None:
        """Send messages over the model's network."""
        incarnation = InstanceIncarnation(self.name, self.incarnation)
        for each in out:
            self.sent += 1
            self.model.deliver(self, self.model.by_name[each.to], each.message, incarnation)

    def receive(self, message: Message, incarnation: InstanceIncarnation, sender: Member) -> None:
        """A message has come; a stopped process finds it when it wakes, one that was killed never does."""
        if not self.up:
            return
        if not self.running:
            self.queued.append(lambda: self.receive(message, incarnation, sender))
            return
        now = self.now()
        if isinstance(message, LeaseClaim):
            self.sent += 1
            answer = self.acceptor.handle_claim(message, incarnation, now)
            self.model.deliver(self, sender, answer, InstanceIncarnation(self.name, self.incarnation))
        elif isinstance(message, LeaseRelease):
            self.acceptor.handle_release(message, incarnation)
        else:
            self.send(self.planner.handle_message(message, incarnation, now))

    def resume(self) -> None:
        """Go on after a stop, with the messages that have come meanwhile."""
        self.running = True
        queued, self.queued = self.queued, []
        for each in queued:
            each()


class Model:
    """One play. `worst` is the most that was in use at one moment."""

    def __init__(self, plan: Plan, seed: int = 1) -> None:
        self.plan = plan
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.acceptors = tuple(f"i{number}" for number in range(min(ACCEPTORS, plan.instances)))
        self.all_names = [f"i{number}" for number in range(plan.instances)]
        self.members = [Member(self, number) for number in range(plan.instances)]
        self.by_name = {member.name: member for member in self.members}
        self.partitions: dict[int, int] = {}  # which part of a split each is in
        self.in_use = self.peak_in_use = 0
        self.requests = self.admitted = 0
        # the same requests under one who knows all, and under fixed parts
        self.ideal = self.ideal_in_use = self.fixed = 0
        self.fixed_in_use = [0] * plan.instances
        self.hot_members: list[int] = []

    def names(self) -> list[str]:
        """The names of all members, in their order."""
        return self.all_names

    def deliver(
        self, sender: Member, receiver: Member, message: Message, incarnation: InstanceIncarnation
    ) -> None:
        """Bring a message to its receiver after a delay; it may be lost, and crosses no split."""
        apart = self.partitions.get(sender.number, 0) != self.partitions.get(receiver.number, 0)
        if apart or (sender is not receiver and self.rng.random() < self.plan.loss):
            return
        self.clock.after(self.rng.randint(*DELAY_US), receiver.receive, message, incarnation, sender)

    # Demand

    def run(self, seconds: float) -> None:
        """So long under load."""
        end_us = self.clock.now_us + int(seconds * SECOND_US)
        self.clock.after(0, self._shift_demand, end_us)
        self.clock.after(0, self._next_request, end_us)
        self.clock.run(end_us)

    def reset_counts(self) -> None:
        """Count from now on."""
        self.requests = self.admitted = self.ideal = self.fixed = 0

    def _shift_demand(self, end_us: int) -> None:
        self.hot_members = self.rng.sample(
            range(self.plan.instances), min(self.plan.hot_instances, self.plan.instances)
        )
        if self.clock.now_us < end_us:
            self.clock.after(int(self.plan.demand_shift_s * SECOND_US), self._shift_demand, end_us)

    def _next_request(self, end_us: int) -> None:
        if self.clock.now_us >= end_us:
            return
        self.clock.after(
            max(1, int(self.rng.expovariate(self.plan.requests_per_s / SECOND_US))),
            self._next_request,
            end_us,
        )
        uneven = not self.plan.even_demand and self.rng.random() < 0.9
        number = self.rng.choice(self.hot_members) if uneven else self.rng.randrange(self.plan.instances)
        member = self.members[number]
        rules = self.plan.rules
        duration_us = min(
            int(self.rng.expovariate(1 / self.plan.mean_request_us)), rules.max_use_us - rules.slack_us
        )
        if not member.up or not member.running:
            return  # whatever one who knows all would do, nobody is there to ask
        self.requests += 1
        if self.ideal_in_use < rules.total:
            self.ideal += 1
            self.ideal_in_use += 1
            self.clock.after(duration_us, self._finish_reference, "ideal", number)
        if self.fixed_in_use[number] < rules.total // self.plan.instances:
            self.fixed += 1
            self.fixed_in_use[number] += 1
            self.clock.after(duration_us, self._finish_reference, "fixed", number)
        ticket = member.planner.spend(member.now())
        if ticket is None:
            return
        self.admitted += 1
        self.in_use += 1
        self.peak_in_use = max(self.peak_in_use, self.in_use)
        self.clock.after(duration_us, self._finish_request, member, member.incarnation, ticket)

    def _finish_reference(self, what: str, number: int) -> None:
        if what == "ideal":
            self.ideal_in_use -= 1
        else:
            self.fixed_in_use[number] -= 1

    def _finish_request(self, member: Member, incarnation: int, ticket: Ticket) -> None:
        self.in_use -= 1
        if member.incarnation == incarnation and member.up:
            member.planner.holder.finish(ticket)

    # Faults

    def kill(self, numbers: Iterable[int]) -> None:
        """Kill the processes of these members."""
        for number in numbers:
            self.members[number].up = False
            self.members[number].incarnation += 1

    def start(self, numbers: Iterable[int]) -> None:
        """Start processes of these members."""
        for number in numbers:
            self.members[number].start()

    def pause(self, numbers: Iterable[int]) -> None:
        """Stop these members' processes, as SIGSTOP does."""
        for number in numbers:
            self.members[number].running = False

    def resume(self, numbers: Iterable[int]) -> None:
        """Let stopped processes go on."""
        for number in numbers:
            self.members[number].resume()

    def split(self, parts: Iterable[Iterable[int]]) -> None:
        """Split the network: members of different parts do not hear one another."""
        self.partitions = {number: part for part, numbers in enumerate(parts) for number in numbers}

    def heal(self) -> None:
        """Join all parts of the network again."""
        self.partitions = {}
