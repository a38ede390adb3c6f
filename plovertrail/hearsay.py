"""Brings what instances tell one another of servers together with the pools: attempts out, opinions in."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from functools import lru_cache, partial
from typing import Any

from plovertrail.background import Runner
from plovertrail.clock import clock_us
from plovertrail.decisions.background import Priority, Work
from plovertrail.decisions.balance import Server
from plovertrail.decisions.counts import key_of
from plovertrail.decisions.endpoint_list import State
from plovertrail.decisions.events import Outcome
from plovertrail.decisions.judgements import Judgements, Known, Opinion, Window, hearsay
from plovertrail.dispatch.dispatcher import Host, ServerPool
from plovertrail.endpoint_registry import EndpointRegistry

# opinions follow evidence, which goes out five times a second as a rule
OPINIONS = Work("opinions", Priority.PEERS, every_us=200_000, latest_us=1_000_000, share=0.02)
FAULTS = frozenset((Outcome.ERROR, Outcome.RESET, Outcome.MALFORMED, Outcome.CONNECT_FAILED))
TELLING = FAULTS | {Outcome.OK, Outcome.REJECTED, Outcome.TIMEOUT}
Rosters = Callable[[], Mapping[str, EndpointRegistry]]


@lru_cache(maxsize=16_384)  # hazard: digests of 10,000 ids at each change of a list would hold the loop up
def server_key(pool: str, ident: str) -> int:
    """A server as all instances know it: by its id, as they may reach it by other addresses."""
    return key_of("server", pool, ident)


def class_key(name: str) -> int:
    """A class, in 32 bits."""
    return key_of("class", name) >> 32


class HearsayKeeper:
    """While there are judgements it feeds them with attempts, and tells modules what comes of all."""

    def __init__(
        self,
        host: Host,
        registries: Rosters,
        judgements: Callable[[], Judgements | None],
        hurry: Callable[[Callable[[], None]], None],
    ) -> None:
        self.host = host
        self.registries = registries
        self.judgements = judgements
        self.hurry = hurry  # tells others at once what is news, and calls back with what is
        self.runner: Runner | None = None
        self.known: dict[ServerPool, tuple[State, Known]] = {}  # of this state of its list
        self.by_pool: dict[ServerPool, EndpointRegistry] = {}
        self.told: dict[ServerPool, Mapping[tuple[int, int], float]] = {}
        self.opinions: dict[tuple[int, int], Opinion] = {}

    def follow(self, runner: Runner) -> None:
        """A setup has come into force."""
        self.by_pool = {
            registry.pool: registry for registry in self.registries().values() if registry.pool is not None
        }
        self.told = {pool: held for pool, held in self.told.items() if pool in self.by_pool}
        self.known = {pool: known for pool, known in self.known.items() if pool in self.by_pool}
        on = self.judgements() is not None
        self.runner = runner
        self.host.attempt_over = self.attempt_over if on else None
        for pool in self.by_pool:
            pool.balancer.silent = partial(self.silent, pool) if on else lambda server, class_index: None
        if on:
            runner.add(OPINIONS, self.run, OPINIONS.every_us)
            self.hurry(self.news)
        elif self.opinions or OPINIONS.name in runner.begins:
            runner.remove(OPINIONS.name)
            self.opinions = {}
            for pool, held in self.told.items():
                if held:
                    self.host.heard_of(pool, {})
            self.told = {}

    def news(self) -> None:
        """A server is found wrong that was not before."""
        if self.runner is not None and OPINIONS.name in self.runner.begins:
            self.runner.hurry(OPINIONS.name)

    def known_of(self, pool: ServerPool, registry: EndpointRegistry) -> Known:
        """What a pool's servers are called; made anew when its list has changed."""
        found, state = self.known.get(pool), registry.state
        if found is None or found[0] is not state:
            servers = {
                member.number: server_key(registry.name, ident) for ident, member in state.members.items()
            }
            classes = tuple(class_key(kind.name) for kind in pool.settings.classes)
            found = self.known[pool] = state, Known(servers, classes)
        return found[1]

    def _key(self, pool: ServerPool, number: int, class_index: int) -> tuple[int, int] | None:
        registry = self.by_pool.get(pool)
        if registry is None:
            return None
        known = self.known_of(pool, registry)
        server = known.servers.get(number)
        return (server, known.classes[class_index]) if server is not None else None

    def attempt_over(
        self, pool: ServerPool, number: int, class_index: int, outcome: Outcome, elapsed_us: int
    ) -> None:
        """An attempt has ended. One that was silent for its aim has been counted then."""
        judgements, key = self.judgements(), self._key(pool, number, class_index)
        aim_us = pool.settings.classes[class_index].latency_objective_us
        counted = outcome is Outcome.TIMEOUT and elapsed_us >= aim_us
        if judgements is not None and key is not None and outcome in TELLING and not counted:
            judgements.ended(
                key,
                clock_us(),
                fault=outcome in FAULTS,
                full=outcome is Outcome.REJECTED,
                silent=outcome is Outcome.TIMEOUT,
            )
            if judgements.news:
                self.hurry(self.news)

    def silent(self, pool: ServerPool, server: Server, class_index: int) -> None:
        """An attempt has had no answer for longer than one takes."""
        judgements, key = self.judgements(), self._key(pool, server.entry.id, class_index)
        if judgements is not None and key is not None:
            judgements.ended(key, clock_us(), silent=True)
            if judgements.news:
                self.hurry(self.news)

    def run(self) -> Iterator[None]:
        """One look at all opinions, a pool a slice."""
        judgements = self.judgements()
        if judgements is None:
            return
        found: dict[tuple[int, int], Opinion] = {}
        for pool, registry in list(self.by_pool.items()):
            known = self.known_of(pool, registry)
            opinions = judgements.opinions(known.numbers.keys(), clock_us())
            found |= opinions
            held = hearsay(opinions, known)
            if held != self.told.get(pool, {}):
                self.told[pool] = held
                self.host.heard_of(pool, held)
            yield
        self.opinions = found  # hazard: added to, it would keep all servers that ever were

    def status(self) -> dict[str, Any]:
        """By pool, server and class: own evidence, heard evidence, the opinion and why."""
        judgements, now_us = self.judgements(), clock_us()
        if judgements is None:
            return {}
        found: dict[str, Any] = {}
        for pool, registry in self.by_pool.items():
            known = self.known_of(pool, registry)
            named = {
                common: ident
                for ident, member in registry.state.members.items()
                if (common := known.servers.get(member.number)) is not None
            }
            kinds = {
                number: kind.name for number, kind in zip(known.classes, pool.settings.classes, strict=True)
            }
            for key in judgements.accused(now_us):
                if key[0] in named and key[1] in kinds:
                    opinion = self.opinions.get(key)
                    if opinion is None:
                        opinion = judgements.opinion(key, now_us, judgements.everywhere(key[1], now_us))
                    found.setdefault(registry.name, {}).setdefault(named[key[0]], {})[kinds[key[1]]] = told(
                        judgements, key, opinion, now_us
                    )
        return found


def told(judgements: Judgements, key: tuple[int, int], opinion: Opinion, now_us: int) -> dict[str, Any]:
    """One opinion and what it comes of, for operators."""
    own = judgements.own.get(key) or Window(now_us)
    own.fade(now_us)
    return {
        "held_back": round(opinion.held_back, 3),
        "found_wrong_by": opinion.tellers,
        "heard": {"attempts": round(opinion.others[0], 1), "wrong": round(opinion.others[1], 1)},
        "own": {name: round(getattr(own, name), 1) for name in ("attempts", "faults", "silent", "full")},
        "everywhere": round(opinion.everywhere, 3),
    }
