"""Route matching: selects the route of a request by its host, path and predicates.

Of the routes that match, the first in this order is selected: host (exact, the longest leading wildcard, the
longest trailing wildcard, the first regular expression, any); priority (the highest); path (exact, regular
expression, the longest prefix); a method predicate; more header predicates; more query predicates; position
in the file. The order does not depend on the request, so the table is built once: a lookup accesses
dictionaries by the host, the whole path and each prefix, and runs one automaton for all regular expressions.
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
MAX_AUTOMATON_BYTES = 64 << 20  # memory for the regular expressions of one host


class PathKind(enum.IntEnum):
    """How the path of a route is matched; in order of precedence."""

    EXACT = 0
    REGEX = 1  # matches the whole path
    PREFIX = 2  # on segment boundaries: /buy matches /buy and /buy/it, not /buyer


class TenantSource(enum.Enum):
    """Where the tenant of a request is read from."""

    NONE = "none"
    HEADER = "header"
    HOST = "host"
    ADDRESS = "address"


class ClientSource(enum.Enum):
    """Where the client of a request is read from, for fair shares and rate limits."""

    ADDRESS = "address"
    FORWARDED = "forwarded"  # the address reported by a trusted proxy, otherwise that of the connection
    HEADER = "header"


@dataclass(frozen=True, slots=True)
class Predicate:
    """Requires that a header or query parameter is present and, unless `value` is None, has this value."""

    name: str  # in lower case if it is a header
    value: str | None = None


@dataclass(frozen=True, slots=True)
class FixedResponse:
    """The response of a route whose requests are not forwarded."""

    status: int
    location: Template | None = None
    body: Template | None = None
    content_type: str = "text/plain"


@dataclass(frozen=True, slots=True)
class Route:
    """A routing rule, and how the requests that match it are handled."""

    name: str
    pools: tuple[str, ...]  # in the order in which they are tried
    class_name: str
    # Empty, or "": any host. `*.a.example` matches all names below a.example, `www.a.*` all names that begin
    # with `www.a.`; after ~ comes a regular expression that is searched for in the name.
    hosts: tuple[str, ...] = ()
    path_kind: PathKind = PathKind.PREFIX
    path: str = "/"
    methods: frozenset[str] = frozenset()  # empty: any
    headers: tuple[Predicate, ...] = ()
    query: tuple[Predicate, ...] = ()
    priority: int = 0
    deadline_us: int = 0  # 0 = that of the class
    rewrite: str | None = None  # replaces the prefix or the whole path; may contain \1 if the path is a regex
    keep_query: bool = True  # False: the query is not forwarded
    set_headers: tuple[tuple[bytes, bytes], ...] = ()
    templated_headers: tuple[tuple[bytes, Template], ...] = ()  # also set, rendered from the request
    remove_headers: frozenset[bytes] = frozenset()  # in lower case
    tenant_from: TenantSource = TenantSource.NONE
    tenant_header: bytes = b""
    client_from: ClientSource = ClientSource.ADDRESS
    client_header: bytes = b""
    websocket: str = ""  # name of the limits of its sessions; empty: it accepts no handshakes
    listeners: frozenset[str] = frozenset()  # empty: any
    path_within: str = ""  # the path has to begin with this text,
    path_except: tuple[str, ...] = ()  # and with none of these texts
    max_body: int | None = None  # bytes; None: the limit of the listeners
    fixed_response: FixedResponse | None = None  # None: requests are forwarded to the pools

    def rank(self, position: int) -> tuple[int, ...]:
        """Return the sort key among the routes of one host; the smallest has precedence."""
        prefix_depth = -self.path.rstrip("/").count("/") if self.path_kind is PathKind.PREFIX else 0
        specificity = (not self.methods, -len(self.headers), -len(self.query))
        return (-self.priority, self.path_kind, prefix_depth, *specificity, position)


@dataclass(frozen=True, slots=True)
class Head:
    """The parts of a request that routes are matched against."""

    method: str
    host: str  # normalised; empty if the request has none
    path: str  # in the form for matching, see paths.py
    query: bytes
    headers: Mapping[bytes, bytes]  # names in lower case, values of one name joined by ", "
    listener: str = ""


class Miss(enum.Enum):
    """Why a route was not selected for a request."""

    LISTENER = "another listener"
    HOST = "another host"
    PATH = "another path"
    METHOD = "another method"
    HEADER = "a header is missing or has another value"
    QUERY = "a query parameter is missing or has another value"
    OUTRANKED = "matches, but another route goes first"


@dataclass(slots=True)
class Match:
    """The result of a lookup: a route, or the methods that routes of this host and path accept."""

    route: Route | None
    allowed: frozenset[str] = frozenset()


def query_parameters(query: bytes) -> dict[str, list[str]]:
    """Return the values of each parameter of a query, without decoding them."""
    found: dict[str, list[str]] = {}
    for part in query.decode("latin-1").split("&"):
        name, _, value = part.partition("=")
        found.setdefault(name, []).append(value)
    return found


def covers_path(prefix: str, path: str) -> bool:
    """Whether a path lies under a prefix, on a segment boundary."""
    prefix = prefix.rstrip("/")
    return path.startswith(prefix) and path[len(prefix) : len(prefix) + 1] in ("", "/")


def path_prefixes(path: str) -> Iterator[str]:
    """Yield all prefixes on segment boundaries, without a trailing slash, the longest first."""
    path = path.rstrip("/")
    while path:
        yield path
        path = path[: path.rfind("/")]
    yield ""


def predicate_miss(route: Route, head: Head) -> Miss | None:
    """Return the first of a route's predicates that a request does not meet; None if it meets all."""
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
    """A route and its sort key among the routes of its host."""

    rank: tuple[int, ...]
    route: Route


