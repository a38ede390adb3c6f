"""A chain of services on a virtual clock, each sidecar with a real load balancer; the last service fails."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from benchmarks.capacity.retry_bound import Chain, Effect, Failure, Propagation
from plovertrail.decisions.actions import Fail, Reject, Send, SetTimer
from plovertrail.decisions.events import (
    AttemptEnded,
    Endpoint,
    EndpointsUpdated,
    Event,
    ListKind,
    Outcome,
    RequestArrived,
    RequestCancelled,
    TimerFired,
)
from plovertrail.decisions.load_balancing.balancer import LoadBalancer
from plovertrail.decisions.load_balancing.timers import NEVER_US
from plovertrail.decisions.settings import RequestClass, Settings
from plovertrail.simulation.clock import SECOND_US, Clock

ANSWER_MARGIN_US = 10_000  # as in plovertrail/dispatch/dispatcher.py
MILLISECOND_US = 1_000
Reply = Callable[[Outcome], None]


@dataclass(frozen=True, slots=True)
class Plan:
    """One play."""

    depth: int
    effect: Effect
    failure: Failure
    propagation: Propagation
    calls: int
    calls_per_s: float
    servers: int = 9
    calm_s: float = 0.0  # for so long at the beginning the last service answers
    failing_share: float = 1.0  # of its attempts, from then on
    attempts: int = 3
    aim_us: int = 1_000_000
    deadline_us: int = 4_000_000
    memory_us: int = 10_000_000
    work_us: int = 4_000  # of each service, before it calls the next
    network_us: int = 250  # one way
    margin_us: int = ANSWER_MARGIN_US  # an answer sets out so long before its caller's time is out

    @property
    def chain(self) -> Chain:
        """What the bounds go by."""
        return Chain(self.depth, self.servers, self.deadline_us, self.least_attempt_us, self.attempts)

    @property
    def least_attempt_us(self) -> int:
        """No attempt ends sooner than its refusal can be back."""
        return 2 * self.network_us

    def settings(self) -> Settings:
        """Of every sidecar."""
        kind = RequestClass(
            "call",
            latency_objective_us=self.aim_us,
            deadline_us=self.deadline_us,
            late_weight=0.5,
            effect=self.effect.value,
            dedup_window_us=self.memory_us,
        )
        return Settings([kind], max_attempts=self.attempts, max_retry_after_us=2_000_000)


@dataclass(slots=True)
class Call:
    """A call of one sidecar that has had no answer yet."""

    root: int  # the call at the top that it belongs to
    due_us: int
    reply: Reply
    attempts: list[bool] = field(default_factory=list)  # by number, whether each has ended


class Sidecar:
    """What the host does with the decisions of one sidecar, towards the service at `depth`."""

    def __init__(self, model: Model, depth: int, seed: int) -> None:
        self.model = model
        self.depth = depth
        self.balancer = LoadBalancer(model.plan.settings(), seed, model.clock.now_us)
        self.calls: dict[int, Call] = {}
        self.last = 0
        entries = [Endpoint(number) for number in range(model.plan.servers)]
        self.tell(EndpointsUpdated(ListKind.FULL, entries))

    def ask(self, root: int, told_us: int, reply: Reply) -> None:
        """A call of the service, which told how long it waits."""
        now_us = self.model.clock.now_us
        self.last += 1
        wait_us = min(told_us, self.model.plan.deadline_us)
        due_us = now_us + max(1, wait_us - self.model.plan.margin_us)
        self.calls[self.last] = Call(root, due_us, reply)
        self.model.clock.at(due_us, self.overdue, self.last)
        self.tell(RequestArrived(self.last, due_us))

    def overdue(self, ident: int) -> None:
        """The call's time is over."""
        call = self.calls.get(ident)
        if call is not None:
            self.answer(ident, Outcome.ERROR if call.attempts else Outcome.REJECTED)
            self.tell(RequestCancelled(ident))

    def tell(self, event: Event) -> None:
        """Hand an event to the LoadBalancer, and carry out the actions that it returns."""
        clock = self.model.clock
        for action in self.balancer.handle(clock.now_us, event):
            if isinstance(action, Send):
                self.send(action)
            elif isinstance(action, Reject):
                self.answer(action.request, Outcome.REJECTED)
            elif isinstance(action, Fail):
                self.answer(action.request, Outcome.ERROR)
            elif isinstance(action, SetTimer):
                clock.at(action.at_us, self.tell, TimerFired(action.token))

    def answer(self, ident: int, outcome: Outcome) -> None:
        """End a call, unless it has ended: the caller hears how."""
        call = self.calls.pop(ident, None)
        if call is not None:
            call.reply(outcome)

    def send(self, action: Send) -> None:
        """Make an attempt at the server that was chosen."""
        call = self.calls.get(action.request)
        if call is None:
            return
        model, number = self.model, len(call.attempts)
        began_us = model.clock.now_us
        left_us = call.due_us - began_us
        timeout_us = min(action.timeout_us or left_us, left_us)
        model.first_sends[self.depth] += not call.attempts
        call.attempts.append(False)
        model.attempts[self.depth][call.root] += 1

        def ended(outcome: Outcome) -> None:
            if call.attempts[number]:
                return
            call.attempts[number] = True
            elapsed_us = model.clock.now_us - began_us
            if outcome is Outcome.OK:
                self.answer(action.request, outcome)
            over = action.request not in self.calls
            self.tell(
                AttemptEnded(action.request, number, action.endpoint_id, outcome, elapsed_us, over),
            )

        model.clock.after(timeout_us, ended, Outcome.TIMEOUT)
        model.serve(self.depth, action.endpoint_id, call.root, timeout_us, ended)


