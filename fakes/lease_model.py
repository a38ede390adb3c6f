"""A model of leased budgets: many instances on a virtual clock.

It runs the real holders, acceptors and planners over a network that loses messages and splits, with clocks of
different speeds and demand that shifts. Permits in use are counted as the endpoints would see the requests.
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
    """The size, rules, load and message loss of a model; no request outlasts the longest use of a permit."""

    instances: int = 24
    rules: LeaseRules = field(
        default_factory=lambda: LeaseRules(total=96, slots=48, lease_us=6 * SECOND_US, max_use_us=SECOND_US)
    )
    requests_per_s: float = 600.0  # of all instances together
    mean_request_us: int = 100_000
    loss: float = 0.0
    # Otherwise 90 % of the requests go to a few instances, which are drawn anew each `demand_shift_s`.
    even_demand: bool = True
    demand_shift_s: float = 1.0
    hot_instances: int = 3


class Member:
    """One instance, with its incarnations, its clock, and its planner and acceptor."""

    def __init__(self, model: Model, number: int) -> None:
        self.model = model
        self.number = number
        self.name = f"i{number}"
        # within the drift that the rules allow
        self.speed = 1.0 + model.plan.rules.drift * (2.0 * model.rng.random() - 1.0) * 0.99
        self.incarnation = 0
        self.up = self.running = True
        self.queued: list[Callable[[], None]] = []  # calls that arrived while the process was paused
        self.sent = 0
        self.start()

    def now(self) -> int:
        """Return the time on the member's own clock, in microseconds."""
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
        """Run the planner when it is due, and set the next timer."""
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
        """Handle a message; a paused process gets it when it resumes, a killed one never."""
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
        """Continue after a pause, with the messages that have arrived meanwhile."""
        self.running = True
        queued, self.queued = self.queued, []
        for each in queued:
            each()


class Model:
    """One simulated cluster. `peak_in_use` is the largest number of permits in use at once."""

    def __init__(self, plan: Plan, seed: int = 1) -> None:
        self.plan = plan
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.acceptors = tuple(f"i{number}" for number in range(min(ACCEPTORS, plan.instances)))
        self.all_names = [f"i{number}" for number in range(plan.instances)]
        self.members = [Member(self, number) for number in range(plan.instances)]
        self.by_name = {member.name: member for member in self.members}
        self.partitions: dict[int, int] = {}  # by member, its part of a split network
        self.in_use = self.peak_in_use = 0
        self.requests = self.admitted = 0
        # The same requests, admitted with one central count, and with the budget divided evenly and fixed.
        self.ideal = self.ideal_in_use = self.fixed = 0
        self.fixed_in_use = [0] * plan.instances
        self.hot_members: list[int] = []

    def names(self) -> list[str]:
        """Return the names of all members, in their order."""
        return self.all_names

    def deliver(
        self, sender: Member, receiver: Member, message: Message, incarnation: InstanceIncarnation
    ) -> None:
        """Deliver a message after a delay, unless it is lost or the network is split between the two."""
        apart = self.partitions.get(sender.number, 0) != self.partitions.get(receiver.number, 0)
        if apart or (sender is not receiver and self.rng.random() < self.plan.loss):
            return
        self.clock.after(self.rng.randint(*DELAY_US), receiver.receive, message, incarnation, sender)

    # Demand

    def run(self, seconds: float) -> None:
        """Run under load for this long."""
        end_us = self.clock.now_us + int(seconds * SECOND_US)
        self.clock.after(0, self._shift_demand, end_us)
        self.clock.after(0, self._next_request, end_us)
        self.clock.run(end_us)

    def reset_counts(self) -> None:
        """Set the counts of requests back to 0."""
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
            return  # no process to ask, so the references do not count the request either
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
        """Pause these members' processes, as SIGSTOP does."""
        for number in numbers:
            self.members[number].running = False

    def resume(self, numbers: Iterable[int]) -> None:
        """Continue these members' processes."""
        for number in numbers:
            self.members[number].resume()

    def split(self, parts: Iterable[Iterable[int]]) -> None:
        """Split the network: members of different parts get no messages from one another."""
        self.partitions = {number: part for part, numbers in enumerate(parts) for number in numbers}

    def heal(self) -> None:
        """Join all parts of the network again."""
        self.partitions = {}
