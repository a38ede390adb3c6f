"""Files of expectations, read and checked as a whole: docs/routing-tests.md has every key."""

from __future__ import annotations

import re
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from plovertrail.config.problems import ConfigError, Problem, did_you_mean
from plovertrail.config.setup import Setup
from plovertrail.config.tables import duration_us, key_path, read_table
from plovertrail.rehearsal.servers import USUAL_US, Behaviour, Does

LARGEST_FILE = 16 << 20
ASK = re.compile(r"([A-Z-]{1,20}) http://([^/\s]*)(/\S*)")
MOST_ASKED = 100_000  # requests of one scenario
MOST_SEEDS = 10_000

Percent = Annotated[float, msgspec.Meta(ge=0, le=100)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MOST_ASKED)]


class RequestTable(msgspec.Struct, kw_only=True, rename={"class_name": "class", "address": "from"}):
    """A table [[requests]] of a test file: one request and what is expected of its route."""

    ask: str
    name: str = ""
    headers: dict[str, str] = {}
    address: str = "192.0.2.1"
    listener: str = ""
    route: str | None = None
    class_name: str | None = None
    pools: list[str] | None = None
    tenant: str | None = None
    target: str | None = None
    sends: dict[str, str] = {}
    status: int | None = None
    location: str | None = None


class LoadTable(msgspec.Struct, kw_only=True, rename={"address": "from"}):
    """A table [[scenarios.loads]]: requests that come at a rate or at once."""

    ask: str
    name: str = ""
    headers: dict[str, str] = {}
    address: str = "192.0.2.1"
    listener: str = ""
    body: str = ""
    at: str = "0s"
    until: str = ""
    rate: Annotated[float, msgspec.Meta(ge=0, le=100_000)] = 0.0
    count: Count = 0
    leaves_after: str = ""


class OthersTable(msgspec.Struct, kw_only=True):
    """A table [[scenarios.peers]]: what other instances count meanwhile."""

    limiter: str = ""
    tenant: str = ""
    client: str = ""
    rate: Annotated[float, msgspec.Meta(ge=0, le=1_000_000)] = 0.0
    instances: Annotated[int, msgspec.Meta(ge=1, le=200)] = 1
    at: str = "0s"
    until: str = ""


class EventTable(msgspec.Struct, kw_only=True, rename={"kind": "class"}):
    """A table [[scenarios.events]]: what happens to a server, a list or the configuration."""

    at: str
    server: str = ""
    does: str = ""
    after: str = ""
    status: Annotated[int, msgspec.Meta(ge=400, le=599)] = 500
    move: Literal["", "drain", "undrain", "gone", "join"] = ""
    reload: str = ""
    pool: str = ""
    lists: list[str] | None = None
    version: Annotated[int, msgspec.Meta(ge=0)] = 0
    heard: Literal["", "wrong", "well"] = ""
    tellers: Annotated[int, msgspec.Meta(ge=1, le=1_000)] = 3
    kind: str = ""


class ExpectTable(msgspec.Struct, kw_only=True, rename={"class_name": "class"}):
    """A table [[scenarios.expect]]: what must hold for the requests that it selects."""

    of: str = ""
    route: str = ""
    class_name: str = ""
    since: str = "0s"
    until: str = ""
    never_to: list[str] = []
    only_to: list[str] = []
    same: Literal["", "server", "cell", "zone"] = ""
    attempts: list[Count] = []
    status: list[int] = []
    served: list[Percent] = []
    refused: list[Percent] = []
    within: str = ""
    refused_within: str = ""
    retry_after: bool = False
    share: dict[str, list[Percent]] = {}
    at_most: dict[str, list[int | str]] = {}


class ScenarioTable(msgspec.Struct, kw_only=True):
    """A table [[scenarios]] of a test file."""

    name: str
    seeds: Annotated[int, msgspec.Meta(ge=1, le=MOST_SEEDS)] = 5
    loads: list[Any]
    events: list[Any] = []
    peers: list[Any] = []
    expect: list[Any] = []


