"""The operator's file, `[pools.NAME]`: servers, lists of servers, and the bounds on their use."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

from plovertrail.config.classes import ClassReader
from plovertrail.config.descriptors import (
    MOST_BY_DEFAULT,
    PoolNeed,
    default_connections,
    descriptors_allowed,
)
from plovertrail.config.problems import Problem, did_you_mean
from plovertrail.config.schema import (
    FairTable,
    GuardsTable,
    OverrideTable,
    PoolTable,
    ServerTable,
    ShareTable,
)
from plovertrail.config.setup import ListenerSetup, PoolSetup
from plovertrail.config.table_reader import TableReader
from plovertrail.config.tables import duration_us, key_path, read_table
from plovertrail.decisions.affinity import Affinity, AffinitySource
from plovertrail.decisions.endpoint_list import Guards, ListedEndpoint
from plovertrail.decisions.fair_queue import FairQueueSettings
from plovertrail.decisions.fleet_limits import FleetLimits
from plovertrail.decisions.settings import RequestClass, Settings, Tenant


@dataclass(frozen=True, slots=True)
class PoolContext:
    """What the rest of the file says that concerns its pools."""

    classes: Mapping[str, RequestClass]
    tenants: Sequence[Tenant]
    weights: tuple[tuple[str, float], ...]  # of the tenants that write one
    instances: int
    home_zone: str


class PoolReader(TableReader):
    """Reads pools."""

    def __init__(self, problems: list[Problem], context: PoolContext) -> None:
        super().__init__(problems)
        self.context = context

    def pool(self, name: str, raw: object) -> PoolSetup | None:
        """One pool; None if its table is wrong."""
        place = key_path("pools", name)
        self.name(name, place)
        table = read_table(PoolTable, raw, place, self.problems)
        if table is None:
            return None
        classes = self._classes(table, place)
        self._check_sources(table, "servers" in raw, place)  # type: ignore[operator]
        guards = self._guards(table, place)
        servers = self._servers(table.servers, place)
        share = read_table(ShareTable, table.share, f"{place}.share", self.problems) or ShareTable()
        settings = self._settings(table, classes, place)
        return PoolSetup(
            name=name,
            settings=settings,
            idle_us=duration_us(table.idle_timeout, f"{place}.idle_timeout", self.problems, 0),
            max_connections=table.max_connections or MOST_BY_DEFAULT,
            servers=servers,
            home_zone=self.context.home_zone,
            files=tuple(table.servers_from),
            checksum=table.whole == "checksum",
            guards=guards,
            max_sockets=table.max_sockets,
            max_sockets_per_server=table.max_sockets_per_server or table.max_sockets,
            bounds=FleetLimits(share.servers, share.connections, share.dials_per_s),
            door=self._door(table, place, settings.max_retry_after_us),
            affinity=self._affinity(table, place),
            even_part=table.max_connections is None,
        )

    def _classes(self, table: PoolTable, place: str) -> list[RequestClass]:
        """All classes, with what this pool changes of them."""
        known = self.context.classes
        own = dict(known)
        for name, item in table.classes.items():
            at = key_path(f"{place}.classes", name)
            if name not in known:
                self.wrong(at, f'no class is called "{name}"', did_you_mean(name, known))
                continue
            changes = read_table(OverrideTable, item, at, self.problems)
            if changes is not None:
                own[name] = ClassReader(self.problems).overridden(known[name], changes, at)
        return list(own.values())

    def _check_sources(self, table: PoolTable, lists_servers: bool, place: str) -> None:
        """Whether it says where its servers are, and names each list once."""
        if not lists_servers and not table.servers_from:
            self.wrong(place, "it has no servers", 'write servers = [...] or servers_from = ["FILE"]')
        if len(set(table.servers_from)) < len(table.servers_from) or "" in table.servers_from:
            self.wrong(f"{place}.servers_from", "a path is empty or named twice", "name each file once")

    def _guards(self, table: PoolTable, place: str) -> Guards:
        """What a list must hold to for it to be taken."""
        read = read_table(GuardsTable, table.guards, f"{place}.guards", self.problems) or GuardsTable()
        return Guards(
            read.allow_empty,
            read.most_dropped,
            read.judged_from,
            read.allow_older,
            read.largest_weight,
            frozenset(read.zones),
            read.damping,
        )

    def _settings(self, table: PoolTable, classes: list[RequestClass], place: str) -> Settings:
        """Those of the decisions on this pool's requests."""

        def time(key: str, least_us: int = 1) -> int:
            return duration_us(getattr(table, key), f"{place}.{key}", self.problems, least_us)

        return Settings(
            classes=classes or [RequestClass("none", 1, 1)],
            tenants=list(self.context.tenants),
            instances=self.context.instances,
            zone=0,
            max_attempts=table.attempts,
            max_retry_after_us=time("retry_after"),
            connect_timeout_us=time("connect_timeout"),
            cancel=True,
            hedging=table.second_copies,
            warm_up_initial_capacity=table.cold_share,
            warm_up_us=time("warm_up", 0),
            overload_factor=table.overload_factor,
            overload_duration_us=time("fall", 0),
            cross_zone_fee=table.cross_zone_cost,
            weighted=True,
            select_by_weight=True,
        )

    def _affinity(self, table: PoolTable, place: str) -> Affinity | None:
        """What a pool's requests have in common that should meet at one server."""
        if table.affinity is None:
            return None
        source, header = self.source(
            table.affinity, f"{place}.affinity", AffinitySource, "nothing that requests have in common"
        )
        return Affinity(source, header) if source is not None else None

    def _door(self, table: PoolTable, place: str, max_retry_after_us: int) -> FairQueueSettings | None:
        """How a pool's slots are shared among tenants."""
        if table.fair is None:
            return None
        place = f"{place}.fair"
        fair = read_table(FairTable, table.fair, place, self.problems) or FairTable()
        wait_us = duration_us(fair.max_wait, f"{place}.max_wait", self.problems)
        return FairQueueSettings(
            self.context.weights, fair.default_weight, fair.max_waiting, wait_us, max_retry_after_us
        )

    def _servers(self, raw: list[Any], place: str) -> tuple[ListedEndpoint, ...]:
        """The servers that the file itself lists; no two may have one id or one address."""
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
            found.append(ListedEndpoint(table.id, address, table.zone, table.cell, table.weight, table.drain))
        return tuple(found)


def with_even_parts(
    listeners: Sequence[ListenerSetup], pools: Mapping[str, PoolSetup]
) -> dict[str, PoolSetup]:
    """The pools, of which those that write no max_connections share the descriptors that are left."""
    part = default_connections(
        sum(1 + listener.max_connections for listener in listeners),
        (
            PoolNeed(None if pool.even_part else pool.max_connections, pool.max_sockets)
            for pool in pools.values()
        ),
        descriptors_allowed(),
    )
    return {
        name: replace(pool, max_connections=part) if pool.even_part else pool for name, pool in pools.items()
    }
