"""The faults that `benchmarks.planted_faults` plants, and the texts that they replace.

A fault that a second line of defence would hide is planted in both. Each replaced text stands exactly once in
its file, which tests/benchmarks/test_planted_faults.py checks: when a line moves, its fault moves with it.
"""

from __future__ import annotations

from dataclasses import dataclass

SITE = "deploy/plovertrail.toml"


@dataclass(frozen=True)
class Replacement:
    """A text of a file, and what is planted in its place."""

    file: str  # under the root
    old: str
    new: str


@dataclass(frozen=True)
class Fault:
    """A rule that is broken on purpose."""

    name: str
    file: str  # under the root
    old: str
    new: str
    also: tuple[Replacement, ...] = ()  # in the lines of defence that would hide it

    @property
    def replacements(self) -> tuple[Replacement, ...]:
        """All that is replaced."""
        return (Replacement(self.file, self.old, self.new), *self.also)


ENDPOINT_SELECTION = "plovertrail/decisions/load_balancing/endpoint_selection.py"
ENDPOINT_STATE = "plovertrail/decisions/load_balancing/endpoint_state.py"
ENDPOINT_TABLE = "plovertrail/decisions/load_balancing/endpoint_table.py"
ENDPOINT_UPDATES = "plovertrail/decisions/load_balancing/endpoint_updates.py"
LOAD_BALANCER = "plovertrail/decisions/load_balancing/balancer.py"
RETRY_POLICY = "plovertrail/decisions/load_balancing/retry_policy.py"
SLOW_START = "plovertrail/decisions/load_balancing/slow_start.py"
WARM_UPS = "plovertrail/decisions/load_balancing/warm_up_scheduler.py"
OUTCOMES = "plovertrail/decisions/load_balancing/outcomes.py"
DISPATCHER = "plovertrail/dispatch/dispatcher.py"
ATTEMPTS = "plovertrail/dispatch/attempts.py"
ENDPOINTS = "plovertrail/endpoint_registry.py"
FAILOVER = "plovertrail/decisions/failover.py"
REQUESTS = "plovertrail/decisions/requests.py"
SERVER_POOL = "plovertrail/dispatch/server_pool.py"
ROUTES = "plovertrail/decisions/routes.py"
ROUTE_CONDITIONS = "plovertrail/config/route_conditions.py"
HTTP_EXCHANGE = "plovertrail/listeners/http_exchange.py"
HTTP_CONNECTION = "plovertrail/listeners/http_connection.py"
NEVER_RAN = "NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)"
FAULTS = (
    Fault(
        "a drain is ignored",
        ENDPOINTS,
        "status = EndpointStatus.DRAINING if listed.drain else EndpointStatus.READY",
        "status = EndpointStatus.READY",
    ),
    Fault(
        "a server that has gone is kept",
        ENDPOINT_UPDATES,
        "if listed.state is not EndpointStatus.READY:",
        "if listed.state is EndpointStatus.DRAINING:",
        also=(
            # the dispatcher drops its address, so that what is sent there fails at once and goes on elsewhere
            Replacement(
                SERVER_POOL,
                "            if address is None or self.addresses.get(entry.id, address) != address:\n",
                "            if address is not None and self.addresses.get(entry.id, address) != address:\n",
            ),
            Replacement(
                SERVER_POOL,
                "            else:\n                self.forget(entry.id)\n",
                "            elif entry.state is EndpointStatus.DRAINING:\n"
                "                self.forget(entry.id)\n",
            ),
        ),
    ),
    Fault(
        "a drained server is kept by the module and the host",
        ENDPOINT_UPDATES,
        "            if listed.state is not EndpointStatus.READY:\n                self._remove(listed.id)\n"
        "                continue\n",
        "            if listed.state is EndpointStatus.REMOVED:\n"
        "                self._remove(listed.id)\n                continue\n",
        also=(
            Replacement(
                SERVER_POOL,
                "            else:\n                self.forget(entry.id)\n",
                "            elif entry.state is EndpointStatus.REMOVED:\n"
                "                self.forget(entry.id)\n",
            ),
        ),
    ),
    Fault(
        "a leave is told late by a second",
        ENDPOINTS,
        "            self.dispatcher.pools.update_endpoints(\n"
        "                self.pool, EndpointsUpdated(ListKind.DELTA, endpoints), addresses\n",
        "            self.dispatcher.loop.call_later(\n"
        "                1.0, self.dispatcher.pools.update_endpoints,\n"
        "                self.pool, EndpointsUpdated(ListKind.DELTA, endpoints), addresses\n",
    ),
    Fault(
        "an unsafe request is tried again",
        RETRY_POLICY,
        'if first is None or request_class.effect == "idempotent":',
        'if first is None or request_class.effect != "deduplicated":',
    ),
    Fault(
        "a keyed one is tried again as if it were safe",
        RETRY_POLICY,
        'if first is None or request_class.effect == "idempotent":',
        'if first is None or request_class.effect != "at_most_once":',
    ),
    Fault(
        "the group is forgotten",
        ENDPOINT_SELECTION,
        'if request_class.effect != "deduplicated" or request_class.dedup_scope == "all":',
        "if request_class.effect:",
    ),
    Fault(
        "the group is of the zone instead of the cell",
        ENDPOINT_SELECTION,
        'location = first.listed.zone if request_class.dedup_scope == "zone" else first.listed.cell',
        "location = first.listed.zone",
    ),
    Fault(
        "groups are mixed up",
        ENDPOINT_TABLE,
        "return self.dedup_groups.get((scope, location), NO_ENDPOINTS).values()",
        "return self.by_id.values()",
    ),
    Fault(
        "a reset counts as never run",
        OUTCOMES,
        NEVER_RAN,
        f"{NEVER_RAN[:-1]}, Outcome.RESET)",
    ),
    Fault(
        "an error counts as never run",
        OUTCOMES,
        NEVER_RAN,
        f"{NEVER_RAN[:-1]}, Outcome.ERROR)",
    ),
    Fault(
        "a time-out counts as never run",
        OUTCOMES,
        NEVER_RAN,
        f"{NEVER_RAN[:-1]}, Outcome.TIMEOUT)",
    ),
    Fault(
        "what may have run is refused",
        RETRY_POLICY,
        '            request_class.effect == "idempotent"\n'
        "            or request.first_that_may_have_run() is None\n",
        '            request_class.effect != ""\n            or request.first_that_may_have_run() is None\n',
    ),
    Fault(
        "what may have run goes to the next pool",
        FAILOVER,
        "if failover.may_have_run or failover.in_flight",
        "if failover.in_flight",
    ),
    Fault(
        "the next pool is not asked",
        FAILOVER,
        "return next((number for number in range(failover.pools_tried, "
        "len(serving)) if serving[number]), None)",
        "return next((number for number in range(failover.pools_tried, "
        "len(serving)) if serving[number] and not failover.attempts), None)",
    ),
    Fault(
        "a pool leaves no attempt to those behind it",
        FAILOVER,
        "return left - max(0, min(later_pools, left - 1))",
        "return left",
    ),
    Fault(
        "each pool goes by its own attempts",
        RETRY_POLICY,
        "attempt_limit = self._settings.max_attempts if event.attempts_left is None else event.attempts_left",
        "attempt_limit = self._settings.max_attempts - event.earlier_attempts",
    ),
    Fault(
        "the weight is inverted",
        ENDPOINT_TABLE,
        "weight = endpoint.listed.weight if self.settings.select_by_weight else 1.0",
        "weight = 1.0 / endpoint.listed.weight if self.settings.select_by_weight else 1.0",
    ),
    Fault(
        "the weight is left out",
        ENDPOINT_TABLE,
        "weight = endpoint.listed.weight if self.settings.select_by_weight else 1.0",
        "weight = 1.0",
    ),
    Fault(
        "a cold server counts as warm",
        SLOW_START,
        "    if listed.started_us == 0:\n        return 1.0\n",
        "    if listed.started_us >= 0:\n        return 1.0\n",
    ),
    Fault(
        "a cold server gets ten times its part",
        WARM_UPS,
        "intervals * capacity / share",
        "intervals * capacity / (30 * share)",
    ),
    Fault("precedence: prefixes before expressions", ROUTES, "    REGEX = 1  #", "    REGEX = 3  #"),
    Fault("precedence: exact paths last", ROUTES, "    EXACT = 0", "    EXACT = 5"),
    Fault(
        "precedence: the shortest prefix first",
        ROUTES,
        'prefix_depth = -self.path.rstrip("/").count("/")',
        'prefix_depth = self.path.rstrip("/").count("/")',
    ),
    Fault(
        "methods are not looked at",
        ROUTES,
        "if route.methods and head.method not in route.methods:",
        "if False:",
    ),
    Fault(
        "a safe class takes all methods",
        ROUTE_CONDITIONS,
        'if not methods and kind is not None and kind.effect == "idempotent":',
        "if False:",
    ),
    Fault(
        "prefixes end within a segment",
        ROUTES,
        'path = path[: path.rfind("/")]',
        "path = path[:-1]",
    ),
    Fault("the query is dropped", REQUESTS, "if head.query and match.route.keep_query:", "if False:"),
    Fault(
        "a rewrite is left out",
        ROUTES,
        "    if route.rewrite is None:\n        return path\n",
        "    if route.rewrite is not False:\n        return path\n",
    ),
    Fault(
        "the tenant is not read",
        REQUESTS,
        '        return head.headers.get(route.tenant_header, b"")\n',
        '        return b""\n',
    ),
    Fault(
        "the deadline is off by a thousand",
        DISPATCHER,
        "due_us = proxied.arrived_us + max(1, proxied.deadline_us - ANSWER_MARGIN_US)",
        "due_us = proxied.arrived_us + max(1, proxied.deadline_us * 1000)",
    ),
    Fault(
        "the deadline is reached with no margin",
        DISPATCHER,
        "ANSWER_MARGIN_US = 10_000",
        "ANSWER_MARGIN_US = -5_000",
    ),
    Fault(
        "requests are kept for ever",
        DISPATCHER,
        "        if done and self.requests.pop(request.request_id, None) is not None:",
        "        if done and self.requests.get(request.request_id) is not None:",
    ),
    Fault(
        "an answer is written twice",
        HTTP_CONNECTION,
        "        self.responses += 1\n        self.transport.write(data)\n",
        "        self.responses += 1\n" + 2 * "        self.transport.write(data)\n",
    ),
    Fault(
        "a client that leaves is not noticed",
        DISPATCHER,
        "        if request is not None and not request.finished:\n"
        "            self.request_log.client_left(request)\n",
        "        if request is None:\n",
    ),
    Fault(
        "a request is not answered by its own deadline",
        DISPATCHER,
        "        request.timer = "
        "call_at(self.loop, due_us + BACKSTOP_US, self._deadline_exceeded, request)\n",
        "",
        also=(
            # an attempt that is out ends with the request's time at the latest, and its end is answered
            Replacement(
                ATTEMPTS,
                "        attempt.timer = "
                "call_at(self.loop, now_us + timeout_us, self._on_timeout, request, number)\n",
                "",
            ),
        ),
    ),
    Fault(
        "refused with no Retry-After",
        HTTP_EXCHANGE,
        'return [(b"Retry-After", b"%d" % -(-after_us // 1_000_000))] if after_us else []',
        "return []",
    ),
    Fault(
        "a request waits for a slot to its end",
        LOAD_BALANCER,
        "until_us = now_us + self.latencies.slow_us[request.event.class_index]",
        "until_us = now_us + 100 * self.latencies.slow_us[request.event.class_index]",
    ),
    Fault(
        "slots are not given back",
        ENDPOINT_STATE,
        "        if not attempt.slot_released:\n            self.in_flight -= 1\n",
        "",
    ),
    Fault(
        "configuration: a purchase is safe",
        SITE,
        '[classes.chapter-buy]\neffect = "unsafe"',
        '[classes.chapter-buy]\neffect = "safe"',
    ),
    Fault("configuration: a top-up's group is all", SITE, 'group = "cell"', 'group = "all"'),
    Fault(
        "configuration: purchases go to the reserve first",
        SITE,
        'class = "chapter-buy"\npools = ["store", "reserve"]',
        'class = "chapter-buy"\npools = ["reserve", "store"]',
    ),
    Fault("configuration: top-ups take GET too", SITE, 'methods = ["POST", "PUT"]', 'methods = ["GET"]'),
    Fault("configuration: another priority", SITE, 'name = "pages"\n', 'name = "pages"\npriority = 5\n'),
    Fault("configuration: another weight", SITE, "weight = 2", "weight = 9"),
)