class FileTable(msgspec.Struct, kw_only=True):
    """A whole test file."""

    requests: list[Any] = []
    scenarios: list[Any] = []


@dataclass(frozen=True, slots=True)
class Target:
    """What is asked of whom."""

    method: str
    host: str
    target: str
    headers: tuple[tuple[str, str], ...]
    address: str
    listener: str

    def head(self, ident: bytes, body: bytes) -> bytes:
        """As a client sends it."""
        lines = [
            f"{self.method} {self.target} HTTP/1.1",
            f"Host: {self.host}",
            *(f"{name}: {value}" for name, value in self.headers),
        ]
        if body or self.method in ("POST", "PUT", "PATCH"):
            lines.append(f"Content-Length: {len(body)}")
        if not any(name.lower() == "x-request-id" for name, _ in self.headers):
            lines.append(f"X-Request-Id: {ident.decode()}")
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


@dataclass(frozen=True, slots=True)
class OneRequest:
    """What a request should be to the setup, whatever the servers do."""

    place: str
    name: str
    asks: Target
    wanted: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Load:
    """Requests of one kind that a scenario sends; times in microseconds from its start."""

    name: str
    asks: Target
    body: bytes
    at_us: int
    until_us: int
    rate: float  # a second, at random; 0 = `count` at once
    count: int
    leaves_us: int  # after so long; 0 = never


@dataclass(frozen=True, slots=True)
class Others:
    """Other instances, which count together with this one."""

    limiter: str  # whose requests they are asked for; empty: the tenant's alone
    tenant: str
    client: str
    rate: float  # a second, of all of them
    instances: int
    at_us: int
    until_us: int  # they say nothing after it; 0 = to the end


@dataclass(frozen=True, slots=True)
class Event:
    """One thing that happens in a scenario, `at_us` from its start."""

    at_us: int
    pool: str = ""
    server: str = ""
    behaviour: Behaviour | None = None
    move: str = ""
    reload: str = ""
    lists: frozenset[str] | None = None  # the ids of the servers that the pool's source lists from now on
    version: int = 0
    heard: str = ""  # what other instances tell of the server,
    tellers: int = 0  # so many,
    kind: str = ""  # of one class; empty: of all


@dataclass(frozen=True, slots=True)
class Expectation:
    """What must hold for the requests of a load, a route or a class that come in a span of time."""

    place: str
    of: str
    route: str
    kind: str
    since_us: int
    until_us: int  # 0 = to the end
    never_to: frozenset[str]
    only_to: frozenset[str]
    same: str
    attempts: tuple[int, int] | None
    status: tuple[int, ...]
    served: tuple[float, float] | None
    refused: tuple[float, float] | None
    within_us: int
    refused_within_us: int
    retry_after: bool
    share: tuple[tuple[str, float, float], ...]
    at_most: tuple[tuple[str, int, int], ...]  # attempts to a server, in any so many microseconds


@dataclass(frozen=True, slots=True)
class Scenario:
    """A scenario as it is played, once with each of `seeds` seeds."""

    place: str
    name: str
    seeds: int
    loads: tuple[Load, ...]
    events: tuple[Event, ...]
    peers: tuple[Others, ...]
    expect: tuple[Expectation, ...]


@dataclass(slots=True)
class Expectations:
    """One file."""

    path: str
    requests: list[OneRequest] = field(default_factory=list)
    scenarios: list[Scenario] = field(default_factory=list)


def load_expectations(path: str, setup: Setup) -> Expectations:
    """Read a file of expectations about a setup; raises ConfigError with all that is wrong."""
    try:
        data = Path(path).read_bytes()[: LARGEST_FILE + 1]
        if len(data) > LARGEST_FILE:
            raise ValueError(f"longer than {LARGEST_FILE >> 20} MiB")
        raw = tomllib.loads(data.decode())
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(path, [Problem("", f"it can't be read: {error}")]) from None
    reader = _Reader(path, setup)
    found = reader.read(raw)
    if reader.problems:
        raise ConfigError(path, reader.problems)
    return found


