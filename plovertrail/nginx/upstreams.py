"""upstream blocks and addresses behind proxy_pass, as pools."""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass, field

from plovertrail.nginx.report import Report
from plovertrail.nginx.scope import time_ms, time_text
from plovertrail.nginx.tree import Directive
from plovertrail.nginx.variables import UnmappableError

MOST_ATTEMPTS = 10
LARGEST_WEIGHT = 1000
METHODS = {
    "least_conn": "servers are drawn at random among free slots, which a busy one has fewer of",
    "random": "servers are drawn at random among free slots",
    "least_time": "servers are drawn at random among free slots, which a slow one has fewer of",
}
AFFINITIES = {
    "$remote_addr": "client",
    "$binary_remote_addr": "client",
    "$uri": "path",
    "$request_uri": "path",
    "$document_uri": "path",
}


@dataclass(slots=True)
class Server:
    """A server of an upstream block; `where` is its file and line."""

    address: str
    weight: int
    down: bool
    where: str


@dataclass(slots=True)
class Group:
    """The servers of one upstream, first and backup ones apart, and what its locations ask of it."""

    name: str
    where: str
    first: list[Server] = field(default_factory=list)
    backup: list[Server] = field(default_factory=list)
    max_conns: int = 0  # the smallest of its servers'
    idle_ms: int = 0  # 0 = as the daemon has it
    connect_ms: int = 0  # the shortest that a location asks for
    tries: int = 0  # the fewest
    sockets: bool = False
    affinity: str = ""
    used: bool = False

    @property
    def pools(self) -> list[str]:
        """The names of its pools, in the order in which they are asked."""
        names = [self.name] if self.first or not self.backup else []
        return names + ([f"{self.name}-backup"] if self.backup else [])

    @property
    def attempts(self) -> int:
        """nginx tries each server once; the classes say what may be tried again."""
        return max(1, min(self.tries or MOST_ATTEMPTS, len(self.first) + len(self.backup), MOST_ATTEMPTS))


def pool_name(name: str) -> str:
    """An upstream's name as one of ours."""
    plain = re.sub(r"[^A-Za-z0-9_.-]", "-", name)[:50].lstrip("_.-")
    return plain or "upstream"


def address_of(text: str) -> str:
    """IPv4 address and port; raises UnmappableError."""
    host, colon, port = text.rpartition(":")
    if not colon:
        host, port = text, "80"
    host = "127.0.0.1" if host == "localhost" else host
    if text.startswith("unix:"):
        raise UnmappableError("Unix sockets are not dialled: write an address and port")
    try:
        plain = str(ipaddress.IPv4Address(host))
    except ValueError:
        raise UnmappableError(
            f"{host!r} is no IPv4 address, and names are not looked up: write its address, or a "
            "list in servers_from"
        ) from None
    if not port.isdecimal() or not 0 < int(port) < 65_536:
        raise UnmappableError(f"{port!r} is no port")
    return f"{plain}:{int(port)}"


def read_group(block: Directive, report: Report) -> Group:
    """Read one upstream block, and report on its directives."""
    group = Group(pool_name(block.args[0] if block.args else ""), block.place)
    for directive in block.block or []:
        _read_directive(group, directive, report)
    if not group.first and not group.backup:
        report.differs(block, "no server of it can be used: its pool refuses all with 503")
    elif all(server.down for server in (*group.first, *group.backup)):
        report.differs(block, "all its servers are down: its pool refuses all with 503, where nginx says 502")
    else:
        report.mapped(block, f"pools.{group.name}")
    return group


def _read_directive(group: Group, directive: Directive, report: Report) -> None:
    name = directive.name
    if name == "server":
        _read_server(group, directive, report)
    elif name in METHODS and len(directive.args) <= 2:
        report.differs(directive, METHODS[name])
    elif name in ("ip_hash", "hash"):
        _read_affinity(group, directive, report)
    elif name == "sticky":
        report.not_mapped(directive, "no cookies are set: write affinity by a header of the client's")
    elif name == "keepalive":
        report.differs(directive, "idle connections are kept as needed, pools.NAME.max_connections at most")
    elif name == "keepalive_timeout":
        try:
            group.idle_ms = time_ms(directive.args[0] if directive.args else "")
            report.mapped(directive, "pools.NAME.idle_timeout")
        except UnmappableError as why:
            report.not_mapped(directive, str(why))
    elif name in ("keepalive_requests", "keepalive_time"):
        report.differs(directive, "connections end when they are idle for long, and by no count")
    elif name == "zone":
        report.no_effect(directive, "the daemon is one process")
    elif name in ("queue", "state", "ntlm"):
        report.not_mapped(directive, "nothing of the kind here")


