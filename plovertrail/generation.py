"""What one reading of the operator's file brings into force: an immutable value that requests keep."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from plovertrail.config.operator import Listener, Setup, WebSocket
from plovertrail.decisions.interface import RequestClass
from plovertrail.decisions.routes import Route
from plovertrail.host import ServerPool


@dataclass(frozen=True, slots=True)
class Plan:
    """A route with all that can be known of its requests ahead."""

    route: Route
    pools: tuple[ServerPool, ...]
    class_index: int
    kind: RequestClass
    key_header: bytes  # in lower case; empty where the class has none
    deadline_us: int
    dropped: frozenset[bytes]  # headers that don't go on: the route's own, and those written anew
    set_host: bytes  # empty: the client's
    set_headers: tuple[tuple[bytes, bytes], ...]
    websocket: WebSocket | None = None

    @property
    def harmless(self) -> bool:
        """Whether trying again is harmless whatever has run (rule 2)."""
        return self.kind.effect == "idempotent" or (self.kind.effect == "deduplicated"
                                                    and self.kind.group == "all")


@dataclass(frozen=True, slots=True)
class Generation:
    """One setup in force."""

    number: int
    setup: Setup
    pools: Mapping[str, ServerPool]
    plans: Mapping[str, Plan]  # by the names of the routes
    tenants: Mapping[bytes, int]


class Current:
    """Holds the generation in force; a reload replaces it by one assignment."""

    def __init__(self, generation: Generation) -> None:
        self.generation = generation


def make_generation(number: int, setup: Setup, pools: Mapping[str, ServerPool]) -> Generation:
    """Lay out a setup for requests; `pools` has one for each of its pools."""
    plans = {}
    for route in setup.routes.routes:
        index = setup.class_index(route.class_name)
        kind = setup.classes[index]
        hosts = [value for name, value in route.set_headers if name.lower() == b"host"]
        others = tuple(pair for pair in route.set_headers if pair[0].lower() != b"host")
        dropped = route.remove_headers | {name.lower() for name, _ in others}
        plans[route.name] = Plan(
            route, tuple(pools[name] for name in route.pools), index, kind, setup.key_headers[index].lower(),
            route.deadline_us or kind.deadline_us, dropped | {b"host", b"expect", b"x-deadline-ms"},
            hosts[-1] if hosts else b"", others, setup.websockets.get(route.websocket))
    tenants = {tenant.name.encode(): i for i, tenant in enumerate(setup.tenants)}
    return Generation(number, setup, pools, plans, tenants)


def dropped_by_listener(listener: Listener) -> frozenset[bytes]:
    """Headers of clients that a listener replaces. Hazard: kept, a client's own word on its address would
    pass for ours."""
    dropped = {listener.deadline_header, listener.request_id_header.lower()}
    if listener.forwarded != "off" and not listener.trust_forwarded:
        dropped |= {b"forwarded", b"x-forwarded-for", b"x-forwarded-host", b"x-forwarded-proto"}
    elif listener.forwarded != "off":
        dropped |= {listener.forwarded.encode()}
    return frozenset(dropped)
