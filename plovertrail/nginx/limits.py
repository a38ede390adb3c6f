"""limit_req and limit_conn as limiters."""

from __future__ import annotations

import json
from dataclasses import dataclass

from plovertrail.nginx.report import Report
from plovertrail.nginx.routes import RouteSettings
from plovertrail.nginx.scope import Scope, size_bytes
from plovertrail.nginx.tree import Directive
from plovertrail.nginx.upstreams import pool_name
from plovertrail.nginx.variables import UnmappableError

BYTES_A_KEY = 128  # of nginx's zones, about
MOST_KEYS = 100_000
MOST_A_ROUTE = 8
MOST_LIMITERS = 32


@dataclass(frozen=True, slots=True)
class Zone:
    """A limit_req_zone or limit_conn_zone: what it counts by, how many keys it has, and its rate."""

    directive: Directive
    by: str
    tenant: str  # where it is read, if it counts by tenant
    keys: int
    rate_per_s: float = 0.0


class Limits:
    """The zones of http, and the limiters that locations make of them."""

    def __init__(self, report: Report) -> None:
        self.report = report
        self.rates: dict[str, Zone] = {}
        self.counts: dict[str, Zone] = {}
        self.limiters: dict[str, list[str]] = {}  # their lines, by name

    def zones(self, scope: Scope) -> None:
        """Read the zones of an http block and report on each."""
        for name, into in (("limit_req_zone", self.rates), ("limit_conn_zone", self.counts)):
            for directive in scope.own(name):
                try:
                    key, zone = self._zone(directive)
                    into[key] = zone
                    self.report.mapped(directive, "limiters of the routes that use it")
                except UnmappableError as why:
                    self.report.not_mapped(directive, str(why))

    def _zone(self, directive: Directive) -> tuple[str, Zone]:
        if not directive.args:
            raise UnmappableError("it has no key")
        by, tenant = _keyed(directive.args[0])
        name, keys, rate = "", 0, 0.0
        for option in directive.args[1:]:
            key, _, value = option.partition("=")
            if key == "zone":
                name, _, size = value.partition(":")
                keys = min(MOST_KEYS, max(1, size_bytes(size) // BYTES_A_KEY))
            elif key == "rate":
                count, _, each = value.partition("r/")
                if not count.isdecimal() or each not in ("s", "m"):
                    raise UnmappableError(f"{value!r} is no rate")
                rate = int(count) / (60 if each == "m" else 1)
            else:
                raise UnmappableError(f"{option} has no counterpart")
        if not name or (directive.name == "limit_req_zone" and rate <= 0):
            raise UnmappableError("it has no zone, or no rate")
        return name, Zone(directive, by, tenant, keys, rate)

    def of(self, scope: Scope, settings: RouteSettings, server: int) -> None:
        """The limiters of a location's routes."""
        for directive in scope.nearest("limit_req"):
            self._use(directive, self.rates, settings, server)
        for directive in scope.nearest("limit_conn"):
            self._use(directive, self.counts, settings, server)
        for name in ("limit_req_dry_run", "limit_conn_dry_run"):
            dry = scope.one(name)
            if dry is not None:
                if dry.args == ("off",):
                    self.report.no_effect(dry, "limits hold")
                else:
                    self.report.not_mapped(dry, "limits hold at once; leave them out of the routes till then")

    def _use(
        self, directive: Directive, zones: dict[str, Zone], settings: RouteSettings, server: int
    ) -> None:
        try:
            name, lines, note = self._limiter(directive, zones, settings, server)
        except UnmappableError as why:
            self.report.not_mapped(directive, f"{why}; no limit holds in its place")
            return
        if name not in self.limiters and len(self.limiters) >= MOST_LIMITERS:
            self.report.not_mapped(
                directive, f"more than {MOST_LIMITERS} limiters; no limit holds in its place"
            )
            return
        self.limiters[name] = lines
        if name not in settings.limiters:
            settings.limiters.append(name)
        self.report.differs(directive, note)

    def _limiter(
        self, directive: Directive, zones: dict[str, Zone], settings: RouteSettings, server: int
    ) -> tuple[str, list[str], str]:
        if not directive.args:
            raise UnmappableError("it names no zone")
        rate = directive.name == "limit_req"
        options = dict(option.partition("=")[::2] for option in directive.args)
        name = options.get("zone", "") if rate else directive.args[0]
        if name not in zones:
            raise UnmappableError(f"no zone is called {name!r}, or it isn't imported")
        zone = zones[name]
        if zone.tenant:
            if settings.tenant not in ("", zone.tenant):
                raise UnmappableError("another limit of this location counts by another key")
            settings.tenant = zone.tenant
        if len(settings.limiters) >= MOST_A_ROUTE:
            raise UnmappableError(f"more than {MOST_A_ROUTE} limits on a location")
        called = pool_name(name)[:30]
        by_server = zone.by == "server"
        lines = [f'by = "{"all" if by_server else zone.by}"', f"max_keys = {zone.keys}"]
        if zone.tenant:
            lines.append('unlisted = "each"')
        if rate:
            burst = options.get("burst", "0")
            if not burst.isdecimal():
                raise UnmappableError(f"burst={burst} is no whole number")
            called += f"-burst{int(burst)}"
            lines += [f"rate_per_s = {zone.rate_per_s!r}", f"burst = {int(burst) + 1}"]
            note = "limiters; what nginx delays within the burst goes on at once; over it: 429"
        else:
            if len(directive.args) < 2 or not directive.args[1].isdecimal() or directive.args[1] == "0":
                raise UnmappableError("it has no number of connections")
            called += f"-{int(directive.args[1])}"
            lines.append(f"concurrent = {int(directive.args[1])}")
            note = "limiters, concurrent: requests that are open, not connections; over it: 429"
        if by_server:
            called += f"-s{server}"
        return (
            called,
            [f"# {directive.place}, {zone.directive.place}", f'[limiters."{called}"]', *lines, ""],
            note,
        )

    def text(self) -> list[str]:
        """The lines of all limiters, as tables of the operator's file."""
        return [line for lines in self.limiters.values() for line in lines]


def _keyed(key: str) -> tuple[str, str]:
    """What a zone counts by: `by` of a limiter, and where a tenant is read. Raises UnmappableError."""
    if key in ("$binary_remote_addr", "$remote_addr"):
        return "client", ""
    if key == "$server_name":
        return "server", ""
    if "$" not in key:
        return "all", ""
    if key in ("$host", "$http_host"):
        return "tenant", "host"
    if key.startswith("$http_") and key[6:].replace("_", "").isalnum():
        return "tenant", "header:" + key[6:].replace("_", "-")
    raise UnmappableError(f"a limit by {json.dumps(key)} has no counterpart")
