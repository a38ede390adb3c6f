"""Which route a request takes: host, path and predicates, in a stated order of precedence.

Of the routes that match, the first in this order wins: host (exact, the longest wildcard, any); priority (the
highest); path (exact, regular expression, the longest prefix); a method named; more headers named; more query
parameters named; place in the file. The order doesn't depend on the request, so the table is laid out once:
a lookup asks a dictionary for the host, one for the whole path, one for each prefix of the path, and one
automaton for all regular expressions of the host.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import re2

from plovertrail.decisions.paths import InvalidTargetError, normalise_path
from plovertrail.decisions.templates import Template

SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))
MAX_AUTOMATON_BYTES = 64 << 20  # of memory for the regular expressions of one host


class PathKind(enum.IntEnum):
    """How a route's path is meant; the order is that of precedence."""

    EXACT = 0
    REGEX = 1  # of the whole path, as rules see it
    PREFIX = 2  # on segment borders: /buy takes /buy and /buy/it, not /buyer


class TenantSource(enum.Enum):
    """Where a request's tenant is read."""

    NONE = "none"
    HEADER = "header"
    HOST = "host"
    ADDRESS = "address"


class ClientSource(enum.Enum):
    """Where it is read whose request it is, for shares and limits."""

    ADDRESS = "address"
    FORWARDED = "forwarded"  # the address that a trusted proxy in front tells; else that of the connection
    HEADER = "header"


@dataclass(frozen=True, slots=True)
class Predicate:
    """Of a header or query parameter: it is there and, unless `value` is None, has this value."""

    name: str  # of a header: in lower case
    value: str | None = None


@dataclass(frozen=True, slots=True)
class FixedResponse:
    """What a route answers by itself."""

    status: int
    location: Template | None = None
    body: Template | None = None
    content_type: str = "text/plain"


@dataclass(frozen=True, slots=True)
class Route:
    """One rule, and what becomes of the requests that it takes."""

    name: str
    pools: tuple[str, ...]  # asked in this order
    class_name: str
    # empty, or "": any; `*.a.example` takes all names below a.example, `www.a.*` all that begin so, and what
    # begins with ~ is a regular expression that is searched for in the name
    hosts: tuple[str, ...] = ()
    path_kind: PathKind = PathKind.PREFIX
    path: str = "/"
    methods: frozenset[str] = frozenset()  # empty: any
    headers: tuple[Predicate, ...] = ()
    query: tuple[Predicate, ...] = ()
    priority: int = 0
    deadline_us: int = 0  # 0 = the class's
    rewrite: str | None = None  # of the prefix, of the whole path, or a replacement with \1 for the regex
    keep_query: bool = True  # False: it doesn't go on to the server
    set_headers: tuple[tuple[bytes, bytes], ...] = ()
    templated_headers: tuple[tuple[bytes, Template], ...] = ()  # set as well, with what the request tells
    remove_headers: frozenset[bytes] = frozenset()  # in lower case
    tenant_from: TenantSource = TenantSource.NONE
    tenant_header: bytes = b""
    client_from: ClientSource = ClientSource.ADDRESS
    client_header: bytes = b""
    websocket: str = ""  # the name of the limits of its sockets; empty: it opens none
    listeners: frozenset[str] = frozenset()  # empty: any
    path_within: str = ""  # the path begins with this text,
    path_except: tuple[str, ...] = ()  # and with none of these
    max_body: int | None = None  # bytes; None: as long as the listeners take
    fixed_response: FixedResponse | None = None  # it sends its requests to no server

    def rank(self, position: int) -> tuple[int, ...]:
        """Its place among the routes of one host: the smallest goes first."""
        prefix_depth = -self.path.rstrip("/").count("/") if self.path_kind is PathKind.PREFIX else 0
        specificity = (not self.methods, -len(self.headers), -len(self.query))
        return (-self.priority, self.path_kind, prefix_depth, *specificity, position)


@dataclass(frozen=True, slots=True)
class Head:
    """What routes look at."""

    method: str
    host: str  # normalised; empty if the request names none
    path: str  # as rules see it
    query: bytes
    headers: Mapping[bytes, bytes]  # names in lower case, values of one name joined by ", "
    listener: str = ""