def _read_affinity(group: Group, directive: Directive, report: Report) -> None:
    """What ip_hash or hash chooses a server by."""
    key = directive.args[0] if directive.name == "hash" and directive.args else "$remote_addr"
    group.affinity = AFFINITIES.get(key, "")
    if key.startswith("$http_") and key[6:].replace("_", "").isalnum():
        group.affinity = "header:" + key[6:].replace("_", "-")
    if group.affinity:
        report.differs(
            directive,
            "affinity of the pool: a preference, while the server has a free slot; "
            "which server it is differs",
        )
    else:
        report.not_mapped(
            directive, f"{key} is nothing that a pool's affinity goes by: servers are drawn at random"
        )


@dataclass(slots=True)
class _ServerOptions:
    """The options of a server directive, and the notes on those that mean something else here."""

    weight: int = 1
    backup: bool = False
    down: bool = False
    max_conns: int = 0  # 0 = no limit
    notes: list[str] = field(default_factory=list)

    def read(self, option: str) -> None:
        """Read one option; raises UnmappableError."""
        key, _, value = option.partition("=")
        if key == "weight":
            self.weight = _number(value, key, 1)
        elif key == "backup":
            self.backup = True
            self.notes.append("backup servers get requests also while the first ones have no free slot")
        elif key == "down":
            self.down = True
        elif key == "max_conns":
            self.max_conns = _number(value, key, 0)
            self.notes.append(
                "max_conns is connections of this daemon to each server, the least of the block's"
            )
        elif key in ("max_fails", "fail_timeout"):
            self.notes.append(f"{key}: the daemon rests a failing server by what it sees of its answers")
        elif key == "slow_start":
            self.notes.append(
                "slow_start: pools.NAME.warm_up holds, for servers that come to a running daemon"
            )
        else:
            raise UnmappableError(f"{option} has no counterpart")


def _read_server(group: Group, directive: Directive, report: Report) -> None:
    options = _ServerOptions()
    try:
        if not directive.args:
            raise UnmappableError("it names no server")
        address = address_of(directive.args[0])
        for option in directive.args[1:]:
            options.read(option)
    except UnmappableError as why:
        report.not_mapped(directive, f"the server is left out: {why}")
        return
    if options.weight > LARGEST_WEIGHT:
        options.notes.append(f"a weight is {LARGEST_WEIGHT} at most")
        options.weight = LARGEST_WEIGHT
    servers = group.backup if options.backup else group.first
    same = next((each for each in (*group.first, *group.backup) if each.address == address), None)
    if same is not None:
        if same in servers and not options.down and not same.down:
            same.weight = min(LARGEST_WEIGHT, same.weight + options.weight)
            report.differs(directive, f"{same.where} has this address: their weights are added up")
        else:
            report.not_mapped(directive, f"left out: {same.where} has this address in another role")
        return
    servers.append(Server(address, options.weight, options.down, directive.place))
    if options.max_conns:
        group.max_conns = min(group.max_conns or options.max_conns, options.max_conns)
    for note in options.notes:
        report.differs(directive, note)
    if not options.notes:
        report.mapped(directive, "down: it drains" if options.down else "")


def _number(text: str, key: str, least: int) -> int:
    if not text.isdecimal() or int(text) < least:
        raise UnmappableError(f"{key}={text} is no whole number from {least} on")
    return int(text)


def pool_text(group: Group) -> list[str]:
    """A group's pools as an operator's file has them."""
    lines: list[str] = []
    for name, servers in ((group.name, group.first), (f"{group.name}-backup", group.backup)):
        if name not in group.pools:
            continue
        lines += [f"# {group.where}", f"[pools.{quoted_key(name)}]", f"attempts = {group.attempts}"]
        if group.connect_ms:
            lines.append(f'connect_timeout = "{time_text(group.connect_ms)}"')
        if group.idle_ms:
            lines.append(f'idle_timeout = "{time_text(group.idle_ms)}"')
        if group.affinity:
            lines.append(f'affinity = "{group.affinity}"')
        if group.sockets:
            lines.append("max_sockets = 1000")
        if group.max_conns:
            lines.append(f"share = {{ connections = {group.max_conns} }}")
        lines.append("servers = [")
        for number, server in enumerate(servers, 1):
            extra = (f", weight = {server.weight}" if server.weight != 1 else "") + (
                ", drain = true" if server.down else ""
            )
            lines.append(
                f'    {{ id = "s{number}", address = "{server.address}"{extra} }},  # {server.where}'
            )
        lines += ["]", ""]
    return lines


def quoted_key(name: str) -> str:
    """A name as a key of TOML, in quotes if it needs them."""
    plain = name.replace("-", "").replace("_", "")
    return name if plain.isascii() and plain.isalnum() else f'"{name}"'
