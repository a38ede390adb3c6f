"""The operator's file: listeners, pools, classes, routes, limits (docs/operator.md has every key).

Read whole or not at all: all that is wrong with it is told at once, each with its place. What comes out is
an immutable value that the daemon can be built from; nothing is opened or started here.
"""

from __future__ import annotations

import hashlib
import tomllib
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from plovertrail.config.classes import ClassReader
from plovertrail.config.fellows import FellowsSetup, read_fellows
from plovertrail.config.hooks import read_hooks
from plovertrail.config.limiters import read_limiters
from plovertrail.config.listeners import ListenerReader
from plovertrail.config.peers import PeersSetup, read_peers
from plovertrail.config.pools import PoolContext, PoolReader, with_even_parts
from plovertrail.config.problems import ConfigError, Problem
from plovertrail.config.routes import RouteReader
from plovertrail.config.setup import FleetSetup, MessageLimits, PoolSetup, Setup
from plovertrail.config.table_reader import TableReader
from plovertrail.config.tables import key_path, read_table, size_bytes
from plovertrail.config.written import DaemonTable, FileTable, FleetTable, LimitsTable, TenantTable
from plovertrail.decisions.interface import Tenant
from plovertrail.decisions.routes import RouteTable
from plovertrail.decisions.share import Fleet

LARGEST_FILE = 16 << 20


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
    setup = _SetupReader(path, problems).setup(raw)
    if problems or setup is None:
        raise ConfigError(path, problems)
    return setup


class _SetupReader(TableReader):
    """Reads the tables one after the other."""

    def __init__(self, path: str, problems: list[Problem]) -> None:
        super().__init__(problems)
        self.path = path

    def setup(self, raw: dict[str, Any]) -> Setup | None:
        """The whole file; None if anything is wrong with it."""
        whole = read_table(FileTable, raw, "", self.problems) or _what_there_is(raw)
        limits, instances = self._limits(whole.limits)
        tenants, fleet_tenants = self._tenants(whole.tenants, bool(whole.peers))
        classes, key_headers = ClassReader(self.problems).classes(whole.classes)
        listener_reader = ListenerReader(self.problems)
        listeners = listener_reader.listeners(whole.listeners)
        home_zone = str(whole.limits.get("zone", ""))
        daemon = read_table(DaemonTable, whole.daemon, "daemon", self.problems) or DaemonTable()
        context = PoolContext(classes, tenants, _weights(whole.tenants), instances, home_zone)
        pools = with_even_parts(listeners, self._pools(whole.pools, context))
        websockets = {
            name: made
            for name, item in whole.websockets.items()
            if (made := listener_reader.websocket(name, item)) is not None
        }
        fleet = self._fleet(whole.fleet, instances, pools)
        hooks = read_hooks(whole.hooks, self.problems)
        limited_by = read_limiters(whole.limiters, whole.tenants, bool(whole.peers), self.problems)
        peers = self._peers(whole, instances)
        fellows = self._fellows(whole, peers, home_zone)
        route_reader = RouteReader(self.problems, classes, whole)
        routes = route_reader.routes(whole.routes)
        if not whole.routes and "routes" in raw:
            self.wrong("routes", "there is no route", "write at least one [[routes]]")
        if not whole.listeners and "listeners" in raw:
            self.wrong("listeners", "there is no listener", "write at least one [listeners.NAME]")
        if self.problems:
            return None
        return Setup(
            path=self.path,
            limits=limits,
            listeners=tuple(listeners),
            pools=pools,
            classes=tuple(classes.values()),
            key_headers=key_headers,
            tenants=tuple(tenants),
            routes=RouteTable(routes),
            state_file=daemon.state_file,
            control_socket=daemon.control_socket,
            socket_log=daemon.socket_log,
            websockets=websockets,
            fleet=fleet,
            hooks=hooks,
            hooked=route_reader.hooked,
            limiters=limited_by,
            limited=route_reader.limited,
            peers=peers,
            fleet_tenants=fleet_tenants,
            fellows=fellows,
            watched=daemon.reload == "watch",
        )

    def _limits(self, raw: object) -> tuple[MessageLimits, int]:
        """The bounds of messages, and the number of instances."""
        table = read_table(LimitsTable, raw, "limits", self.problems) or LimitsTable()

        def size(key: str, least: int, most: int) -> int:
            return size_bytes(getattr(table, key), f"limits.{key}", self.problems, least, most)

        return MessageLimits(
            size("max_head", 1 << 10, 1 << 20),
            size("max_body", 0, 64 << 20),
            size("max_answer", 1 << 10, 64 << 20),
        ), table.instances

    def _tenants(self, raw: dict[str, Any], talks: bool) -> tuple[list[Tenant], frozenset[int]]:
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

    def _pools(self, raw: Mapping[str, object], context: PoolContext) -> dict[str, PoolSetup]:
        """Those that are right, by name."""
        reader = PoolReader(self.problems, context)
        return {name: pool for name, item in raw.items() if (pool := reader.pool(name, item)) is not None}

    def _fleet(self, raw: object, instances: int, pools: Mapping[str, PoolSetup]) -> FleetSetup:
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

    def _peers(self, whole: FileTable, instances: int) -> PeersSetup | None:
        """The instances that count together; None: this one counts alone."""
        if not whole.peers:
            return None
        return read_peers(whole.peers, self.address, self.environment, instances, self.problems)

    def _fellows(self, whole: FileTable, peers: PeersSetup | None, home_zone: str) -> FellowsSetup | None:
        """How instances know one another; None: they don't."""
        if whole.fellows is None:
            return None
        if not whole.peers:
            self.wrong("fellows", "instances know one another by [peers], and there is none", "write [peers]")
            return None
        return read_fellows(whole.fellows, peers, home_zone, self.problems)


def _what_there_is(raw: Mapping[str, Any]) -> FileTable:
    """Of a file with unknown or missing tables, so that it is read on and all problems are told at once."""
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
    return FileTable(**parts)


def _weights(raw: Mapping[str, Any]) -> tuple[tuple[str, float], ...]:
    """Of the tenants."""
    return tuple(
        (name, float(item.get("weight", 1.0)))
        for name, item in raw.items()
        if isinstance(item, dict) and isinstance(item.get("weight", 1.0), int | float)
    )
