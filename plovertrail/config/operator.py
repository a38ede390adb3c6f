"""The operator's file: listeners, pools, classes, routes, limits (docs/operator.md has every key).

Read whole or not at all: all that is wrong with it is told at once, each with its place. What comes out is
an immutable value that the daemon can be built from; nothing is opened or started here.
"""

from __future__ import annotations

import enum
import hashlib
import ipaddress
import os
import re
import tomllib
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass, replace
from typing import Any, TypeVar

import re2

from plovertrail.config import limiters
from plovertrail.config.descriptors import (
    MOST_BY_DEFAULT,
    PoolNeed,
    default_connections,
    descriptors_allowed,
)
from plovertrail.config.fellows import FellowsSetup, read_fellows
from plovertrail.config.hooks import MOST_A_ROUTE, HookSetup, read_hooks
from plovertrail.config.peers import PeersSetup, read_peers
from plovertrail.config.problems import ConfigError, Problem, did_you_mean
from plovertrail.config.tables import duration_us, key_path, read_table, size_bytes
from plovertrail.config.written import (
    ClassTable,
    DaemonTable,
    FairTable,
    FileTable,
    FleetTable,
    GuardsTable,
    LimitsTable,
    ListenerTable,
    OverrideTable,
    PoolTable,
    RespondTable,
    RouteTableRow,
    ServerTable,
    ShareTable,
    TenantTable,
    WebSocketTable,
)
from plovertrail.decisions import sockets
from plovertrail.decisions.affinity import Affinity, AffinitySource
from plovertrail.decisions.endpoint_list import Entry, Guards
from plovertrail.decisions.fairness import DoorSettings
from plovertrail.decisions.interface import RequestClass, Settings, Tenant
from plovertrail.decisions.limits import LimiterSettings
from plovertrail.decisions.paths import InvalidTargetError, normalise_host, normalise_path
from plovertrail.decisions.routes import (
    SAFE_METHODS,
    ClientSource,
    FixedAnswer,
    PathKind,
    Predicate,
    Route,
    RouteTable,
    TenantSource,
    unreachable,
)
from plovertrail.decisions.share import Bounds, Fleet
from plovertrail.decisions.templates import NAMES, Template, parse_template
from plovertrail.decisions.verdicts import at_least_as_strict

LARGEST_FILE = 16 << 20
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}")
TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")  # RFC 9110, section 5.6.2
FIELD_VALUE = re.compile(r"[\t -~]*")
RESERVED = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
        "x-deadline-ms",
        "idempotency-key",
    )
)
ORIGIN = re.compile(r"[A-Za-z][A-Za-z0-9+.-]*://[A-Za-z0-9._-]+(:[0-9]{1,5})?")
LONGEST_REGEX = 1000
FROM_ENVIRONMENT = "env:"
Source = TypeVar("Source", bound=enum.Enum)
Plain = tuple[tuple[bytes, bytes], ...]  # headers with their values
Filled = tuple[tuple[bytes, Template], ...]


# What the daemon is built from


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of a message, in bytes."""

    max_head: int
    max_body: int
    max_answer: int


@dataclass(frozen=True, slots=True)
class Listener:
    """A checked `[listeners.NAME]` table: the address that clients connect to, and what is read from them."""

    name: str
    address: tuple[str, int]
    max_connections: int
    read_us: int  # to send one request
    idle_us: int
    forwarded: str
    trust_forwarded: bool
    request_id_header: bytes
    deadline_header: bytes


@dataclass(frozen=True, slots=True)
class Pool:
    """A checked `[pools.NAME]` table: its servers, the lists with more of them, and the bounds on their
    use."""

    name: str
    settings: Settings
    idle_us: int
    max_connections: int
    servers: tuple[Entry, ...]
    home_zone: str
    files: tuple[str, ...]  # paths of further lists, the one that wins first
    checksum: bool  # these must carry one
    guards: Guards
    max_sockets: int  # beside its connections for requests; 0 = none
    max_sockets_per_server: int
    bounds: Bounds  # what one of its servers bears from all instances
    door: DoorSettings | None  # None: requests take slots as they come
    affinity: Affinity | None  # None: requests prefer no server
    even_part: bool = False  # max_connections is not written, and may change with the other pools

    @property
    def lists(self) -> list[tuple[str, bool]]:
        """Each further list's path, and whether it must carry a checksum."""
        return [(path, self.checksum) for path in self.files]


@dataclass(frozen=True, slots=True)
class WebSocket:
    """What a route's sockets may do, and who may open them."""

    origins: frozenset[str]  # in lower case; empty: any
    limits: sockets.Limits


@dataclass(frozen=True, slots=True)
class FleetSetup:
    """The instances that share the pools' servers."""

    fleet: Fleet
    list_path: str  # the file that lists them, and so tells their number; empty: none
    name: str = ""  # of this instance, as the list has it
    slow_start: bool = True  # lets in more as answers come, after a start or a gap


@dataclass(frozen=True, slots=True)
class HookedRoute:
    """The hooks that a route's requests go through, and what these may choose."""

    hooks: tuple[str, ...]  # in their order
    passes: bool  # without a hook that can't be asked; else the request fails
    classes: tuple[str, ...]  # that may take the place of the route's own


