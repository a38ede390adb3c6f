"""An nginx configuration as an operator's file, and a report on each of its directives.

What can't be carried over and decides who may pass, or what a request becomes, shuts its location: the import
answers 501 there and names the line. Requests are safe to repeat only for GET and HEAD; nothing that nginx
says of retries makes another one so.
"""

from __future__ import annotations

from dataclasses import dataclass

from plovertrail.nginx.context import ImportContext, UnmappableServerError
from plovertrail.nginx.directives import GUARDS, INHERITED, KNOWN
from plovertrail.nginx.location_blocks import read_locations
from plovertrail.nginx.location_routes import LocationRoutes
from plovertrail.nginx.locations import Kind, NestedPatternsError, Region, order
from plovertrail.nginx.operator_file import OperatorFile
from plovertrail.nginx.report import Report
from plovertrail.nginx.scope import Scope, guard_note, time_ms, time_text
from plovertrail.nginx.tree import Directive, Tree
from plovertrail.nginx.upstreams import read_group
from plovertrail.nginx.variables import UnmappableError
from plovertrail.nginx.virtual_servers import ServerBlock, VirtualServers

LISTENER_TIMES = (
    ("idle_timeout", ("keepalive_timeout",)),
    ("read_timeout", ("client_header_timeout", "client_body_timeout")),
)


class NothingToServeError(Exception):
    """No server block of the configuration listens where the daemon can."""


@dataclass
class Imported:
    """What has become of a configuration."""

    text: str
    report: Report