class Miss(enum.Enum):
    """Why a route does not take a request."""

    LISTENER = "another listener"
    HOST = "another host"
    PATH = "another path"
    METHOD = "another method"
    HEADER = "a header is missing or other"
    QUERY = "a query parameter is missing or other"
    OUTRANKED = "matches, but another route goes first"


@dataclass(slots=True)
class Match:
    """What a lookup found: a route, or the methods that would have been taken."""

    route: Route | None
    allowed: frozenset[str] = frozenset()


def query_parameters(query: bytes) -> dict[str, list[str]]:
    """The parameters of a query, undecoded."""
    found: dict[str, list[str]] = {}
    for part in query.decode("latin-1").split("&"):
        name, _, value = part.partition("=")
        found.setdefault(name, []).append(value)
    return found


def covers_path(prefix: str, path: str) -> bool:
    """Whether a path lies under a prefix, on a segment border."""
    prefix = prefix.rstrip("/")
    return path.startswith(prefix) and path[len(prefix) : len(prefix) + 1] in ("", "/")


def path_prefixes(path: str) -> Iterator[str]:
    """All prefixes on segment borders, without a slash at their end, the longest first."""
    path = path.rstrip("/")
    while path:
        yield path
        path = path[: path.rfind("/")]
    yield ""


def predicate_miss(route: Route, head: Head) -> Miss | None:
    """The first of a route's predicates that the request doesn't meet."""
    if route.listeners and head.listener not in route.listeners:
        return Miss.LISTENER
    if not head.path.startswith(route.path_within) or (
        route.path_except and head.path.startswith(route.path_except)
    ):
        return Miss.PATH
    if route.methods and head.method not in route.methods:
        return Miss.METHOD
    for predicate in route.headers:
        value = head.headers.get(predicate.name.encode("latin-1"))
        if value is None or (predicate.value is not None and value.decode("latin-1") != predicate.value):
            return Miss.HEADER
    if route.query:
        parameters = query_parameters(head.query)
        for predicate in route.query:
            values = parameters.get(predicate.name)
            if values is None or (predicate.value is not None and predicate.value not in values):
                return Miss.QUERY
    return None


@dataclass(slots=True)
class RankedRoute:
    """A route and its place among those of its host."""

    rank: tuple[int, ...]
    route: Route


@dataclass(slots=True)
class HostRoutes:
    """The routes of one host, laid out for lookup."""

    exact: dict[str, list[RankedRoute]] = field(default_factory=dict)
    prefix: dict[str, list[RankedRoute]] = field(default_factory=dict)
    regex: list[RankedRoute] = field(default_factory=list)
    automaton: re2.Set | None = None

    def add(self, entry: RankedRoute) -> None:
        """Add a route under its kind of path."""
        if entry.route.path_kind is PathKind.EXACT:
            self.exact.setdefault(entry.route.path, []).append(entry)
        elif entry.route.path_kind is PathKind.PREFIX:
            self.prefix.setdefault(entry.route.path.rstrip("/"), []).append(entry)
        else:
            self.regex.append(entry)

    def compile_regexes(self) -> None:
        """All routes have been added."""
        if self.regex:
            options = re2.Options()
            options.max_mem = MAX_AUTOMATON_BYTES
            options.log_errors = False
            automaton = re2.Set.FullMatchSet(options)
            for entry in self.regex:
                automaton.Add(entry.route.path)
            automaton.Compile()
            self.automaton = automaton

    def by_path(self, path: str) -> list[RankedRoute]:
        """The routes whose path takes this one, in their order."""
        found = list(self.exact.get(path, ()))
        if self.automaton is not None:
            found += [self.regex[number] for number in self.automaton.Match(path) or ()]
        if self.prefix:
            for prefix in path_prefixes(path):
                found += self.prefix.get(prefix, ())
        if len(found) > 1:
            found.sort(key=lambda entry: entry.rank)
        return found