@dataclass(frozen=True, slots=True)
class Setup:
    """A whole file, checked."""

    path: str
    limits: Limits
    listeners: tuple[Listener, ...]
    pools: Mapping[str, Pool]
    classes: tuple[RequestClass, ...]
    key_headers: tuple[bytes, ...]  # of each class; empty where it has none
    tenants: tuple[Tenant, ...]
    routes: RouteTable
    state_file: str  # empty: none
    control_socket: str
    socket_log: str  # empty: standard error
    websockets: Mapping[str, WebSocket]
    fleet: FleetSetup
    hooks: Mapping[str, HookSetup]
    hooked: Mapping[str, HookedRoute]  # by the routes' names; those that have hooks
    limiters: Mapping[str, LimiterSettings]
    limited: Mapping[str, tuple[str, ...]]  # the limiters of routes, by the routes' names
    peers: PeersSetup | None  # None: this instance counts alone
    fleet_tenants: frozenset[int]  # the tenants whose allowance is for all instances
    fellows: FellowsSetup | None  # None: instances don't know one another
    watched: bool = False  # the file is read again when it changes, and not on SIGHUP alone
    digest: str = ""  # SHA-256 of the file's bytes, in hex; empty: they were given as a text

    def classes_at(self, pool: str) -> list[RequestClass]:
        """Those whose requests may go to a pool."""
        names = {
            name
            for route in self.routes.routes
            if pool in route.pools
            for name in (route.class_name, *self.chosen_classes(route.name))
        }
        return [kind for kind in self.classes if kind.name in names]

    def chosen_classes(self, route: str) -> tuple[str, ...]:
        """The classes that hooks may choose for a route's requests."""
        return self.hooked[route].classes if route in self.hooked else ()

    def class_index(self, name: str) -> int:
        """The position of a class in `classes`, by its name; raises StopIteration if no class has that
        name."""
        return next(i for i, kind in enumerate(self.classes) if kind.name == name)


EFFECTS = {"safe": "idempotent", "keyed": "deduplicated", "unsafe": "at_most_once"}


def load(path: str) -> Setup:
    """Read and check a file; raises ConfigError."""
    try:
        with open(path, "rb") as file:
            data = file.read(LARGEST_FILE + 1)
    except OSError as error:
        raise ConfigError(path, [Problem("", f"the file can't be read: {error.strerror}")]) from None
    if len(data) > LARGEST_FILE:
        raise ConfigError(path, [Problem("", f"the file holds more than {LARGEST_FILE >> 20} MiB")])
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        raise ConfigError(path, [Problem("", f"byte {error.start} is not UTF-8")]) from None
    return replace(parse(text, path), digest=hashlib.sha256(data).hexdigest())


def parse(text: str, path: str = "") -> Setup:
    """Check a file's text; raises ConfigError with all that is wrong."""
    try:
        raw = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise ConfigError(path, [Problem("", f"not TOML: {error or 'nested too deeply'}")]) from None
    problems: list[Problem] = []
    setup = _Reader(path, problems).read(raw)
    if problems or setup is None:
        raise ConfigError(path, problems)
    return setup


