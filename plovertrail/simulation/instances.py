"""One instance of the program in the model: its decision modules, and what the host does with actions."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from plovertrail.decisions import connect_rate, fleet_limits, subsetting, warm_state
from plovertrail.decisions.actions import Fail, Reject, Send, SetTimer
from plovertrail.decisions.events import (
    AttemptEnded,
    Endpoint,
    EndpointStatus,
    EndpointsUpdated,
    Event,
    ListKind,
    Outcome,
    RequestArrived,
    TimerFired,
)
from plovertrail.decisions.load_balancing.balancer import LoadBalancer
from plovertrail.decisions.pacing import InstanceRank
from plovertrail.decisions.settings import Settings
from plovertrail.decisions.startup_admission import StartupAdmission
from plovertrail.simulation.clock import Clock
from plovertrail.simulation.servers import Server

REFUSED_DIAL_US = 1_000
Reply = Callable[[bool, int], None]  # whether it was served, and when to come back otherwise


@dataclass(frozen=True, slots=True)
class Around:
    """What all instances of a fleet have in common."""

    clock: Clock
    settings: Settings
    servers: dict[int, Server]
    bounds: fleet_limits.FleetLimits
    network_us: int  # one way
    admits: bool  # admission that rises with what succeeds
    by_list: bool  # turns by the place in the list of instances


@dataclass(slots=True)
class Out:
    """An attempt that has not ended."""

    request: int
    number: int
    server: Server
    sent_us: int
    ended: bool = False


class Instance:
    """Killed and started again; what it keeps is what it remembers of servers."""

    def __init__(
        self, around: Around, fleet: fleet_limits.Fleet, place: InstanceRank, rng: random.Random
    ) -> None:
        self.around = around
        self.fleet = fleet
        self.place = place
        self.rng = rng
        self.life = 0  # of its process; what belongs to an earlier one is void
        self.up = False
        self.memory: dict[int, warm_state.EndpointHistory] = {}
        self.kept_us = 0
        self.idle: dict[int, int] = {}
        self.open: Counter[int] = Counter()
        self.met: set[int] = set()  # servers that it has sent something
        self.owed: dict[int, Reply] = {}
        self.attempts: dict[int, list[Out]] = {}

    # Its life

    def start(self, with_state: bool) -> None:
        """Start a process with a new decision module; with state, it recalls what was stored of servers."""
        around, now_us = self.around, self.around.clock.now_us
        self.life += 1
        self.up = True
        self.idle, self.open, self.met = {}, Counter(), set()
        self.owed, self.attempts = {}, {}
        self.balancer = LoadBalancer(around.settings, self.rng.getrandbits(32), now_us)
        self.subset = subsetting.EndpointSubset(
            self.fleet.number, around.bounds.subset_size or len(around.servers)
        )
        self.budget = fleet_limits.instance_limits(self.fleet, around.bounds, len(around.servers))
        turn = self.place.delay_fraction(self.rng.random()) if around.by_list else self.rng.random()
        self.dials = (
            connect_rate.ConnectRateLimiter(self.budget.connect_interval_us, now_us, turn)
            if self.budget.connect_interval_us
            else None
        )
        self.admission = StartupAdmission(self.fleet.size, now_us, self.rng.random) if around.admits else None
        if with_state:
            age_us = now_us - self.kept_us
            self.balancer.set_endpoint_restorer(
                lambda server: (
                    server.listed.id in self.memory
                    and warm_state.restore_endpoint(
                        self.balancer, server, self.memory[server.listed.id], age_us
                    )
                )
            )
        entries = [Endpoint(one.number, started_us=one.started_us) for one in around.servers.values()]
        self.listed(ListKind.CACHED, entries)

    def kill(self) -> None:
        """Nobody gets an answer of it any more."""
        self.keep()
        self.up = False
        self.life += 1
        for number, count in self.open.items():
            for _ in range(count):
                self.around.servers[number].closed()
        owed, self.owed = list(self.owed.values()), {}
        for reply in owed:
            reply(False, 0)

    def keep(self) -> None:
        """What a state file would hold now."""
        called = [(number, ("", str(number))) for number in self.balancer.endpoints]
        found = warm_state.collect_histories(self.balancer, called)
        self.memory = {int(name): history_of for (_, name), history_of in found.items()}
        self.kept_us = self.around.clock.now_us

    # Lists

    def listed(self, kind: ListKind, entries: list[Endpoint]) -> None:
        """Tell the decision module a list of servers, cut down to those that this instance uses."""
        where = {entry.id: ("10.0.0.1", entry.id) for entry in entries}
        mine = self.subset.update(entries, where)
        if mine:
            self.tell(EndpointsUpdated(kind, mine, partial=True))

    def changed(self, entry: Endpoint) -> None:
        """One server has come, or gone and its connections with it."""
        self.listed(ListKind.DELTA, [entry])
        if entry.state is not EndpointStatus.READY:
            self.met.discard(entry.id)
            for _ in range(self.idle.pop(entry.id, 0)):
                self.close(entry.id)

    # Requests

    def ask(self, ident: int, due_us: int, reply: Reply) -> None:
        """A request has come."""
        now_us = self.around.clock.now_us
        if self.admission is not None:
            self.admission.endpoints_changed(len(self.balancer.endpoints))
            if not self.admission.admits(len(self.owed), now_us):
                reply(False, self.admission.retry_after_us())
                return
        self.owed[ident] = reply
        self.tell(RequestArrived(ident, due_us, excluded=self))

    def __contains__(self, server: object) -> bool:
        """The servers that it can't reach now (`barred`)."""
        assert isinstance(server, int)
        if self.idle.get(server):
            return False
        budget = self.budget
        if budget.connections and self.open.total() >= budget.connections and not self.idle:
            return True
        if budget.connections_per_endpoint and self.open[server] >= budget.connections_per_endpoint:
            return True
        return self.dials is not None and not self.dials.allows(self.around.clock.now_us)

    def tell(self, event: Event) -> None:
        """Give the decision module an event and carry out the actions that it returns."""
        now_us = self.around.clock.now_us
        for action in self.balancer.handle(now_us, event):
            if isinstance(action, Send):
                self.send(action)
            elif isinstance(action, SetTimer):
                self.around.clock.at(action.at_us, self.fired, self.life, action.token)
            elif isinstance(action, Reject | Fail):
                after_us = action.retry_after_us if isinstance(action, Reject) else 0
                if after_us and self.dials is not None:
                    longest_us = self.around.settings.max_retry_after_us
                    after_us = max(after_us, self.dials.reserve_retry_us(now_us, longest_us) - now_us)
                self.answered(action.request, False, after_us)
                wider = self.subset.widen(now_us)
                if wider:
                    self.tell(EndpointsUpdated(ListKind.DELTA, wider, partial=True))

    def fired(self, life: int, token: int) -> None:
        """A timer of the decision module is due; it is void if the process of that `life` has ended."""
        if life == self.life:
            self.tell(TimerFired(token))

    def answered(self, ident: int, served: bool, after_us: int = 0) -> None:
        """Answer a client, once: served, or refused with the time in us after which it may try again."""
        reply = self.owed.pop(ident, None)
        if reply is not None:
            reply(served, after_us)

    # Attempts

    def send(self, action: Send) -> None:
        """Send an attempt to its server, over an idle connection or a new one.

        It fails as NOT_SENT where no connection may be opened, and as CONNECT_FAILED where the server takes
        none.
        """
        clock, server = self.around.clock, self.around.servers[action.endpoint_id]
        tried = self.attempts.setdefault(action.request, [])
        out = Out(action.request, len(tried), server, clock.now_us)
        tried.append(out)
        if action.endpoint_id in self:  # one more than there is room for was sent in one go
            clock.after(0, self.ended, self.life, out, Outcome.NOT_SENT)
            return
        way_us = self.around.network_us
        if self.idle.get(action.endpoint_id):
            self.idle[action.endpoint_id] -= 1
            if not self.idle[action.endpoint_id]:
                del self.idle[action.endpoint_id]
        else:
            self.make_room()
            if self.dials is not None:
                self.dials.consume(clock.now_us)
            if not server.dialled():
                clock.after(REFUSED_DIAL_US, self.ended, self.life, out, Outcome.CONNECT_FAILED)
                return
            self.open[action.endpoint_id] += 1
            way_us *= 3
        if action.timeout_us:
            clock.after(action.timeout_us, self.ended, self.life, out, Outcome.TIMEOUT)
        clock.after(way_us, self.came, self.life, out)

    def came(self, life: int, out: Out) -> None:
        """The request is at its server."""
        if life == self.life and out.server.number not in self.met:
            self.met.add(out.server.number)
            out.server.first_contacts[out.server.second] += 1
        took_us = out.server.answers_us()
        outcome = Outcome.OK
        if took_us is None:
            took_us, outcome = 0, Outcome.REJECTED
        self.around.clock.after(took_us + self.around.network_us, self.ended, life, out, outcome)

    def ended(self, life: int, out: Out, outcome: Outcome) -> None:
        """Free an attempt's connection and tell the decision module its outcome; later ends are ignored."""
        if out.ended or life != self.life:
            return
        out.ended = True
        number, now_us = out.server.number, self.around.clock.now_us
        if outcome in (Outcome.OK, Outcome.REJECTED):
            if self.budget.keep_idle:
                self.idle[number] = self.idle.get(number, 0) + 1
            else:
                self.close(number)
        elif outcome is Outcome.TIMEOUT:
            self.close(number)
        served, elapsed_us = outcome is Outcome.OK, now_us - out.sent_us
        if self.admission is not None:
            self.admission.attempt_ended(
                outcome, elapsed_us, self.around.settings.classes[0].latency_objective_us, now_us
            )
        if served:
            self.answered(out.request, True)
        final = out.request not in self.owed
        self.tell(AttemptEnded(out.request, out.number, number, outcome, elapsed_us, final))
        if out.request not in self.owed and all(each.ended for each in self.attempts.get(out.request, [])):
            self.attempts.pop(out.request, None)

    def make_room(self) -> None:
        """Close an idle connection if the budget of connections is used up."""
        if self.budget.connections and self.open.total() >= self.budget.connections and self.idle:
            number = next(iter(self.idle))
            self.idle[number] -= 1
            if not self.idle[number]:
                del self.idle[number]
            self.close(number)

    def close(self, number: int) -> None:
        """Close one connection to a server, by the server's number."""
        self.open[number] -= 1
        self.around.servers[number].closed()