class Model:
    """The chain: the callers' sidecars, and one beside each server of every service but the last."""

    def __init__(self, plan: Plan, seed: int) -> None:
        self.plan = plan
        self.clock = Clock()
        self.rng = random.Random(seed)
        self.chance = random.Random(seed + 1).random
        self.fails_from_us = self.clock.now_us + int(plan.calm_s * 1e6) if plan.calls else NEVER_US
        self.attempts: list[Counter[int]] = [Counter() for _ in range(plan.depth + 1)]  # by depth and root
        self.first_sends: Counter[int] = Counter()  # by depth
        self.calm_sent: Counter[int] = Counter()  # calls at the top before that, by second
        self.calm_served: Counter[int] = Counter()  # of these
        self.failing: set[int] = set()  # calls at the top that came once the last service failed
        self.top = [Sidecar(self, 1, self.rng.getrandbits(32)) for _ in range(plan.servers)]
        self.sidecars = {
            (depth, number): Sidecar(self, depth + 1, self.rng.getrandbits(32))
            for depth in range(1, plan.depth)
            for number in range(plan.servers)
        }

    def play(self) -> None:
        """All calls, until the last has ended."""
        plan, at_us = self.plan, float(self.clock.now_us)
        calm = int(plan.calm_s * plan.calls_per_s)
        for root in range(calm + plan.calls):
            at_us += self.rng.expovariate(plan.calls_per_s) * 1e6
            self.clock.at(int(at_us), self.arrive, root)
        self.clock.run(int(at_us) + 2 * plan.deadline_us)

    def arrive(self, root: int) -> None:
        """A call comes to one of the sidecars at the top."""
        sidecar = self.rng.choice(self.top)
        if self.clock.now_us >= self.fails_from_us:
            self.failing.add(root)
            sidecar.ask(root, self.plan.deadline_us, lambda outcome: None)
        else:
            second = self.clock.play_us // SECOND_US
            self.calm_sent[second] += 1
            sidecar.ask(root, self.plan.deadline_us, lambda outcome: self.count_calm(second, outcome))

    def count_calm(self, second: int, outcome: Outcome) -> None:
        """A call from before the failure has ended."""
        self.calm_served[second] += outcome is Outcome.OK

    def serve(self, depth: int, number: int, root: int, timeout_us: int, ended: Reply) -> None:
        """An attempt sets out for a server; `ended` is called when its answer is back."""
        plan, clock = self.plan, self.clock
        if depth == plan.depth and clock.now_us >= self.fails_from_us and self.chance() < plan.failing_share:
            self.fail(ended)
            return
        if depth == plan.depth:
            clock.after(2 * plan.network_us + plan.work_us, ended, Outcome.OK)
            return
        # X-Deadline-Ms in whole milliseconds, as the service reads it and tells it on
        told_us = max(1, timeout_us // MILLISECOND_US) * MILLISECOND_US - plan.work_us

        def answered(outcome: Outcome) -> None:
            if outcome is Outcome.REJECTED and plan.propagation is Propagation.ERROR:
                outcome = Outcome.ERROR
            clock.after(plan.network_us, ended, outcome)

        sidecar = self.sidecars[depth, number]
        clock.after(plan.network_us + plan.work_us, sidecar.ask, root, told_us, answered)

    def fail(self, ended: Reply) -> None:
        """The last service's answer, or none."""
        plan, outcome = self.plan, self.plan.failure.value
        took_us = 2 * plan.network_us
        if self.plan.failure in (Failure.RESET, Failure.ERROR_ANSWER):
            took_us += plan.work_us
        if self.plan.failure is not Failure.TIME_OUT:
            self.clock.after(took_us, ended, outcome)

    # Figures

    def worst(self, depth: int) -> int:
        """The most attempts at a depth of one call at the top."""
        return max((self.attempts[depth][root] for root in self.failing), default=0)

    @property
    def served_in_calm(self) -> float:
        """The share that was served of the calls that came before the failure; 1 if there were none."""
        total = self.calm_sent.total()
        return self.calm_served.total() / total if total else 1.0

    def served_by_second(self) -> list[float]:
        """The same of the calls of each second, from the first one on."""
        return [self.calm_served[second] / sent for second, sent in sorted(self.calm_sent.items())]

    def mean(self, depth: int) -> float:
        """Attempts at a depth of a call at the top, on average."""
        total = sum(self.attempts[depth][root] for root in self.failing)
        return total / len(self.failing) if self.failing else 0.0

    def reissues(self, depth: int) -> int:
        """Attempts at a depth that were not the first of their sidecar's call."""
        return self.attempts[depth].total() - self.first_sends[depth]

    @property
    def load(self) -> float:
        """All attempts, of the calls that there would be if nothing failed."""
        calls = len(self.failing) * self.plan.depth
        depths = range(1, self.plan.depth + 1)
        return sum(self.mean(depth) for depth in depths) * len(self.failing) / calls if calls else 0.0