class _Reader:
    def __init__(self, path: str, setup: Setup) -> None:
        self.path = path
        self.setup = setup
        self.problems: list[Problem] = []
        self.listeners = {listener.name for listener in setup.listeners}
        self.servers = {
            f"{pool.name}/{server.id}" for pool in setup.pools.values() for server in pool.servers
        }

    def wrong(self, place: str, what: str, instead: str = "") -> None:
        self.problems.append(Problem(place, what, instead))

    def read(self, raw: dict[str, Any]) -> Expectations:
        found = Expectations(self.path)
        whole = read_table(FileTable, raw, "", self.problems) or FileTable()
        for number, item in enumerate(whole.requests):
            one = self.request(item, f"requests[{number}]")
            if one is not None:
                found.requests.append(one)
        for number, item in enumerate(whole.scenarios):
            scenario = self.scenario(item, f"scenarios[{number}]")
            if scenario is not None:
                found.scenarios.append(scenario)
        if not self.problems and not found.requests and not found.scenarios:
            self.wrong("", "nothing is expected", "write [[requests]] or [[scenarios]]")
        return found

    def time(self, text: str, place: str, least_us: int = 0) -> int:
        return duration_us(text, place, self.problems, least_us) if text else 0

    def known(self, name: str, names: set[str], place: str, what: str) -> None:
        if name not in names:
            self.wrong(place, f'no {what} is called "{name}"', did_you_mean(name, names))

    def asks(self, table: RequestTable | LoadTable, place: str) -> Target:
        found = ASK.fullmatch(table.ask)
        if found is None:
            self.wrong(
                f"{place}.ask",
                f"{table.ask!r} is no request",
                'write a method and a URL, as "POST http://shop.example/buy"',
            )
        listener = table.listener or self.setup.listeners[0].name
        self.known(listener, self.listeners, f"{place}.listener", "listener")
        method, host, target = found.groups() if found is not None else ("GET", "", "/")
        return Target(method, host, target, tuple(table.headers.items()), table.address, listener)

    def request(self, raw: object, place: str) -> OneRequest | None:
        table = read_table(RequestTable, raw, place, self.problems)
        if table is None:
            return None
        wanted = {
            key: value
            for key, value in (
                ("route", table.route),
                ("class", table.class_name),
                ("pools", table.pools),
                ("tenant", table.tenant),
                ("target", table.target),
                ("status", table.status),
                ("location", table.location),
                ("sends", table.sends or None),
            )
            if value is not None
        }
        if not wanted:
            self.wrong(
                place, "nothing is expected of it, so it can't fail", 'write route = "NAME", or status'
            )
        if table.status is not None and {"class", "pools", "target", "sends"} & wanted.keys():
            self.wrong(
                f"{place}.status",
                "what is answered here reaches no server: the others contradict it",
                "leave status out, or class, pools, target and sends",
            )
        routes = {route.name for route in self.setup.routes.routes}
        if table.route is not None:
            self.known(table.route, routes, f"{place}.route", "route")
        return OneRequest(place, table.name or table.ask, self.asks(table, place), wanted)

    def scenario(self, raw: object, place: str) -> Scenario | None:
        table = read_table(ScenarioTable, raw, place, self.problems)
        if table is None:
            return None
        place = f'{place} ("{table.name}")'
        loads = [
            made
            for number, item in enumerate(table.loads)
            if (made := self.load(item, f"{place}.loads[{number}]")) is not None
        ]
        events = [
            event
            for number, item in enumerate(table.events)
            if (event := self.event(item, f"{place}.events[{number}]")) is not None
        ]
        peers = [
            others
            for number, item in enumerate(table.peers)
            if (others := self.others(item, f"{place}.peers[{number}]")) is not None
        ]
        names = {each.name for each in loads}
        expect = [
            wanted
            for number, item in enumerate(table.expect)
            if (wanted := self.expectation(item, f"{place}.expect[{number}]", names)) is not None
        ]
        if not table.loads:
            self.wrong(f"{place}.loads", "nothing is asked, so nothing can fail", "write [[scenarios.loads]]")
        return Scenario(
            place, table.name, table.seeds, tuple(loads), tuple(events), tuple(peers), tuple(expect)
        )

    def load(self, raw: object, place: str) -> Load | None:
        table = read_table(LoadTable, raw, place, self.problems)
        if table is None:
            return None
        at_us, until_us = self.time(table.at, f"{place}.at"), self.time(table.until, f"{place}.until")
        if bool(table.rate) == bool(table.count):
            self.wrong(place, "write either rate and until, or count", "as rate = 50, or count = 1")
        elif table.rate and until_us <= at_us:
            self.wrong(f"{place}.until", "a rate that lasts for no time", 'write until = "5s"')
        elif table.rate * (until_us - at_us) / 1e6 > MOST_ASKED:
            self.wrong(
                f"{place}.rate", f"more than {MOST_ASKED} requests", "write a lower rate, or less time"
            )
        return Load(
            table.name,
            self.asks(table, place),
            table.body.encode(),
            at_us,
            until_us,
            table.rate,
            table.count,
            self.time(table.leaves_after, f"{place}.leaves_after", 1),
        )

    def others(self, raw: object, place: str) -> Others | None:
        table = read_table(OthersTable, raw, place, self.problems)
        if table is None:
            return None
        if self.setup.peers is None:
            self.wrong(place, "instances don't count together in this file", "write [peers] there")
        if table.limiter:
            shared = {name for name, each in self.setup.limiters.items() if each.fleet_wide}
            self.known(table.limiter, shared, f"{place}.limiter", "limiter for the fleet")
        if table.tenant:
            tenants = {tenant.name for tenant in self.setup.tenants}
            self.known(table.tenant, tenants, f"{place}.tenant", "tenant")
        if table.rate and not table.limiter and not table.tenant:
            self.wrong(place, "a rate of nothing", 'write limiter = "NAME", tenant = "NAME", or both')
        at_us, until_us = self.time(table.at, f"{place}.at"), self.time(table.until, f"{place}.until")
        if table.until and until_us <= at_us:
            self.wrong(f"{place}.until", "they are heard for no time", "write a later time, or leave it out")
        return Others(table.limiter, table.tenant, table.client, table.rate, table.instances, at_us, until_us)

    def event(self, raw: object, place: str) -> Event | None:
        table = read_table(EventTable, raw, place, self.problems)
        if table is None:
            return None
        at_us = self.time(table.at, f"{place}.at")
        asked = [bool(each) for each in (table.does, table.move, table.reload, table.heard)]
        if sum((*asked, table.lists is not None)) != 1:
            self.wrong(
                place,
                "one of does, move, lists, heard and reload is wanted",
                'write does = "silent", move = "drain"',
            )
        if table.lists is not None:
            self.known(table.pool, set(self.setup.pools), f"{place}.pool", "pool")
            for number, ident in enumerate(table.lists):
                self.known(f"{table.pool}/{ident}", self.servers, f"{place}.lists[{number}]", "server")
            return Event(at_us, table.pool, lists=frozenset(table.lists), version=table.version)
        if table.reload:
            return Event(at_us, reload=str(Path(self.path).parent / table.reload))
        pool, _, server = table.server.partition("/")
        self.known(table.server, self.servers, f"{place}.server", "server")
        if table.heard:
            if self.setup.fellows is None or not self.setup.fellows.judgements:
                what = "instances tell nothing of servers in this file"
                self.wrong(f"{place}.heard", what, "write [fellows]")
            if table.kind:
                self.known(table.kind, {kind.name for kind in self.setup.classes}, f"{place}.class", "class")
            return Event(at_us, pool, server, heard=table.heard, tellers=table.tellers, kind=table.kind)
        behaviour = None
        if table.does:
            kinds = {each.value: each for each in Does} | {"slow": Does.OK}
            self.known(table.does, set(kinds), f"{place}.does", "behaviour")
            if table.does == "slow" and not table.after:
                self.wrong(f"{place}.after", "slow, and not how slow", 'write after = "500ms"')
            after_us = self.time(table.after, f"{place}.after", 1) or USUAL_US
            behaviour = Behaviour(kinds.get(table.does, Does.OK), after_us, table.status)
        return Event(at_us, pool, server, behaviour, table.move)

    def expectation(self, raw: object, place: str, loads: set[str]) -> Expectation | None:
        table = read_table(ExpectTable, raw, place, self.problems)
        if table is None:
            return None
        if table.of:
            self.known(table.of, loads, f"{place}.of", "load")
        for key in ("never_to", "only_to"):
            for number, name in enumerate(getattr(table, key)):
                self.known(name, self.servers, f"{place}.{key}[{number}]", "server")
        if table.only_to and set(table.only_to) <= set(table.never_to):
            self.wrong(place, "only_to and never_to contradict each other", "leave one of them out")
        for name in table.at_most:
            self.known(name, self.servers, key_path(f"{place}.at_most", name), "server")
        for name in table.share:
            self.known(name, self.servers, key_path(f"{place}.share", name), "server")
        asked = (
            table.never_to,
            table.only_to,
            table.same,
            table.attempts,
            table.status,
            table.served,
            table.refused,
            table.within,
            table.refused_within,
            table.retry_after,
            table.share,
            table.at_most,
        )
        if not any(asked):
            self.wrong(place, "nothing is expected, so it can't fail", 'write never_to = ["POOL/SERVER"]')
        if set(table.only_to) >= self.servers:
            self.wrong(f"{place}.only_to", "it names all servers, so it can't fail", "leave some out")
        return Expectation(
            place,
            table.of,
            table.route,
            table.class_name,
            self.time(table.since, f"{place}.since"),
            self.time(table.until, f"{place}.until"),
            frozenset(table.never_to),
            frozenset(table.only_to),
            table.same,
            self.span(table.attempts, f"{place}.attempts", 0, MOST_ASKED),
            tuple(table.status),
            self.span(table.served, f"{place}.served", 0, 100),
            self.span(table.refused, f"{place}.refused", 0, 100),
            self.time(table.within, f"{place}.within", 1),
            self.time(table.refused_within, f"{place}.refused_within", 1),
            table.retry_after,
            tuple(
                (name, *span)
                for name, both in table.share.items()
                if (span := self.span(both, key_path(f"{place}.share", name), 0, 100)) is not None
            ),
            tuple(
                (name, *rate)
                for name, both in table.at_most.items()
                if (rate := self.rate(both, key_path(f"{place}.at_most", name))) is not None
            ),
        )

    def rate(self, both: list[int | str], place: str) -> tuple[int, int] | None:
        """So many in so long."""
        if len(both) != 2 or not isinstance(both[0], int) or not isinstance(both[1], str):
            self.wrong(place, f"{both} is no rate", 'write [10, "1s"]')
            return None
        return both[0], self.time(both[1], place, 1)

    def span(self, both: Any, place: str, least: float, most: float) -> Any:
        if not both:
            return None
        if len(both) != 2 or both[0] > both[1]:
            self.wrong(place, f"{both} is no span", "write [least, most]")
            return None
        if both[0] <= least and both[1] >= most:
            self.wrong(place, "it takes in all there is, so it can't fail", "write a closer span")
        return both[0], both[1]