class Importer:
    """Imports one configuration, once."""

    def __init__(self, tree: Tree) -> None:
        self.tree = tree
        self.main = Scope(tree.main)
        self.context = ImportContext()
        self.report = self.context.report
        self.routes = self.context.routes
        self.servers = VirtualServers(self.report)

    def run(self) -> Imported:
        """Raises NothingToServeError, and AssertionError where the result would not pass `check`."""
        self._read_includes()
        blocks: list[ServerBlock] = []
        for http in self.main.own("http"):
            self.report.mapped(http)
            blocks += self._read_http(Scope(http.block or [], self.main), len(blocks))
        self.servers.place(blocks)
        live = [server for server in blocks if server.listens]
        if not live:
            raise NothingToServeError("no server block listens on an IPv4 address without TLS")
        for server in live:
            self._add_server(server)
        times = self._listener_times()
        self._read_leftovers()
        self.report.close(self.tree)
        return Imported(OperatorFile(self.context, self.servers, times).checked_text(), self.report)

    def _read_includes(self) -> None:
        for include in self.tree.walk():
            if include.name == "include" and include.block is None:
                if include.wrong:
                    self.report.not_mapped(include, include.wrong)
                else:
                    self.report.mapped(include, "read in" if include.args else "")

    # http

    def _read_http(self, scope: Scope, known: int) -> list[ServerBlock]:
        """The server blocks of an http block, numbered on from `known`; what else it declares is taken up."""
        for block in scope.own("upstream"):
            self._read_upstream(block)
        for block in scope.own("map"):
            self._read_map(block)
        self.context.limits.zones(scope)
        return [
            ServerBlock(block, Scope(block.block or [], scope), known + number)
            for number, block in enumerate(scope.own("server"), 1)
        ]

    def _read_upstream(self, block: Directive) -> None:
        groups = self.context.groups
        name = block.args[0] if block.args else ""
        if name in groups:
            self.report.not_mapped_block(block, f"{groups[name].where} has this name: nginx refuses it")
            return
        group = groups[name] = read_group(block, self.report)
        names = [other.name for other in groups.values() if other is not group]
        while group.name in names or f"{group.name}-backup" in names:
            group.name += "-"

    def _read_map(self, block: Directive) -> None:
        """Of maps the usual one for WebSockets is taken up, and one that has only a default."""
        inner = block.block or []
        if _is_constant_map(block):
            default = next(each for each in inner if each.name == "default")
            self.context.constants[block.args[1].removeprefix("$")] = default.args[0]
            for each in (block, *inner):
                self.report.mapped(each, "a constant")
        elif _is_upgrade_map(block):
            self.context.upgrade_variables.add(block.args[1])
            for each in (block, *inner):
                self.report.mapped(each, "a client that asks for a WebSocket")
        else:
            self.report.not_mapped_block(
                block, "variables by a map have no counterpart: write a route for each value"
            )

    # One server

    def _add_server(self, server: ServerBlock) -> None:
        """Add the routes of a server, all in the order in which nginx would choose."""
        self.report.mapped(server.directive, "hosts of its routes")
        self.routes.begin(server.number, self.servers.placings(server))
        plain = all(address.endswith(":80") for address, _ in server.listens)
        routes = LocationRoutes(self.context, "http://{host}" if plain else "http://{host}:{port}")
        try:
            guard = server.scope.guard()
            if guard is not None:
                raise UnmappableServerError(guard, guard_note(guard))
            if routes.answer_all(server.scope):
                return
            locations = read_locations(server.scope, self.report)
            for rule in order(locations):
                routes.add_rule(rule)
        except NestedPatternsError as nested:
            why = "two patterns that must hold together can't be one route"
            self._shut_server(server, nested.location.directive, why)
        except UnmappableServerError as unmappable:
            self._shut_server(server, unmappable.by, unmappable.why)
        else:
            if not any(each.text == "/" for each in locations if each.kind in (Kind.PREFIX, Kind.FINAL)):
                # where no location matches nginx serves files
                self.routes.fixed(server.directive, Region(), 404, "no route")

    def _shut_server(self, server: ServerBlock, by: Directive, why: str) -> None:
        """All requests of a server are answered 501, for a directive that isn't carried over."""
        self.report.not_mapped(by, f"{why}; the whole server is answered 501")
        self.report.differs(server.directive, f"all of it is answered 501, for {by.place}: {by.name}")
        self.routes.begin(server.number, self.servers.placings(server))
        self.routes.fixed(by, Region(), 501, f"not imported from nginx: {by.place}: {by.name}")
        for each in server.directive.block or []:
            if each.name in ("location", "return", "rewrite"):
                self.report.not_mapped_block(each, f"its server is answered 501, for {by.place}")

    # What no location has taken up

    def _listener_times(self) -> dict[str, str]:
        """keepalive_timeout, and how long a client may take to send; for all listeners the longest."""
        found: dict[str, str] = {}
        for key, names in LISTENER_TIMES:
            given = [each for each in self.tree.walk() if each.name in names and not self.report.known(each)]
            times_ms: list[int] = []
            for directive in given:
                try:
                    times_ms.append(time_ms(directive.args[0] if directive.args else ""))
                    self.report.differs(directive, f"{key} of all listeners: the longest that is written")
                except UnmappableError as why:
                    self.report.not_mapped(directive, str(why))
            longest_ms = max(times_ms, default=0)
            if longest_ms:
                found[key] = time_text(longest_ms)
        return found

    def _read_leftovers(self) -> None:
        """What is known and nobody has taken up; what no imported location inherits has no effect."""
        for directive in self.tree.written:
            if self.report.known(directive):
                continue
            if directive.name == "set":
                self._read_set(directive)
            elif directive.name in GUARDS:
                self.report.not_mapped(directive, guard_note(directive))
            elif directive.name in KNOWN:
                self.report.mark(directive, *KNOWN[directive.name])
                for inner in directive.inner():
                    if not self.report.known(inner):
                        self.report.mark(inner, *KNOWN[directive.name])
            elif directive.name in INHERITED:
                self.report.no_effect(directive, "nothing that is imported inherits it")

    def _read_set(self, directive: Directive) -> None:
        """One `set`: constants are filled in where they are used; of others each use is told."""
        if len(directive.args) == 2 and "$" not in directive.args[1]:
            self.report.differs(directive, "its value stands where it is used, if it is set once")
        else:
            self.report.not_mapped(directive, "a variable that isn't constant: what uses it isn't imported")


def _is_constant_map(block: Directive) -> bool:
    """Whether a map has only a default, with no variable in it."""
    entries = [each for each in block.block or [] if each.name not in ("hostnames", "volatile")]
    return (
        len(block.args) == 2
        and [each.name for each in entries] == ["default"]
        and len(entries[0].args) == 1
        and "$" not in entries[0].args[0]
    )


def _is_upgrade_map(block: Directive) -> bool:
    """Whether a map is the usual one that makes a Connection header of an Upgrade."""
    return (
        len(block.args) == 2
        and block.args[0] == "$http_upgrade"
        and all(each.name in ("default", "") or each.name.startswith("'") for each in block.block or [])
    )