class RouteTable:
    """All routes. An immutable value: a change makes a new one. Paths and hosts must be normalised, regular
    expressions valid (config/operator.py sees to both)."""

    def __init__(self, routes: Sequence[Route]) -> None:
        self.routes = tuple(routes)
        self._hosts: dict[str, HostRoutes] = {}
        self._host_regexes: list[tuple[Any, str]] = []  # in the order of the file
        for position, route in enumerate(self.routes):
            for host in route.hosts or ("",):
                self._hosts.setdefault(host, HostRoutes()).add(RankedRoute(route.rank(position), route))
        for host, group in self._hosts.items():
            group.compile_regexes()
            if host.startswith("~"):
                self._host_regexes.append((re2.compile(host[1:]), host))
        self._has_trailing_wildcards = any(host.endswith(".*") for host in self._hosts)

    def _matching_groups(self, host: str) -> Iterator[HostRoutes]:
        """Those that take a host, the closest first."""
        if host:
            if host in self._hosts:
                yield self._hosts[host]
            suffix = host
            while "." in suffix and not suffix.startswith("["):
                suffix = suffix.partition(".")[2]
                if "*." + suffix in self._hosts:
                    yield self._hosts["*." + suffix]
            prefix = host
            while self._has_trailing_wildcards and "." in prefix:
                prefix = prefix.rpartition(".")[0]
                if prefix + ".*" in self._hosts:
                    yield self._hosts[prefix + ".*"]
            for regex, name in self._host_regexes:
                if regex.search(host):
                    yield self._hosts[name]
        if "" in self._hosts:
            yield self._hosts[""]

    def lookup(self, head: Head) -> Match:
        """The route that takes a request."""
        allowed: set[str] = set()
        for group in self._matching_groups(head.host):
            for entry in group.by_path(head.path):
                miss = predicate_miss(entry.route, head)
                if miss is None:
                    return Match(entry.route)
                if miss is Miss.METHOD:
                    allowed |= entry.route.methods
        return Match(None, frozenset(allowed))

    def explain(self, head: Head) -> list[tuple[Route, Miss | None]]:
        """Every route with the reason why it doesn't take a request; None for the one that does. Goes through
        all routes one by one, so it is also the yardstick of `lookup`."""
        results: list[tuple[Route, Miss | None]] = []
        best: tuple[tuple[int, ...], int] | None = None
        for position, route in enumerate(self.routes):
            host_rank = min(
                (
                    self._host_order(host, head.host)
                    for host in route.hosts or ("",)
                    if host_matches(host, head.host)
                ),
                default=None,
            )
            miss: Miss | None
            if host_rank is None:
                miss = Miss.HOST
            elif not path_matches(route, head.path):
                miss = Miss.PATH
            else:
                miss = predicate_miss(route, head)
                if miss is None:
                    rank = (host_rank, *route.rank(position))
                    if best is None or rank < best[0]:
                        best = rank, position
                    miss = Miss.OUTRANKED
            results.append((route, miss))
        if best is not None:
            results[best[1]] = results[best[1]][0], None
        return results

    def _host_order(self, pattern: str, host: str) -> int:
        """Exact, then the longest wildcard at the front, the longest at the end, the first regular
        expression, any."""
        if pattern == "":
            return 1 << 30
        if pattern.startswith("~"):
            names = [name for _, name in self._host_regexes]
            return (1 << 20) + names.index(pattern)
        if pattern.endswith(".*"):
            return 2000 - len(pattern)
        return 0 if pattern == host else 999 - len(pattern)


def host_matches(pattern: str, host: str) -> bool:
    """Whether a route's host takes that of a request."""
    if pattern.startswith("~"):
        return bool(host) and re2.search(pattern[1:], host) is not None
    if pattern.endswith(".*"):
        return host.startswith(pattern[:-1]) and len(host) >= len(pattern)
    if pattern.startswith("*."):
        return host.endswith(pattern[1:]) and len(host) >= len(pattern)
    return pattern in ("", host)


