"""Virtual servers: where server blocks listen, which is the default there, and which names each has."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Sequence
from dataclasses import dataclass, field

from plovertrail.nginx.locations import runs
from plovertrail.nginx.report import Report
from plovertrail.nginx.scope import Scope
from plovertrail.nginx.tree import Directive
from plovertrail.nginx.variables import UnmappableError

USUAL_ADDRESS = "0.0.0.0:80"  # of a server without a listen
LISTEN_FLAGS = ("default_server", "default")
LISTEN_HINTS = re.compile(
    r"(backlog|rcvbuf|sndbuf|fastopen|so_keepalive|setfib|accept_filter)=.*|deferred|bind|"
    r"reuseport|ipv6only=.*"
)
HOST_ALIASES = {"*": "0.0.0.0", "localhost": "127.0.0.1"}


@dataclass(eq=False)
class ServerBlock:
    """A server block, and what the choice of servers has found out about it."""

    directive: Directive
    scope: Scope
    number: int
    listens: list[tuple[str, bool]] = field(default_factory=list)  # address, and whether it is the default
    names: list[tuple[str, Directive]] = field(default_factory=list)  # as the operator's file has them
    lost: set[tuple[str, str]] = field(default_factory=set)  # addresses and names that are another server's


@dataclass(frozen=True, slots=True)
class Listen:
    """A listen directive of a server, or its server directive where it has none."""

    server: ServerBlock
    is_default: bool
    directive: Directive


class VirtualServers:
    """Places the server blocks of a configuration on listeners."""

    def __init__(self, report: Report) -> None:
        self.report = report
        self.listeners: dict[str, str] = {}  # the name of each listener, by address
        self.places: dict[str, str] = {}  # where each address is first listened on, as FILE:LINE
        self._wanted: dict[str, list[Listen]] = {}  # by address

    def place(self, servers: Sequence[ServerBlock]) -> None:
        """Give each server its addresses and names; one that no request reaches is left with no address."""
        for server in servers:
            self._read_listens(server)
        self._drop_covered_addresses()
        self._name_listeners()
        for server in servers:
            if server.listens:
                self._read_names(server)
            else:
                self.report.not_mapped_block(
                    server.directive, "it listens on nothing that the daemon can listen on"
                )
        self._settle_repeated_names(servers)
        for server in servers:
            if server.listens and not self.placings(server):
                server.listens = []
                self.report.not_mapped_block(server.directive, "no request reaches it but one without a Host")

    def placings(self, server: ServerBlock) -> list[tuple[list[str], list[str]]]:
        """Hosts and listeners, those with the same hosts together: a default server takes any host, and a
        name that another server has on one address may be its own on the next."""
        found: dict[tuple[str, ...], list[str]] = {}
        for address, is_default in server.listens:
            hosts = [name for name, _ in server.names if (address, name) not in server.lost]
            if is_default:
                hosts.append("*")
            if hosts:
                found.setdefault(tuple(hosts), []).append(self.listeners[address])
        return [(list(hosts), listeners) for hosts, listeners in found.items()]

    def _read_listens(self, server: ServerBlock) -> None:
        listens = server.scope.own("listen")
        for listen in listens:
            self._read_listen(server, listen)
        if not listens:
            self._wanted.setdefault(USUAL_ADDRESS, []).append(Listen(server, False, server.directive))
            self.report.differs(server.directive, "it listens nowhere: taken for port 80")

    def _read_listen(self, server: ServerBlock, listen: Directive) -> None:
        text, options = (listen.args[0], listen.args[1:]) if listen.args else ("", ())
        try:
            address = listen_address(text)
            hints = [option for option in options if LISTEN_HINTS.fullmatch(option)]
            for option in options:
                if option not in hints and option not in LISTEN_FLAGS:
                    raise UnmappableError(f"{option}: the daemon speaks plain HTTP/1.1; end it in front")
        except UnmappableError as why:
            self.report.not_mapped(listen, str(why))
            return
        is_default = any(option in LISTEN_FLAGS for option in options)
        self._wanted.setdefault(address, []).append(Listen(server, is_default, listen))
        if hints:
            self.report.differs(listen, f"{' '.join(hints)}: as the daemon has it")
        else:
            self.report.mapped(listen, f"listeners.{listener_name(address)}")

    def _drop_covered_addresses(self) -> None:
        """An address of a port that all addresses are listened on: the daemon has one of the two."""
        for address in [each for each in self._wanted if not each.startswith("0.0.0.0:")]:
            wide = f"0.0.0.0:{address.rpartition(':')[2]}"
            if wide in self._wanted:
                for listen in self._wanted.pop(address):
                    self.report.not_mapped(
                        listen.directive, f"{wide} is listened on as well: the daemon has one of them"
                    )

    def _name_listeners(self) -> None:
        for address, found in self._wanted.items():
            first = next((listen.server for listen in found if listen.is_default), found[0].server)
            self.listeners[address] = listener_name(address)
            self.places[address] = found[0].directive.place
            for server in dict.fromkeys(listen.server for listen in found):
                server.listens.append((address, server is first))

    def _read_names(self, server: ServerBlock) -> None:
        for directive in server.scope.own("server_name"):
            for name in directive.args:
                try:
                    for host in hosts_of(name):
                        if host not in [known for known, _ in server.names]:
                            server.names.append((host, directive))
                    if not self.report.known(directive):
                        self.report.mapped(directive, "hosts")
                except UnmappableError as why:
                    self.report.not_mapped(directive, f"{name}: {why}")

    def _settle_repeated_names(self, servers: Sequence[ServerBlock]) -> None:
        """Of servers with the same name on the same address the first has it."""
        taken: dict[tuple[str, str], Directive] = {}
        for server in servers:
            for address, _ in server.listens:
                for name, directive in server.names:
                    before = taken.setdefault((address, name), directive)
                    if before is not directive:
                        server.lost.add((address, name))
                        self.report.differs(
                            directive,
                            f"{name}: {before.place} has this name already on {address}, "
                            "and nginx ignores the second",
                        )


def listener_name(address: str) -> str:
    """The name of the listener on an address."""
    return "nginx-" + address.replace(":", "-")


def listen_address(text: str) -> str:
    """The address of a listen directive as IPv4 address and port; raises UnmappableError."""
    if text.startswith("unix:") or text.startswith("["):
        raise UnmappableError("the daemon listens on IPv4 addresses only")
    host, colon, port = text.rpartition(":")
    if not colon:
        host, port = ("*", text) if text.isdecimal() else (text, "80")
    try:
        return f"{ipaddress.IPv4Address(HOST_ALIASES.get(host, host))}:{int(port)}"
    except ValueError:
        raise UnmappableError(f"{text!r} is no IPv4 address and port") from None


def hosts_of(name: str) -> list[str]:
    """A server_name as hosts; raises UnmappableError."""
    if name.startswith("~"):
        regex = f"(?i){name[1:]}"
        if wrong := runs(regex):
            raise UnmappableError(wrong)
        return [f"~{regex}"]
    low = name.lower().rstrip(".")
    found = [low[1:], f"*{low}"] if low.startswith(".") else [low]
    for host in found:
        plain = host.removeprefix("*.").removesuffix(".*")
        if (
            not re.fullmatch(r"[a-z0-9_](?:[a-z0-9_.-]*[a-z0-9_-])?", plain)
            or ".." in plain
            or (host.startswith("*.") and host.endswith(".*"))
        ):
            raise UnmappableError("no name that requests come with")
    return found
