"""One generation of the configuration: an immutable value that a request keeps while it is open."""

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

if TYPE_CHECKING:  # the hook engine is large, and most daemons have no hooks
    from plovertrail.hooks.hook import Hook

Header = tuple[bytes, bytes]

HOST = b"host"
NEVER_FORWARDED = frozenset((HOST, b"expect", b"x-deadline-ms"))
FORWARDING_HEADERS = frozenset((b"forwarded", b"x-forwarded-for", b"x-forwarded-host", b"x-forwarded-proto"))


@dataclass(frozen=True, slots=True)
class RoutePlan:
    """A route with everything that can be computed for its requests in advance."""

    route: Route
    pools: tuple[ServerPool, ...]
    class_index: int
    request_class: RequestClass
    key_header: bytes  # in lower case; empty if the class has none
    deadline_us: int
    removed_headers: frozenset[bytes]  # not forwarded: those the route removes, and those it sets
    host: bytes  # replaces the Host header of the client; empty: it is forwarded
    set_headers: tuple[Header, ...]
    templated_headers: tuple[tuple[bytes, Template], ...]
    host_template: Template | None  # in place of `host`
    websocket: WebSocketSetup | None = None
    limiters: tuple[RateLimiter, ...] = ()
    hook_chain: Chain | None = None
    by_class: Mapping[str, RoutePlan] = field(
        default_factory=dict
    )  # for the classes that its hooks may choose

    @property
    def retry_safe(self) -> bool:
        """Whether a request that has run may be retried: idempotent, or deduplicated by all endpoints."""
        request_class = self.request_class
        return request_class.effect == "idempotent" or (
            request_class.effect == "deduplicated" and request_class.dedup_scope == "all"
        )


@dataclass(frozen=True, slots=True)
class Generation:
    """One configuration in force."""

    number: int
    setup: Setup
    pools: Mapping[str, ServerPool]
    plans: Mapping[str, RoutePlan]  # by the names of the routes
    tenants: Mapping[bytes, int]


class CurrentGeneration:
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
    """Build the generation of a configuration; `pools`, `hooks` and `limiters` have all that it refers to."""
    plans = {}
    for route in setup.routes.routes:
        if route.fixed_response is not None:
            continue  # answered without an endpoint
        plan = _route_plan(route, setup, pools, limiters)
        if route.name in setup.hooked:
            plan = _with_hooks(plan, setup, hooks)
        plans[route.name] = plan
    tenants = {tenant.name.encode(): index for index, tenant in enumerate(setup.tenants)}
    return Generation(number, setup, pools, plans, tenants)


def _route_plan(
    route: Route, setup: Setup, pools: Mapping[str, ServerPool], limiters: Mapping[str, RateLimiter]
) -> RoutePlan:
    class_index = setup.class_index(route.class_name)
    request_class = setup.classes[class_index]
    hosts = [value for name, value in route.set_headers if name.lower() == HOST]
    set_headers = tuple(header for header in route.set_headers if header[0].lower() != HOST)
    templates = {name.lower(): (name, value) for name, value in route.templated_headers}
    _, host_template = templates.pop(HOST, (b"", None))
    set_names = {name.lower() for name, _ in set_headers}
    return RoutePlan(
        route=route,
        pools=tuple(pools[name] for name in route.pools),
        class_index=class_index,
        request_class=request_class,
        key_header=setup.key_headers[class_index].lower(),
        deadline_us=route.deadline_us or request_class.deadline_us,
        removed_headers=route.remove_headers | set_names | templates.keys() | NEVER_FORWARDED,
        host=hosts[-1] if hosts else b"",
        set_headers=set_headers,
        templated_headers=tuple(templates.values()),
        host_template=host_template,
        websocket=setup.websockets.get(route.websocket),
        limiters=tuple(limiters[name] for name in setup.limited.get(route.name, ())),
    )


def _with_hooks(plan: RoutePlan, setup: Setup, hooks: Mapping[str, Hook]) -> RoutePlan:
    """Return a plan with its route's hooks, and with a plan for each class that the hooks may choose."""
    hooked = setup.hooked[plan.route.name]
    by_class = {name: _plan_for_class(plan, setup, name) for name in hooked.classes}
    classes = {plan.request_class.name: plan.request_class}
    classes |= {name: chosen.request_class for name, chosen in by_class.items()}
    chain = make_chain(
        plan.route.name,
        [hooks[name] for name in hooked.hooks],
        _protected_headers(plan.route, setup),
        plan.request_class.name,
        classes,
        hooked.passes,
    )
    return replace(plan, hook_chain=chain, by_class=by_class)


def _plan_for_class(plan: RoutePlan, setup: Setup, class_name: str) -> RoutePlan:
    """Return the plan for another class, whose deadline may shorten the route's but not extend it."""
    class_index = setup.class_index(class_name)
    request_class = setup.classes[class_index]
    return replace(
        plan,
        class_index=class_index,
        request_class=request_class,
        key_header=setup.key_headers[class_index].lower(),
        deadline_us=min(plan.deadline_us, request_class.deadline_us),
    )


def _protected_headers(route: Route, setup: Setup) -> frozenset[bytes]:
    """Headers that hooks may not change: another idempotency key or id would make it another request."""
    protected = {key.lower() for key in setup.key_headers if key} | route.remove_headers
    protected |= {name.lower() for name, _ in (*route.set_headers, *route.templated_headers)}
    for listener in setup.listeners:
        protected |= {listener.request_id_header.lower(), listener.deadline_header}
    return frozenset(protected)


def headers_replaced_by(listener: ListenerSetup) -> frozenset[bytes]:
    """Client headers that a listener replaces instead of forwarding.

    Endpoints would take an address that the client claims for one that the listener has seen.
    """
    replaced = {listener.deadline_header, listener.request_id_header.lower()}
    if listener.forwarded != "off" and not listener.trust_forwarded:
        replaced |= FORWARDING_HEADERS
    elif listener.forwarded != "off":
        replaced |= {listener.forwarded.encode()}
    return frozenset(replaced)