class _Reader:
    """Reads the tables one after the other; what is wrong goes to `problems`, and reading goes on."""

    def __init__(self, path: str, problems: list[Problem]) -> None:
        self.path = path
        self.problems = problems

    def wrong(self, place: str, what: str, instead: str = "") -> None:
        self.problems.append(Problem(place, what, instead))

    def read(self, raw: dict[str, Any]) -> Setup | None:
        whole = read_table(FileTable, raw, "", self.problems)
        if whole is None:
            # read on with what there is, so that all problems are told at once
            parts: dict[str, Any] = {
                "listeners": {},
                "pools": {},
                "classes": {},
                "limits": {},
                "tenants": {},
                "daemon": {},
                "websockets": {},
                "fleet": {},
                "hooks": {},
                "limiters": {},
                "peers": {},
                "routes": [],
            }
            parts |= {key: item for key, item in raw.items() if type(item) is type(parts.get(key))}
            parts["fellows"] = raw.get("fellows") if isinstance(raw.get("fellows"), dict) else None
            whole = FileTable(**parts)
        limits, instances = self.limits(whole.limits)
        tenants, fleet_tenants = self.tenants(whole.tenants, bool(whole.peers))
        self.weights = tuple(
            (name, float(item.get("weight", 1.0)))
            for name, item in whole.tenants.items()
            if isinstance(item, dict) and isinstance(item.get("weight", 1.0), int | float)
        )
        classes, key_headers = self.classes(whole.classes)
        listeners = self.listeners(whole.listeners)
        home = str(whole.limits.get("zone", ""))
        daemon = read_table(DaemonTable, whole.daemon, "daemon", self.problems) or DaemonTable()
        pools = {
            name: pool
            for name, item in whole.pools.items()
            if (pool := self.pool(name, item, classes, tenants, instances, home)) is not None
        }
        pools = self.parted(listeners, pools)
        websockets = {
            name: made
            for name, item in whole.websockets.items()
            if (made := self.websocket(name, item)) is not None
        }
        fleet = self.fleet(whole.fleet, instances, pools)
        hooks = read_hooks(whole.hooks, self.problems)
        self.hooked: dict[str, HookedRoute] = {}
        limited_by = limiters.read_limiters(whole.limiters, whole.tenants, bool(whole.peers), self.problems)
        peers = None
        if whole.peers:
            peers = read_peers(whole.peers, self.address, self.environment, instances, self.problems)
        fellows = None
        if whole.fellows is not None and not whole.peers:
            self.wrong("fellows", "instances know one another by [peers], and there is none", "write [peers]")
        elif whole.fellows is not None:
            fellows = read_fellows(whole.fellows, peers, home, self.problems)
        self.limited: dict[str, tuple[str, ...]] = {}
        routes = self.routes(whole.routes, classes, whole)
        if not whole.routes and "routes" in raw:
            self.wrong("routes", "there is no route", "write at least one [[routes]]")
        if not whole.listeners and "listeners" in raw:
            self.wrong("listeners", "there is no listener", "write at least one [listeners.NAME]")
        if self.problems:
            return None
        return Setup(
            self.path,
            limits,
            tuple(listeners),
            pools,
            tuple(classes.values()),
            key_headers,
            tuple(tenants),
            RouteTable(routes),
            daemon.state_file,
            daemon.control_socket,
            daemon.socket_log,
            websockets,
            fleet,
            hooks,
            self.hooked,
            limited_by,
            self.limited,
            peers,
            fleet_tenants,
            fellows,
            daemon.reload == "watch",
        )

    def name(self, name: str, place: str) -> None:
        if not NAME.fullmatch(name):
            self.wrong(
                place,
                f"{name!r} is no name",
                "write letters, digits, _ . or -, 64 at most, a letter or digit first",
            )

    def address(self, text: str, place: str) -> tuple[str, int]:
        host, colon, port = text.rpartition(":")
        try:
            # hazard: a name would be looked up, on the loop
            plain = str(ipaddress.IPv4Address(host))
            if colon and port.isdecimal() and 0 < int(port) <= 65_535:
                return plain, int(port)
        except ValueError:
            pass
        self.wrong(place, f"{text!r} is no address", 'write an IPv4 address and a port, as "127.0.0.1:8080"')
        return "", 0

    def header_name(self, text: str, place: str) -> bytes:
        if not TOKEN.fullmatch(text):
            self.wrong(place, f"{text!r} is no header name", 'write letters, digits and -, as "X-Request-Id"')
        return text.encode("latin-1", "replace")

    def limits(self, raw: object) -> tuple[Limits, int]:
        table = read_table(LimitsTable, raw, "limits", self.problems) or LimitsTable()

        def size(key: str, least: int, most: int) -> int:
            return size_bytes(getattr(table, key), f"limits.{key}", self.problems, least, most)

        return Limits(
            size("max_head", 1 << 10, 1 << 20),
            size("max_body", 0, 64 << 20),
            size("max_answer", 1 << 10, 64 << 20),
        ), table.instances

    def tenants(self, raw: dict[str, Any], talks: bool) -> tuple[list[Tenant], frozenset[int]]:
        """The tenants, and the numbers of those whose allowance is for all instances."""
        found: list[Tenant] = []
        fleet_wide = set()
        for name, item in raw.items():
            place = key_path("tenants", name)
            table = read_table(TenantTable, item, place, self.problems)
            if table is None:
                continue
            if table.scope == "fleet":
                fleet_wide.add(len(found))
                if not talks:
                    self.wrong(
                        f"{place}.scope",
                        "instances don't count together here",
                        'write [peers], or scope = "instance"',
                    )
            found.append(Tenant(name, table.allowance_per_s))
        return found, frozenset(fleet_wide)

    def classes(self, raw: dict[str, Any]) -> tuple[dict[str, RequestClass], tuple[bytes, ...]]:
        found: dict[str, RequestClass] = {}
        keys: list[bytes] = []
        for name, item in raw.items():
            place = key_path("classes", name)
            self.name(name, place)
            table = read_table(ClassTable, item, place, self.problems)
            if table is None:
                # known by name, so that routes that name it are not called wrong as well
                found[name], keys = RequestClass(name, 1, 1), [*keys, b""]
                continue
            aim_us = duration_us(table.aim, f"{place}.aim", self.problems)
            deadline_us = duration_us(table.deadline, f"{place}.deadline", self.problems)
            if aim_us > deadline_us:
                self.wrong(f"{place}.aim", "the aim is longer than the deadline", "write an aim within it")
            memory_us = self.repeats(table, place)
            key = self.header_name(table.key_header, f"{place}.key_header") if table.key_header else b""
            found[name] = RequestClass(
                name,
                aim_us,
                deadline_us,
                table.worth,
                table.late_worth,
                effect=EFFECTS[table.effect],
                group=table.group or "all",
                memory_us=memory_us,
            )
            keys.append(key)
        if not raw:
            self.wrong("classes", "there is no class", "write at least one [classes.NAME]")
        return found, tuple(keys)

    def repeats(self, table: ClassTable, place: str) -> int:
        """Rule 2: what a class says of repeats must not contradict its effect."""
        if table.effect == "keyed":
            if table.key_header is None:
                self.wrong(
                    place,
                    "a keyed class with no key header: servers could not tell a repeat",
                    'write key_header = "Idempotency-Key"',
                )
            if table.memory is None:
                self.wrong(
                    place,
                    "a keyed class that doesn't say for how long servers remember a key",
                    'write memory = "8s", or less than they do',
                )
                return 0
            return duration_us(table.memory, f"{place}.memory", self.problems)
        for key in ("key_header", "group", "memory"):
            if getattr(table, key) is not None:
                why = (
                    "an unsafe class is never repeated"
                    if table.effect == "unsafe"
                    else "a safe class may always be repeated"
                )
                self.wrong(
                    f"{place}.{key}",
                    f"{why}, and has no {key}",
                    f'leave {key} out, or write effect = "keyed"',
                )
        return 0

    def listeners(self, raw: dict[str, Any]) -> list[Listener]:
        found: list[Listener] = []
        taken: dict[tuple[str, int], str] = {}
        for name, item in raw.items():
            place = key_path("listeners", name)
            self.name(name, place)
            table = read_table(ListenerTable, item, place, self.problems)
            if table is None:
                continue
            address = self.address(table.address, f"{place}.address")
            if address in taken and address[1]:
                self.wrong(
                    f"{place}.address", f"listeners.{taken[address]} has this address", "write another one"
                )
            taken[address] = name
            found.append(
                Listener(
                    name,
                    address,
                    table.max_connections,
                    duration_us(table.read_timeout, f"{place}.read_timeout", self.problems),
                    duration_us(table.idle_timeout, f"{place}.idle_timeout", self.problems),
                    table.forwarded,
                    table.trust_forwarded,
                    self.header_name(table.request_id_header, f"{place}.request_id_header"),
                    self.header_name(table.deadline_header, f"{place}.deadline_header").lower(),
                )
            )
        return found

    def pool(
        self,
        name: str,
        raw: object,
        classes: Mapping[str, RequestClass],
        tenants: list[Tenant],
        instances: int,
        home: str,
    ) -> Pool | None:
        place = key_path("pools", name)
        self.name(name, place)
        table = read_table(PoolTable, raw, place, self.problems)
        if table is None:
            return None
        own = dict(classes)
        for kind, item in table.classes.items():
            at = key_path(f"{place}.classes", kind)
            if kind not in classes:
                self.wrong(at, f'no class is called "{kind}"', did_you_mean(kind, classes))
                continue
            changes = read_table(OverrideTable, item, at, self.problems)
            if changes is not None:
                own[kind] = self.overridden(classes[kind], changes, at)

        def time(key: str, least_us: int = 1) -> int:
            return duration_us(getattr(table, key), f"{place}.{key}", self.problems, least_us)

        if "servers" not in raw and not table.servers_from:  # type: ignore[operator]
            self.wrong(place, "it has no servers", 'write servers = [...] or servers_from = ["FILE"]')
        if len(set(table.servers_from)) < len(table.servers_from) or "" in table.servers_from:
            self.wrong(f"{place}.servers_from", "a path is empty or named twice", "name each file once")
        bounds = read_table(GuardsTable, table.guards, f"{place}.guards", self.problems) or GuardsTable()
        guards = Guards(
            bounds.allow_empty,
            bounds.most_dropped,
            bounds.judged_from,
            bounds.allow_older,
            bounds.largest_weight,
            frozenset(bounds.zones),
            bounds.damping,
        )
        servers = self.servers(table.servers, place)
        share = read_table(ShareTable, table.share, f"{place}.share", self.problems) or ShareTable()
        settings = Settings(
            classes=list(own.values()) or [RequestClass("none", 1, 1)],
            tenants=tenants,
            instances=instances,
            zone=0,
            max_attempts=table.attempts,
            max_retry_after_us=time("retry_after"),
            connect_timeout_us=time("connect_timeout"),
            cancel=True,
            second_copies=table.second_copies,
            cold_share=table.cold_share,
            warm_up_us=time("warm_up", 0),
            overload_factor=table.overload_factor,
            fall_us=time("fall", 0),
            cross_zone_fee=table.cross_zone_cost,
            weighted=True,
            draw_by_weight=True,
        )
        return Pool(
            name,
            settings,
            time("idle_timeout", 0),
            table.max_connections or MOST_BY_DEFAULT,
            servers,
            home,
            tuple(table.servers_from),
            table.whole == "checksum",
            guards,
            table.max_sockets,
            table.max_sockets_per_server or table.max_sockets,
            Bounds(share.servers, share.connections, share.dials_per_s),
            self.door(table, place, settings.max_retry_after_us),
            self.affinity(table, place),
            table.max_connections is None,
        )

    @staticmethod
    def parted(listeners: list[Listener], pools: dict[str, Pool]) -> dict[str, Pool]:
        """The pools that write no max_connections share the descriptors that are left."""
        part = default_connections(
            sum(1 + listener.max_connections for listener in listeners),
            (
                PoolNeed(None if pool.even_part else pool.max_connections, pool.max_sockets)
                for pool in pools.values()
            ),
            descriptors_allowed(),
        )
        return {
            name: replace(pool, max_connections=part) if pool.even_part else pool
            for name, pool in pools.items()
        }

    def affinity(self, table: PoolTable, place: str) -> Affinity | None:
        """What a pool's requests have in common that should meet at one server."""
        if table.affinity is None:
            return None
        source, header = self.source(
            table.affinity, f"{place}.affinity", AffinitySource, "nothing that requests have in common"
        )
        return Affinity(source, header) if source is not None else None

    def door(self, table: PoolTable, place: str, max_retry_after_us: int) -> DoorSettings | None:
        """How a pool's slots are shared among tenants."""
        if table.fair is None:
            return None
        place = f"{place}.fair"
        fair = read_table(FairTable, table.fair, place, self.problems) or FairTable()
        wait_us = duration_us(fair.max_wait, f"{place}.max_wait", self.problems)
        return DoorSettings(self.weights, fair.default_weight, fair.max_waiting, wait_us, max_retry_after_us)

    def environment(self, text: str, place: str) -> str:
        """A value that is written, or that the environment has."""
        if not text.startswith(FROM_ENVIRONMENT):
            return text
        variable = text.removeprefix(FROM_ENVIRONMENT)
        found = os.environ.get(variable, "")
        if not found:
            self.wrong(
                place,
                f"the environment has no {variable}",
                "set it to one that this instance alone has, the same at each start",
            )
        return found

    def fleet(self, raw: object, instances: int, pools: Mapping[str, Pool]) -> FleetSetup:
        """Who this instance is among those that share the servers."""
        table = read_table(FleetTable, raw, "fleet", self.problems) or FleetTable()
        name = self.environment(table.name, "fleet.name")
        for pool in pools.values():
            if pool.bounds.servers and not table.name:
                # hazard: instances of one name would all have the same servers
                place = f"{key_path('pools', pool.name)}.share.servers"
                self.wrong(
                    "fleet.name",
                    f"missing, and {place} chooses by it",
                    'write one that this instance alone has, as "app-17" or "env:POD_NAME"',
                )
                break
        digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
        return FleetSetup(
            Fleet(instances, int.from_bytes(digest)), table.instances_from, name, table.slow_start
        )

    def overridden(self, kind: RequestClass, changes: OverrideTable, place: str) -> RequestClass:
        aim_us = kind.aim_us
        if changes.aim is not None:
            aim_us = duration_us(changes.aim, f"{place}.aim", self.problems)
            if aim_us > kind.deadline_us:
                self.wrong(
                    f"{place}.aim", "the aim is longer than the class's deadline", "write an aim within it"
                )
        return RequestClass(
            kind.name,
            aim_us,
            kind.deadline_us,
            kind.worth if changes.worth is None else changes.worth,
            kind.late_worth if changes.late_worth is None else changes.late_worth,
            effect=kind.effect,
            group=kind.group,
            memory_us=kind.memory_us,
        )

    def servers(self, raw: list[Any], place: str) -> tuple[Entry, ...]:
        found = []
        ids: dict[str, int] = {}
        addresses: dict[tuple[str, int], int] = {}
        for number, item in enumerate(raw):
            at = f"{place}.servers[{number}]"
            table = read_table(ServerTable, item, at, self.problems)
            if table is None:
                continue
            self.name(table.id, f"{at}.id")
            address = self.address(table.address, f"{at}.address")
            if table.id in ids:
                self.wrong(
                    f"{at}.id",
                    f'{place}.servers[{ids[table.id]}] is called "{table.id}" as well',
                    "write another id",
                )
            if address in addresses and address[1]:
                self.wrong(
                    f"{at}.address",
                    f"{place}.servers[{addresses[address]}] has this address as well",
                    "write another one: one server under two names gets twice its share",
                )
            ids[table.id] = addresses[address] = number
            found.append(Entry(table.id, address, table.zone, table.cell, table.weight, table.drain))
        return tuple(found)

    def routes(self, raw: list[Any], classes: Mapping[str, RequestClass], whole: FileTable) -> list[Route]:
        found: list[Route] = []
        names: dict[str, int] = {}
        for number, item in enumerate(raw):
            at = f"routes[{number}]"
            row = read_table(RouteTableRow, item, at, self.problems)
            if row is None:
                continue
            self.name(row.name, f"{at}.name")
            if row.name in names:
                self.wrong(
                    f"{at}.name",
                    f'routes[{names[row.name]}] is called "{row.name}" as well',
                    "write another name",
                )
            names[row.name] = number
            route = self.route(row, f'{at} ("{row.name}")', classes, whole)
            if route is not None:
                found.append(route)
        for route, by in unreachable(found) if not self.problems else []:
            self.wrong(
                f'routes[{names[route.name]}] ("{route.name}")',
                f'never reached: route "{by.name}" takes all that it would',
                "remove it, or give it a longer path, more predicates or a higher priority",
            )
        return found

    def route(
        self, row: RouteTableRow, at: str, classes: Mapping[str, RequestClass], whole: FileTable
    ) -> Route | None:
        known = len(self.problems)
        for number, pool in enumerate(row.pools):
            if pool not in whole.pools:
                self.wrong(
                    f"{at}.pools[{number}]", f'no pool is called "{pool}"', did_you_mean(pool, whole.pools)
                )
            elif pool in row.pools[:number]:
                self.wrong(f"{at}.pools[{number}]", f'"{pool}" is named twice', "name each pool once")
        kind = classes.get(row.class_name)
        if row.respond is not None:
            self.answers_itself(row, at)
        elif not row.pools or not row.class_name:
            missing = "pools" if not row.pools else "class"
            self.wrong(at, f"the key {missing} is missing", f"write {missing} = ..., or respond = {{ ... }}")
        elif kind is None:
            self.wrong(
                f"{at}.class", f'no class is called "{row.class_name}"', did_you_mean(row.class_name, classes)
            )
        path_kind, path = self.path_of(row, at)
        deadline_us = 0
        if row.deadline is not None:
            deadline_us = duration_us(row.deadline, f"{at}.deadline", self.problems)
            if kind is not None and deadline_us > kind.deadline_us:
                self.wrong(
                    f"{at}.deadline",
                    f'longer than that of class "{kind.name}"',
                    "write a shorter one, or a class of its own",
                )
        for number, name in enumerate(row.listeners):
            if name not in whole.listeners:
                self.wrong(
                    f"{at}.listeners[{number}]",
                    f'no listener is called "{name}"',
                    did_you_mean(name, whole.listeners),
                )
        max_body = (
            None
            if row.max_body is None
            else size_bytes(row.max_body, f"{at}.max_body", self.problems, 0, 64 << 20)
        )
        plain, filled = self.set_headers(row, at, path_kind, path)
        tenant_from, tenant_header = self.tenant(row, at)
        client_from, client_header = self.client(row, at)
        route = Route(
            row.name,
            tuple(row.pools),
            row.class_name,
            self.hosts(row, at),
            path_kind,
            path,
            self.methods(row, at, kind),
            self.predicates(row.headers, f"{at}.headers", header=True),
            self.predicates(row.query, f"{at}.query", header=False),
            row.priority,
            deadline_us,
            self.rewrite(row, at, path_kind, path),
            row.keep_query,
            plain,
            filled,
            self.removed(row, at),
            tenant_from,
            tenant_header,
            client_from,
            client_header,
            row.websocket or "",
            frozenset(row.listeners),
            self.beginning(row.path_within, f"{at}.path_within") if row.path_within else "",
            tuple(
                self.beginning(text, f"{at}.path_except[{number}]")
                for number, text in enumerate(row.path_except)
            ),
            max_body,
            self.fixed_answer(row, at, path_kind, path),
        )
        if row.websocket is not None:
            self.opens_sockets(row, at, kind, whole)
        self.hooks_of(row, at, classes, whole)
        self.limits_of(row, at, whole)
        return route if len(self.problems) == known else None

    def answers_itself(self, row: RouteTableRow, at: str) -> None:
        """What a route that sends its requests nowhere can't have."""
        for key in (
            "pools",
            "hooks",
            "hook_classes",
            "limiters",
            "websocket",
            "deadline",
            "rewrite",
            "tenant",
            "set_headers",
            "remove_headers",
        ):
            if getattr(row, key):
                self.wrong(
                    f"{at}.{key}",
                    "its requests go to no server, as it has respond",
                    f"leave {key} or respond out",
                )
        if row.class_name:
            self.wrong(
                f"{at}.class", "its requests go to no server, as it has respond", "leave class or respond out"
            )

    def fixed_answer(self, row: RouteTableRow, at: str, kind: PathKind, path: str) -> FixedAnswer | None:
        if row.respond is None:
            return None
        place = f"{at}.respond"
        table = read_table(RespondTable, row.respond, place, self.problems)
        if table is None:
            return None
        if table.location is not None and not 300 <= table.status < 400 and table.status != 201:
            self.wrong(
                f"{place}.location",
                f"status {table.status} leads nowhere",
                "write a status from 300 to 399, or 201",
            )
        if table.status in (301, 302, 303, 307, 308) and table.location is None:
            self.wrong(
                place,
                f"status {table.status} with no location",
                'write location = "https://{host}{uri}", or another status',
            )
        if table.body and table.status in (204, 304):
            self.wrong(f"{place}.body", f"status {table.status} has no body", "leave it out")
        if not FIELD_VALUE.fullmatch(table.content_type):
            self.wrong(f"{place}.content_type", "the value is not plain text", "write printable ASCII")
        location = body = None
        if table.location is not None:
            location = self.template(table.location, f"{place}.location", kind, path)
            if not FIELD_VALUE.fullmatch(table.location):
                self.wrong(f"{place}.location", "the value is not plain text", "write printable ASCII")
        if table.body is not None:
            body = self.template(table.body, f"{place}.body", kind, path)
        return FixedAnswer(table.status, location, body, table.content_type)

    def template(self, text: str, place: str, kind: PathKind, path: str) -> Template:
        """A text with places for what a request tells."""
        try:
            made = parse_template(text)
        except ValueError as error:
            self.wrong(
                place,
                str(error),
                "write one of "
                + ", ".join(f"{{{name}}}" for name in sorted(NAMES))
                + ", or {{ and }} for braces",
            )
            return Template(())
        groups = 0
        if kind is PathKind.REGEX:
            with suppress(re2.error):  # told already
                groups = re2.compile(path).groups
        if any(name.isdigit() and int(name) > groups for name in made.names):
            self.wrong(
                place,
                "names a group that the route's path doesn't have",
                "write {1} for the first group in parentheses of path_regex",
            )
        return made

    def beginning(self, text: str, place: str) -> str:
        """What paths begin with, as rules see them; it may end within a segment."""
        closed = self.normal(text, place)
        if text.endswith("/") and not closed.endswith("/"):
            closed += "/"
        return closed

    def opens_sockets(self, row: RouteTableRow, at: str, kind: RequestClass | None, whole: FileTable) -> None:
        """Whether a route whose requests may become sockets has all that they need."""
        place = f"{at}.websocket"
        if row.websocket not in whole.websockets:
            self.wrong(
                place,
                f'no table is called websockets."{row.websocket}"',
                did_you_mean(row.websocket or "", whole.websockets),
            )
        if kind is not None and kind.effect == "deduplicated":
            self.wrong(
                f"{at}.class",
                "a handshake carries no key, and could not be told from its repeat",
                "write a class that is safe or unsafe",
            )
        if row.methods and "GET" not in row.methods:
            self.wrong(f"{at}.methods", "a handshake is a GET", "add GET, or leave methods out")
        for number, pool in enumerate(row.pools):
            table = whole.pools.get(pool)
            if isinstance(table, dict) and not table.get("max_sockets"):
                self.wrong(
                    f"{at}.pools[{number}]",
                    f'pool "{pool}" takes no sockets',
                    f"write {key_path('pools', pool)}.max_sockets, as 1000",
                )

    def hooks_of(
        self, row: RouteTableRow, at: str, classes: Mapping[str, RequestClass], whole: FileTable
    ) -> None:
        """A route's hooks, and rule 2 for the classes that they may choose."""
        for number, name in enumerate(row.hooks):
            if name not in whole.hooks:
                self.wrong(
                    f"{at}.hooks[{number}]", f'no hook is called "{name}"', did_you_mean(name, whole.hooks)
                )
            elif name in row.hooks[:number]:
                self.wrong(f"{at}.hooks[{number}]", f'"{name}" is named twice', "name each hook once")
        if len(row.hooks) > MOST_A_ROUTE:
            self.wrong(f"{at}.hooks", f"more than {MOST_A_ROUTE}", "join some of them into one module")
        if row.hook_classes and not row.hooks:
            self.wrong(f"{at}.hook_classes", "the route has no hooks to choose", "write hooks = [...]")
        own = classes.get(row.class_name)
        for number, name in enumerate(row.hook_classes):
            place, kind = f"{at}.hook_classes[{number}]", classes.get(name)
            if kind is None:
                self.wrong(place, f'no class is called "{name}"', did_you_mean(name, classes))
            elif own is not None and not at_least_as_strict(kind, own):
                self.wrong(
                    place,
                    f'class "{name}" allows more repeats than the route\'s own, "{own.name}"',
                    "write a class of the same effect or a stricter one (safe, keyed, unsafe); of "
                    "keyed ones, one of the same group with no longer a memory",
                )
            elif row.websocket is not None and kind.effect == "deduplicated":
                self.wrong(
                    place,
                    "a handshake carries no key, and could not be told from its repeat",
                    "write a class that is safe or unsafe",
                )
        if row.hooks:
            self.hooked[row.name] = HookedRoute(
                tuple(row.hooks), row.on_hook_fault == "pass", tuple(row.hook_classes)
            )

    def limits_of(self, row: RouteTableRow, at: str, whole: FileTable) -> None:
        """The limiters that a route's requests count under."""
        for number, name in enumerate(row.limiters):
            place, table = f"{at}.limiters[{number}]", whole.limiters.get(name)
            if table is None:
                self.wrong(place, f'no limiter is called "{name}"', did_you_mean(name, whole.limiters))
            elif name in row.limiters[:number]:
                self.wrong(place, f'"{name}" is named twice', "name each limiter once")
            elif isinstance(table, dict) and "tenant" in str(table.get("by")) and row.tenant is None:
                self.wrong(
                    place,
                    f'limiter "{name}" counts by tenant, and the route says none',
                    'write tenant = "header:X-Tenant", or a limiter by = "client"',
                )
        if len(row.limiters) > limiters.MOST_A_ROUTE:
            self.wrong(f"{at}.limiters", f"more than {limiters.MOST_A_ROUTE}", "keep those that matter")
        if row.limiters:
            self.limited[row.name] = tuple(row.limiters)

    def websocket(self, name: str, raw: object) -> WebSocket | None:
        place = key_path("websockets", name)
        self.name(name, place)
        table = read_table(WebSocketTable, raw, place, self.problems)
        if table is None:
            return None

        def time(key: str, least_us: int = 1) -> int:
            return duration_us(getattr(table, key), f"{place}.{key}", self.problems, least_us)

        for number, origin in enumerate(table.origins):
            if not ORIGIN.fullmatch(origin):
                self.wrong(
                    f"{place}.origins[{number}]",
                    f"{origin!r} is no origin",
                    "write scheme and host, and the port if it is not the usual one, "
                    'as "https://shop.example"',
                )
        return WebSocket(
            frozenset(origin.lower() for origin in table.origins),
            sockets.Limits(
                size_bytes(table.max_message, f"{place}.max_message", self.problems, 1, 1 << 30),
                table.messages_per_s,
                table.burst,
                table.max_per_tenant,
                time("lifetime", 0),
                time("idle_timeout"),
                time("ping_interval"),
                time("ping_timeout"),
                time("slow_timeout"),
                time("drain_grace", 0),
                time("drain_spread", 0),
                time("close_timeout"),
            ),
        )

    def path_of(self, row: RouteTableRow, at: str) -> tuple[PathKind, str]:
        given = [
            (key, value)
            for key in ("path", "path_exact", "path_regex")
            if (value := getattr(row, key)) is not None
        ]
        if len(given) > 1:
            self.wrong(at, f"{' and '.join(key for key, _ in given)} exclude each other", "keep one of them")
        key, value = given[0] if given else ("path", "/")
        if key == "path_regex":
            self.checked_regex(value, f"{at}.{key}")
            return PathKind.REGEX, value
        path = self.normal(value, f"{at}.{key}")
        if key == "path_exact":
            return PathKind.EXACT, path
        return PathKind.PREFIX, path.rstrip("/") or "/"

    def normal(self, value: str, place: str) -> str:
        try:
            path = normalise_path(value.encode())[1]
        except InvalidTargetError as error:
            self.wrong(place, f"{value!r} is no path: {error}", 'write a path that begins with "/"')
            return "/"
        if "?" in value or "#" in value:
            self.wrong(place, "a path has no query and no fragment", 'write query = { name = "value" }')
        return path

    def checked_regex(self, value: str, place: str) -> None:
        try:
            if len(value) > LONGEST_REGEX:
                raise ValueError(f"longer than {LONGEST_REGEX} characters")
            options = re2.Options()
            options.log_errors = False
            re2.compile(value, options)
        except (re2.error, ValueError) as error:
            text = error.args[0] if error.args else error
            text = text.decode() if isinstance(text, bytes) else text
            self.wrong(
                place,
                f"no regular expression of RE2: {text}",
                "look-around and back references are not taken, as they don't run in linear time",
            )

    def hosts(self, row: RouteTableRow, at: str) -> tuple[str, ...]:
        found = []
        for number, text in enumerate(row.hosts):
            place = f"{at}.hosts[{number}]"
            if text == "*" or text.startswith("~"):
                if text.startswith("~"):
                    self.checked_regex(text[1:], place)
                found.append("" if text == "*" else text)
                continue
            trails = text.endswith(".*") and not text.startswith("*.")
            text = text.removesuffix(".*") if trails else text
            wild, plain = ("*.", text[2:]) if text.startswith("*.") else ("", text)
            try:
                host = normalise_host(plain.encode("idna") if not plain.isascii() else plain.encode())
                if ":" in plain and not plain.startswith("["):
                    raise InvalidTargetError("a port")
            except (InvalidTargetError, UnicodeError):
                self.wrong(
                    place,
                    f"{text!r} is no host",
                    'write a name with no port, as "shop.example" or "*.example"',
                )
                continue
            host = wild + host + (".*" if trails else "")
            if host in found:
                self.wrong(place, f"{text!r} is named twice", "name each host once")
            found.append(host)
        return tuple(found)

    def methods(self, row: RouteTableRow, at: str, kind: RequestClass | None) -> frozenset[str]:
        for number, method in enumerate(row.methods):
            if not re.fullmatch(r"[A-Z-]{1,20}", method):
                self.wrong(f"{at}.methods[{number}]", f"{method!r} is no method", 'write capitals, as "POST"')
        methods = frozenset(row.methods)
        if not methods and kind is not None and kind.effect == "idempotent":
            # hazard: a POST that nobody thought of would be repeated
            return SAFE_METHODS
        return methods | {"HEAD"} if "GET" in methods else methods

    def predicates(self, raw: Mapping[str, str | bool], place: str, header: bool) -> tuple[Predicate, ...]:
        found = []
        for name, value in raw.items():
            if header:
                self.header_name(name, key_path(place, name))
                if name.lower() == "host":
                    self.wrong(key_path(place, name), "the host is matched by hosts", "write hosts = [...]")
            if value is False:
                self.wrong(key_path(place, name), "false is not taken", "write true, or the value wanted")
            wanted = value if isinstance(value, str) else None
            found.append(Predicate(name.lower() if header else name, wanted))
        return tuple(found)

    def rewrite(self, row: RouteTableRow, at: str, kind: PathKind, path: str) -> str | None:
        if row.rewrite is None:
            return None
        place = f"{at}.rewrite"
        if not row.rewrite.startswith("/"):
            self.wrong(place, "no path", 'write a path that begins with "/"')
        elif kind is PathKind.REGEX:
            try:
                groups = re2.compile(path).groups
            except re2.error:
                return row.rewrite  # told already
            used = [int(number) for number in re.findall(r"\\(\d)", row.rewrite)]
            if any(number > groups for number in used) or re.search(r"\\(?!\d)", row.rewrite):
                self.wrong(
                    place,
                    "names a group that the regular expression doesn't have",
                    r"write \1 for the first group in parentheses",
                )
        else:
            return self.normal(row.rewrite, place)
        return row.rewrite

    def set_headers(self, row: RouteTableRow, at: str, kind: PathKind, path: str) -> tuple[Plain, Filled]:
        """Those with the same value for all requests, and those that are filled with what one tells."""
        plain, filled = [], []
        for name, value in row.set_headers.items():
            place = key_path(f"{at}.set_headers", name)
            self.own_header(name, place)
            if not FIELD_VALUE.fullmatch(value):
                self.wrong(place, "the value is not plain text", "write printable ASCII")
            made = self.template(value, place, kind, path)
            if made.names:
                filled.append((self.header_name(name, place), made))
            else:
                plain.append((self.header_name(name, place), made.filled({}).encode("ascii", "replace")))
        return tuple(plain), tuple(filled)

    def removed(self, row: RouteTableRow, at: str) -> frozenset[bytes]:
        for number, name in enumerate(row.remove_headers):
            self.own_header(name, f"{at}.remove_headers[{number}]")
            self.header_name(name, f"{at}.remove_headers[{number}]")
        return frozenset(name.lower().encode("latin-1", "replace") for name in row.remove_headers)

    def own_header(self, name: str, place: str) -> None:
        if name.lower() in RESERVED:
            self.wrong(
                place, f"{name} is not the route's to change", "leave it out: it is kept right by itself"
            )

    def tenant(self, row: RouteTableRow, at: str) -> tuple[TenantSource, bytes]:
        if row.tenant is None:
            return TenantSource.NONE, b""
        source, header = self.source(row.tenant, f"{at}.tenant", TenantSource, "no source of a tenant")
        return source or TenantSource.NONE, header

    def client(self, row: RouteTableRow, at: str) -> tuple[ClientSource, bytes]:
        source, header = self.source(row.client, f"{at}.client", ClientSource, "no source of a client")
        return source or ClientSource.ADDRESS, header

    def source(self, text: str, place: str, kinds: type[Source], what: str) -> tuple[Source | None, bytes]:
        """Where something of a request is read: one of the words, or "header:NAME"."""
        words = [kind.value for kind in kinds if kind.value not in ("header", "none")]
        kind, _, name = text.partition(":")
        if kind == "header" and name:
            return kinds("header"), self.header_name(name, place).lower()
        if text in words:
            return kinds(text), b""
        told = ", ".join(f'"{word}"' for word in words)
        self.wrong(place, f"{text!r} is {what}", f'write {told} or "header:X-Name"')
        return None, b""