@dataclass(slots=True)
class HostRoutes:
    """The routes of one host, indexed for lookup."""

    exact: dict[str, list[RankedRoute]] = field(default_factory=dict)
    prefix: dict[str, list[RankedRoute]] = field(default_factory=dict)
    regex: list[RankedRoute] = field(default_factory=list)
    automaton: re2.Set | None = None

    def add(self, entry: RankedRoute) -> None:
        """Add a route to the index of its path kind."""
        if entry.route.path_kind is PathKind.EXACT:
            self.exact.setdefault(entry.route.path, []).append(entry)
        elif entry.route.path_kind is PathKind.PREFIX:
            self.prefix.setdefault(entry.route.path.rstrip("/"), []).append(entry)
        else:
            self.regex.append(entry)

    def compile_regexes(self) -> None:
        """Compile the regular expressions, once all routes have been added."""
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
        """Return the routes that match a path, in order of precedence."""
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
    """All routes of a configuration, immutable: a change makes a new table.

    Paths and hosts have to be normalised and regular expressions valid; config/operator.py ensures both.
    """

    def __init__(self, routes: Sequence[Route]) -> None:
        self.routes = tuple(routes)
        self._hosts: dict[str, HostRoutes] = {}
        self._host_regexes: list[tuple[Any, str]] = []  # (compiled, pattern), in file order
        for position, route in enumerate(self.routes):
            for host in route.hosts or ("",):
                self._hosts.setdefault(host, HostRoutes()).add(RankedRoute(route.rank(position), route))
        for host, group in self._hosts.items():
            group.compile_regexes()
            if host.startswith("~"):
                self._host_regexes.append((re2.compile(host[1:]), host))
        self._has_trailing_wildcards = any(host.endswith(".*") for host in self._hosts)

    def _matching_groups(self, host: str) -> Iterator[HostRoutes]:
        """Yield the groups of routes that match a host, in order of precedence."""
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
        """Return the route of a request, or the methods that would be accepted."""
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
        """Return every route with the reason why it was not selected; None for the selected one."""
        # This checks all routes one by one, so it is also the reference that `lookup` is tested against.
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
        """Return the sort key of a host pattern that matches; the order is that of `_matching_groups`."""
        if pattern == "":
            return 1 << 30
        if pattern.startswith("~"):
            names = [name for _, name in self._host_regexes]
            return (1 << 20) + names.index(pattern)
        if pattern.endswith(".*"):
            return 2000 - len(pattern)
        return 0 if pattern == host else 999 - len(pattern)


def host_matches(pattern: str, host: str) -> bool:
    """Whether a host pattern of a route matches the host of a request."""
    if pattern.startswith("~"):
        return bool(host) and re2.search(pattern[1:], host) is not None
    if pattern.endswith(".*"):
        return host.startswith(pattern[:-1]) and len(host) >= len(pattern)
    if pattern.startswith("*."):
        return host.endswith(pattern[1:]) and len(host) >= len(pattern)
    return pattern in ("", host)


def path_matches(route: Route, path: str) -> bool:
    """Whether the path of a route matches the path of a request."""
    if route.path_kind is PathKind.EXACT:
        return route.path == path
    if route.path_kind is PathKind.PREFIX:
        return covers_path(route.path, path)
    return re2.fullmatch(route.path, path) is not None


def shadows(first: Route, second: Route) -> bool:
    """Whether `first`, which has precedence, matches all requests that `second` matches.

    Sound but not complete: two regular expressions are only compared for equality.
    """
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
    # path_within and path_except of the two routes are only compared with each other, not with their paths
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
    """Return the routes that are never selected, each with one that always has precedence."""
    groups: dict[str, list[RankedRoute]] = {}
    for position, route in enumerate(routes):
        for host in route.hosts or ("",):
            groups.setdefault(host, []).append(RankedRoute(route.rank(position), route))
    shadowed: dict[str, list[tuple[Route, Route]]] = {}
    for group in groups.values():
        index = HostRoutes()
        for entry in group:
            index.add(entry)
        index.compile_regexes()
        for entry in group:
            candidates = _candidates(index, entry.route)
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
    # a route is unreachable only if it is shadowed on all of its hosts
    return [found[0] for found in shadowed.values() if len(found) == max(1, len(found[0][0].hosts))]


def _candidates(index: HostRoutes, route: Route) -> list[RankedRoute]:
    """Return the routes of a host that could match all paths of another route."""
    if route.path_kind is PathKind.REGEX:
        return index.prefix.get("", []) + [entry for entry in index.regex if entry.route.path == route.path]
    return index.by_path(route.path)


def regex_groups(route: Route, path: str) -> list[str]:
    """Return nine groups of a route's regular expression in a path; empty strings for missing ones."""
    groups: list[str] = []
    if route.path_kind is PathKind.REGEX:
        found = re2.fullmatch(route.path, path)
        groups = [text or "" for text in found.groups()] if found is not None else []
    return (groups + [""] * 9)[:9]


def rewritten_path(route: Route, path: str) -> str:
    """Return the path to forward, given the normalised path of a request in the form that is forwarded.

    Raises InvalidTargetError if the rewrite does not result in a path. The prefix is cut off by counting
    segments, because the two forms of a path may differ in length.
    """
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
