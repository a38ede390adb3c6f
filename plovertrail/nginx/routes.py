"""The routes of an import, in an order of priorities, as rows of an operator's file."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, field

import re2

from plovertrail.decisions.templates import escaped
from plovertrail.nginx.locations import Kind, Region, Rule, whole
from plovertrail.nginx.tree import Directive

SAFE = ("GET", "HEAD")


@dataclass
class RouteSettings:
    """What a location's requests go on with."""

    pools: list[str]
    headers: dict[str, str] = field(default_factory=dict)  # templates
    removed: list[str] = field(default_factory=list)
    deadline_ms: int = 60_000
    max_body: int = 1 << 20
    websocket: bool = False
    keep_query: bool = True
    limiters: list[str] = field(default_factory=list)
    tenant: str = ""


@dataclass
class Row:
    """One route."""

    directive: Directive  # that it comes from
    name: str
    keys: dict[str, str]  # as TOML writes their values
    settings: RouteSettings | None = None


class RouteWriter:
    """Collects routes, the first of a server before those behind it."""

    def __init__(self) -> None:
        self.rows: list[Row] = []
        self.server = 0
        self.placings: list[tuple[list[str], list[str]]] = []
        self.first = 0

    def begin(self, server: int, placings: list[tuple[list[str], list[str]]]) -> None:
        """The routes of a server, instead of those that it has had."""
        if server == self.server:
            del self.rows[self.first :]
        self.server, self.placings, self.first = server, placings, len(self.rows)

    def fixed(self, directive: Directive, region: Region, status: int, body: str) -> None:
        """An answer to all that is left."""
        keys = region_keys(region) | {"respond": answer(status, "", escaped(body))}
        self._row(directive, "rest", keys)

    def add(self, directive: Directive, rule: Rule, respond: tuple[int, str, str]) -> None:
        """An answer of a rule's own: status, Location and body, both templates."""
        self._row(directive, "own", pattern(rule, rule.regex) | {"respond": answer(*respond)})

    def proxied(
        self, directive: Directive, rule: Rule, regex: str | None, replace: str, settings: RouteSettings
    ) -> None:
        """What goes on: GET and HEAD, and all else."""
        keys = pattern(rule, regex)
        if replace:
            keys["rewrite"] = toml(replace)
        if not settings.keep_query:
            keys["keep_query"] = "false"
        keys["pools"] = toml(settings.pools)
        if settings.max_body != 1 << 20:
            keys["max_body"] = toml(f"{settings.max_body}B")
        if settings.headers:
            keys["set_headers"] = toml(settings.headers)
        if settings.removed:
            keys["remove_headers"] = toml(list(dict.fromkeys(settings.removed)))
        if settings.tenant:
            keys["tenant"] = toml(settings.tenant)
        if settings.limiters:
            keys["limiters"] = toml(settings.limiters)
        safe = dict(keys, **{"class": toml(f"safe-{settings.deadline_ms}ms"), "methods": toml(list(SAFE))})
        if settings.websocket:
            safe["websocket"] = toml("nginx")
        self._row(directive, "get", safe, settings)
        self._row(
            directive, "else", dict(keys, **{"class": toml(f"unsafe-{settings.deadline_ms}ms")}), settings
        )

    def _row(
        self, directive: Directive, kind: str, keys: dict[str, str], settings: RouteSettings | None = None
    ) -> None:
        for hosts, listeners in self.placings:
            where = {"hosts": toml(hosts), "listeners": toml(listeners)}
            name = f"s{self.server}-{len(self.rows)}-{kind}"
            self.rows.append(Row(directive, name, where | keys, settings))

    def text(self) -> list[str]:
        """The lines of all routes for the operator's file; the first route has the highest priority."""
        lines: list[str] = []
        for number, row in enumerate(self.rows):
            lines += [
                f"# {row.directive.place}: {' '.join(str(row.directive).split())[:80]}",
                "[[routes]]",
                f"name = {toml(row.name)}",
                f"priority = {len(self.rows) - number}",
                *(f"{key} = {value}" for key, value in row.keys.items()),
                "",
            ]
        return lines


def region_keys(region: Region) -> dict[str, str]:
    """A region as the keys path_within and path_except of a route."""
    keys = {}
    if region.within:
        keys["path_within"] = toml(region.within)
    if region.excepts:
        keys["path_except"] = toml(list(region.excepts))
    return keys


def pattern(rule: Rule, regex: str | None) -> dict[str, str]:
    """The paths that a rule takes, as an operator's file has them."""
    if rule.exact is not None and regex is None:
        return {"path_exact": toml(rule.exact)}
    keys = region_keys(rule.region)
    if regex is not None:
        return {"path_regex": toml(whole(regex))} | keys
    text = rule.location.text
    if rule.location.kind in (Kind.PREFIX, Kind.FINAL) and text.endswith("/") and len(text) > 1:
        return {"path": toml(text.rstrip("/"))} | keys
    if rule.region.within not in ("", "/"):
        # looked up with all other expressions at once
        return {"path_regex": toml(f"(?s:{re2.escape(rule.region.within)}.*)")} | {
            key: value for key, value in keys.items() if key != "path_within"
        }
    return keys


def answer(status: int, location: str, body: str) -> str:
    """A fixed answer as the inline table that `respond` of a route takes."""
    parts = [f"status = {status}"]
    if location:
        parts.append(f"location = {toml(location)}")
    if body:
        parts.append(f"body = {toml(body)}")
    return f"{{ {', '.join(parts)} }}"


def toml(value: str | list[str] | dict[str, str]) -> str:
    """As TOML writes it."""
    if isinstance(value, list):
        return f"[{', '.join(toml(each) for each in value)}]"
    if isinstance(value, dict):
        return f"{{ {', '.join(f'{toml(key)} = {toml(each)}' for key, each in value.items())} }}"
    text = json.dumps(value, ensure_ascii=False)
    return re.sub(r"[\x7f]", lambda found: f"\\u{ord(found[0]):04x}", text)
