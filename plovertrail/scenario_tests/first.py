"""A first set of expectations: what a setup does now, as a file of its own."""

from __future__ import annotations

import json

from plovertrail.config.setup import Setup
from plovertrail.decisions.routes import PathKind, Route
from plovertrail.scenario_tests.judge import Coverage
from plovertrail.scenario_tests.run import decided
from plovertrail.scenario_tests.schema import OneRequest, Target

ANY_HOST = "any.example"


def sample(setup: Setup, route: Route) -> Target | None:
    """A request that a route may take; None where none is known (a regular expression)."""
    hosts = [host for host in route.hosts if not host.startswith("~")] or [""]
    host = hosts[0].replace("*", "any") if hosts[0] else ANY_HOST
    path = route.path if route.path_kind is not PathKind.REGEX else route.path_within
    if len(route.path_within) > len(path):
        path = route.path_within
    if not path or any(predicate.value is None for predicate in route.query):
        return None
    query = "&".join(f"{each.name}={each.value}" for each in route.query)
    headers = tuple((each.name, each.value if each.value is not None else "any") for each in route.headers)
    method = "GET" if not route.methods or "GET" in route.methods else sorted(route.methods)[0]
    listener = sorted(route.listeners)[0] if route.listeners else setup.listeners[0].name
    return Target(method, host, path + (f"?{query}" if query else ""), headers, "192.0.2.1", listener)


def first_expectations(setup: Setup) -> str:
    """One request for each route, with what becomes of it; where another route takes it, that is told."""
    lines = [
        "# What the configuration did when this was written. Keep what you mean, change what you don't.",
        "",
    ]
    for route in setup.routes.routes:
        asks = sample(setup, route)
        if asks is None:
            lines += [f"# {route.name}: no request is known that it takes; write one", ""]
            continue
        found = decided(setup, OneRequest("", "", asks, {}), Coverage())
        if found.get("route") != route.name:
            lines += [f"# {route.name}: {found.get('route') or 'no route'} takes this one instead"]
        lines += ["[[requests]]", f"ask = {json.dumps(f'{asks.method} http://{asks.host}{asks.target}')}"]
        if asks.headers:
            pairs = ", ".join(f"{json.dumps(name)} = {json.dumps(value)}" for name, value in asks.headers)
            lines.append(f"headers = {{ {pairs} }}")
        if len(setup.listeners) > 1:
            lines.append(f"listener = {json.dumps(asks.listener)}")
        lines += [
            f"{key} = {json.dumps(found[key])}"
            for key in ("route", "class", "pools", "target", "status", "location")
            if found.get(key)
        ]
        lines.append("")
    return "\n".join(lines)
