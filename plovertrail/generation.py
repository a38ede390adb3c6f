"""What one reading of the operator's file brings into force: an immutable value that requests keep."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from plovertrail.config.setup import ListenerSetup, Setup, WebSocketSetup
from plovertrail.decisions.rate_limits import RateLimiter
from plovertrail.decisions.routes import Route
from plovertrail.decisions.settings import RequestClass
from plovertrail.decisions.templates import Template
from plovertrail.dispatch.server_pool import ServerPool
from plovertrail.hooks.chain import Chain, make_chain

if TYPE_CHECKING:  # the engine is large, and most daemons have no hooks
    from plovertrail.hooks.hook import Hook


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
    filled_headers: tuple[tuple[bytes, Template], ...]
    filled_host: Template | None  # in place of set_host
    websocket: WebSocketSetup | None = None
    limiters: tuple[RateLimiter, ...] = ()
    chain: Chain | None = None  # its hooks
    chosen: Mapping[str, Plan] = field(default_factory=dict)  # as its hooks may have it, by class

    @property
    def harmless(self) -> bool:
        """Whether trying again is harmless whatever has run (rule 2)."""
        return self.kind.effect == "idempotent" or (
            self.kind.effect == "deduplicated" and self.kind.dedup_scope == "all"
        )


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


def make_generation(
    number: int,
    setup: Setup,
    pools: Mapping[str, ServerPool],
    hooks: Mapping[str, Hook],
    limiters: Mapping[str, RateLimiter],
) -> Generation:
    """Lay out a setup for requests; `pools`, `hooks` and `limiters` have one for each of its own."""
    plans = {}
    for route in setup.routes.routes:
        if route.answers is not None:
            continue  # its requests go to no server
        index = setup.class_index(route.class_name)
        kind = setup.classes[index]
        hosts = [value for name, value in route.set_headers if name.lower() == b"host"]
        others = tuple(pair for pair in route.set_headers if pair[0].lower() != b"host")
        filled = {name.lower(): (name, value) for name, value in route.filled_headers}
        _, filled_host = filled.pop(b"host", (b"", None))
        dropped = route.remove_headers | {name.lower() for name, _ in others} | filled.keys()
        plan = Plan(
            route,
            tuple(pools[name] for name in route.pools),
            index,
            kind,
            setup.key_headers[index].lower(),
            route.deadline_us or kind.deadline_us,
            dropped | {b"host", b"expect", b"x-deadline-ms"},
            hosts[-1] if hosts else b"",
            others,
            tuple(filled.values()),
            filled_host,
            setup.websockets.get(route.websocket),
            tuple(limiters[name] for name in setup.limited.get(route.name, ())),
        )
        if route.name in setup.hooked:
            plan = with_hooks(plan, setup, hooks)
        plans[route.name] = plan
    tenants = {tenant.name.encode(): i for i, tenant in enumerate(setup.tenants)}
    return Generation(number, setup, pools, plans, tenants)


def with_hooks(plan: Plan, setup: Setup, hooks: Mapping[str, Hook]) -> Plan:
    """A route's plan with its hooks, and with a plan for each class that these may choose. Hazard: a class
    with a longer deadline must not give a request more time than its route does."""
    route, hooked = plan.route, setup.hooked[plan.route.name]
    plans = {}
    for name in hooked.classes:
        index = setup.class_index(name)
        kind = setup.classes[index]
        plans[name] = replace(
            plan,
            class_index=index,
            kind=kind,
            key_header=setup.key_headers[index].lower(),
            deadline_us=min(plan.deadline_us, kind.deadline_us),
        )
    # hazard: a key or a request's id that a hook changes would be another request's
    protected = {key.lower() for key in setup.key_headers if key} | route.remove_headers
    protected |= {name.lower() for name, _ in (*route.set_headers, *route.filled_headers)}
    for listener in setup.listeners:
        protected |= {listener.request_id_header.lower(), listener.deadline_header}
    classes = {plan.kind.name: plan.kind} | {name: chosen.kind for name, chosen in plans.items()}
    chain = make_chain(
        route.name,
        [hooks[name] for name in hooked.hooks],
        frozenset(protected),
        plan.kind.name,
        classes,
        hooked.passes,
    )
    return replace(plan, chain=chain, chosen=plans)


def dropped_by_listener(listener: ListenerSetup) -> frozenset[bytes]:
    """Headers of clients that a listener replaces. Hazard: kept, a client's own word on its address would
    pass for ours."""
    dropped = {listener.deadline_header, listener.request_id_header.lower()}
    if listener.forwarded != "off" and not listener.trust_forwarded:
        dropped |= {b"forwarded", b"x-forwarded-for", b"x-forwarded-host", b"x-forwarded-proto"}
    elif listener.forwarded != "off":
        dropped |= {listener.forwarded.encode()}
    return frozenset(dropped)
