"""The operator's file, `[[routes]]`: each route as a whole, and what it names in other tables."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from plovertrail.config import limiters
from plovertrail.config.hooks import MOST_A_ROUTE
from plovertrail.config.problems import Problem, did_you_mean
from plovertrail.config.route_actions import RouteActionsReader
from plovertrail.config.route_conditions import RouteConditionsReader
from plovertrail.config.schema import FileTable, RouteTableRow
from plovertrail.config.setup import HookedRoute
from plovertrail.config.table_reader import TableReader
from plovertrail.config.tables import duration_us, key_path, read_table, size_bytes
from plovertrail.decisions.routes import ClientSource, Route, TenantSource, unreachable
from plovertrail.decisions.settings import RequestClass
from plovertrail.decisions.verdicts import at_least_as_strict

LARGEST_BODY = 64 << 20


class RouteReader(TableReader):
    """Reads routes. `hooked` and `limited` have the hooks and the limiters of those read so far, by name."""

    def __init__(
        self, problems: list[Problem], classes: Mapping[str, RequestClass], whole: FileTable
    ) -> None:
        super().__init__(problems)
        self.classes = classes
        self.whole = whole
        self.conditions = RouteConditionsReader(problems)
        self.actions = RouteActionsReader(problems)
        self.hooked: dict[str, HookedRoute] = {}
        self.limited: dict[str, tuple[str, ...]] = {}

    def routes(self, raw: list[Any]) -> list[Route]:
        """All routes that are right, each with a name of its own; one that nothing can reach is a problem."""
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
            route = self._route(row, f'{at} ("{row.name}")')
            if route is not None:
                found.append(route)
        for route, by in unreachable(found) if not self.problems else []:
            self.wrong(
                f'routes[{names[route.name]}] ("{route.name}")',
                f'never reached: route "{by.name}" takes all that it would',
                "remove it, or give it a longer path, more predicates or a higher priority",
            )
        return found

    def _route(self, row: RouteTableRow, at: str) -> Route | None:
        """One route; None if it is wrong."""
        known = len(self.problems)
        self._check_pools(row, at)
        kind = self._class(row, at)
        path_kind, path = self.conditions.path_of(row, at)
        deadline_us = self._deadline_us(row, at, kind)
        self._check_listeners(row, at)
        max_body = self._max_body(row, at)
        plain, filled = self.actions.set_headers(row, at, path_kind, path)
        tenant_from, tenant_header = self._tenant(row, at)
        client_from, client_header = self._client(row, at)
        route = Route(
            row.name,
            tuple(row.pools),
            row.class_name,
            self.conditions.hosts(row, at),
            path_kind,
            path,
            self.conditions.methods(row, at, kind),
            self.conditions.predicates(row.headers, f"{at}.headers", header=True),
            self.conditions.predicates(row.query, f"{at}.query", header=False),
            row.priority,
            deadline_us,
            self.actions.rewrite(row, at, path_kind, path),
            row.keep_query,
            plain,
            filled,
            self.actions.removed(row, at),
            tenant_from,
            tenant_header,
            client_from,
            client_header,
            row.websocket or "",
            frozenset(row.listeners),
            self.conditions.beginning(row.path_within, f"{at}.path_within") if row.path_within else "",
            tuple(
                self.conditions.beginning(text, f"{at}.path_except[{number}]")
                for number, text in enumerate(row.path_except)
            ),
            max_body,
            self.actions.fixed_answer(row, at, path_kind, path),
        )
        if row.websocket is not None:
            self._check_sockets(row, at, kind)
        self._read_hooks(row, at)
        self._read_limiters(row, at)
        return route if len(self.problems) == known else None

    def _check_pools(self, row: RouteTableRow, at: str) -> None:
        """Whether there are its pools, each named once."""
        for number, pool in enumerate(row.pools):
            if pool not in self.whole.pools:
                self.wrong(
                    f"{at}.pools[{number}]",
                    f'no pool is called "{pool}"',
                    did_you_mean(pool, self.whole.pools),
                )
            elif pool in row.pools[:number]:
                self.wrong(f"{at}.pools[{number}]", f'"{pool}" is named twice', "name each pool once")

    def _class(self, row: RouteTableRow, at: str) -> RequestClass | None:
        """The class of its requests; a route that answers by itself has none."""
        kind = self.classes.get(row.class_name)
        if row.respond is not None:
            self._check_without_servers(row, at)
        elif not row.pools or not row.class_name:
            missing = "pools" if not row.pools else "class"
            self.wrong(at, f"the key {missing} is missing", f"write {missing} = ..., or respond = {{ ... }}")
        elif kind is None:
            self.wrong(
                f"{at}.class",
                f'no class is called "{row.class_name}"',
                did_you_mean(row.class_name, self.classes),
            )
        return kind

    def _deadline_us(self, row: RouteTableRow, at: str, kind: RequestClass | None) -> int:
        """Its own deadline, within that of its class; 0: none."""
        if row.deadline is None:
            return 0
        deadline_us = duration_us(row.deadline, f"{at}.deadline", self.problems)
        if kind is not None and deadline_us > kind.deadline_us:
            self.wrong(
                f"{at}.deadline",
                f'longer than that of class "{kind.name}"',
                "write a shorter one, or a class of its own",
            )
        return deadline_us

    def _check_listeners(self, row: RouteTableRow, at: str) -> None:
        """Whether there are the listeners that it names."""
        for number, name in enumerate(row.listeners):
            if name not in self.whole.listeners:
                self.wrong(
                    f"{at}.listeners[{number}]",
                    f'no listener is called "{name}"',
                    did_you_mean(name, self.whole.listeners),
                )

    def _max_body(self, row: RouteTableRow, at: str) -> int | None:
        """The longest body of a request, in bytes; None: that of the file."""
        if row.max_body is None:
            return None
        return size_bytes(row.max_body, f"{at}.max_body", self.problems, 0, LARGEST_BODY)

    def _check_without_servers(self, row: RouteTableRow, at: str) -> None:
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

    def _check_sockets(self, row: RouteTableRow, at: str, kind: RequestClass | None) -> None:
        """Whether a route whose requests may become sockets has all that they need."""
        place = f"{at}.websocket"
        if row.websocket not in self.whole.websockets:
            self.wrong(
                place,
                f'no table is called websockets."{row.websocket}"',
                did_you_mean(row.websocket or "", self.whole.websockets),
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
            table = self.whole.pools.get(pool)
            if isinstance(table, dict) and not table.get("max_sockets"):
                self.wrong(
                    f"{at}.pools[{number}]",
                    f'pool "{pool}" takes no sockets',
                    f"write {key_path('pools', pool)}.max_sockets, as 1000",
                )

    def _read_hooks(self, row: RouteTableRow, at: str) -> None:
        """A route's hooks, and rule 2 for the classes that they may choose."""
        for number, name in enumerate(row.hooks):
            if name not in self.whole.hooks:
                self.wrong(
                    f"{at}.hooks[{number}]",
                    f'no hook is called "{name}"',
                    did_you_mean(name, self.whole.hooks),
                )
            elif name in row.hooks[:number]:
                self.wrong(f"{at}.hooks[{number}]", f'"{name}" is named twice', "name each hook once")
        if len(row.hooks) > MOST_A_ROUTE:
            self.wrong(f"{at}.hooks", f"more than {MOST_A_ROUTE}", "join some of them into one module")
        if row.hook_classes and not row.hooks:
            self.wrong(f"{at}.hook_classes", "the route has no hooks to choose", "write hooks = [...]")
        own = self.classes.get(row.class_name)
        for number, name in enumerate(row.hook_classes):
            place, kind = f"{at}.hook_classes[{number}]", self.classes.get(name)
            if kind is None:
                self.wrong(place, f'no class is called "{name}"', did_you_mean(name, self.classes))
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

    def _read_limiters(self, row: RouteTableRow, at: str) -> None:
        """The limiters that a route's requests count under."""
        for number, name in enumerate(row.limiters):
            place, table = f"{at}.limiters[{number}]", self.whole.limiters.get(name)
            if table is None:
                self.wrong(place, f'no limiter is called "{name}"', did_you_mean(name, self.whole.limiters))
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

    def _tenant(self, row: RouteTableRow, at: str) -> tuple[TenantSource, bytes]:
        """Where a request's tenant is read."""
        if row.tenant is None:
            return TenantSource.NONE, b""
        source, header = self.source(row.tenant, f"{at}.tenant", TenantSource, "no source of a tenant")
        return source or TenantSource.NONE, header

    def _client(self, row: RouteTableRow, at: str) -> tuple[ClientSource, bytes]:
        """Where a request's client is read."""
        source, header = self.source(row.client, f"{at}.client", ClientSource, "no source of a client")
        return source or ClientSource.ADDRESS, header