def path_matches(route: Route, path: str) -> bool:
    """Whether a route's path takes that of a request."""
    if route.path_kind is PathKind.EXACT:
        return route.path == path
    if route.path_kind is PathKind.PREFIX:
        return covers_path(route.path, path)
    return re2.fullmatch(route.path, path) is not None


def shadows(first: Route, second: Route) -> bool:
    """Whether `first`, which goes before `second`, takes all that `second` would. Sound, not complete: of two
    regular expressions only equal ones are told."""
    if first.path_kind is PathKind.EXACT:
        covered = second.path_kind is PathKind.EXACT and first.path == second.path
    elif first.path_kind is PathKind.PREFIX:
        covered = first.path == "/" or (
            second.path_kind is not PathKind.REGEX and covers_path(first.path, second.path)
        )
    elif second.path_kind is PathKind.EXACT:
        covered = path_matches(first, second.path)
    else:
        covered = second.path_kind is PathKind.REGEX and first.path == second.path
    # what a path must begin with, or must not, is told from the second's own words alone
    covered = (
        covered
        and second.path_within.startswith(first.path_within)
        and set(first.path_except) <= set(second.path_except)
        and (not first.listeners or (bool(second.listeners) and second.listeners <= first.listeners))
    )
    return (
        covered
        and (not first.methods or (bool(second.methods) and second.methods <= first.methods))
        and set(first.headers) <= set(second.headers)
        and set(first.query) <= set(second.query)
    )


def unreachable(routes: Sequence[Route]) -> list[tuple[Route, Route]]:
    """The routes that never take a request, each with one that always goes first."""
    groups: dict[str, list[RankedRoute]] = {}
    for position, route in enumerate(routes):
        for host in route.hosts or ("",):
            groups.setdefault(host, []).append(RankedRoute(route.rank(position), route))
    shadowed: dict[str, list[tuple[Route, Route]]] = {}
    for group in groups.values():
        layout = HostRoutes()
        for entry in group:
            layout.add(entry)
        layout.compile_regexes()
        for entry in group:
            candidates = _candidates(layout, entry.route)
            shadowing = next(
                (
                    other.route
                    for other in candidates
                    if other.rank < entry.rank and shadows(other.route, entry.route)
                ),
                None,
            )
            if shadowing is not None:
                shadowed.setdefault(entry.route.name, []).append((entry.route, shadowing))
    # one that is reached by any of its hosts is reached
    return [found[0] for found in shadowed.values() if len(found) == max(1, len(found[0][0].hosts))]


def _candidates(layout: HostRoutes, route: Route) -> list[RankedRoute]:
    """The routes of a host that could take all of another's paths."""
    if route.path_kind is PathKind.REGEX:
        return layout.prefix.get("", []) + [entry for entry in layout.regex if entry.route.path == route.path]
    return layout.by_path(route.path)


def regex_groups(route: Route, path: str) -> list[str]:
    """Nine groups of a route's regular expression in a path as rules see it; empty where there is none."""
    groups: list[str] = []
    if route.path_kind is PathKind.REGEX:
        found = re2.fullmatch(route.path, path)
        groups = [text or "" for text in found.groups()] if found is not None else []
    return (groups + [""] * 9)[:9]


def rewritten_path(route: Route, path: str) -> str:
    """The path that goes to the server, from the normalised one of the request; raises InvalidTargetError if
    the route's replacement makes none. Prefixes are counted in segments, as the two forms of a path may
    differ in length."""
    if route.rewrite is None:
        return path
    if route.path_kind is PathKind.EXACT:
        rewritten = route.rewrite
    elif route.path_kind is PathKind.PREFIX:
        depth = route.path.rstrip("/").count("/")
        rest = path.split("/")[1 + depth :]
        rewritten = "/".join([route.rewrite.rstrip("/"), *rest]) if rest else route.rewrite
    else:
        matching_path = normalise_path(path.encode("latin-1"))[1]
        rewritten = re2.sub(f"^(?:{route.path})$", route.rewrite, matching_path)
    if not rewritten.startswith("/"):
        raise InvalidTargetError("rewritten to no path")
    return normalise_path(rewritten.encode("latin-1"))[0]
