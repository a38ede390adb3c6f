"""Records the attempts of all pools for outlier detection, and passes the penalties to the load balancers.

Status keys that differ from the names in the code: `held_back` is the penalty, `found_wrong_by` the number of
reporters, `wrong` unsuccessful attempts, `everywhere` the baseline failure rate; of own attempts `faults` are
failures, `silent` timeouts and `full` rejections.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from functools import lru_cache, partial
from typing import Any, Protocol

from plovertrail.background import BackgroundRunner
from plovertrail.clock import clock_us
from plovertrail.decisions.background import BackgroundTask, Priority
from plovertrail.decisions.counter_rows import key_of
from plovertrail.decisions.endpoint_list import EndpointListState
from plovertrail.decisions.events import Outcome
from plovertrail.decisions.health_evidence import AttemptResult, AttemptWindow, EvidenceKey
from plovertrail.decisions.load_balancing.endpoint_state import EndpointState
from plovertrail.decisions.outlier_detection import (
    EndpointHealth,
    OutlierDetector,
    PoolKeys,
    penalties_for_pool,
)
from plovertrail.dispatch.dispatcher import Dispatcher
from plovertrail.dispatch.server_pool import ServerPool
from plovertrail.endpoint_registry import EndpointRegistry

# Evidence is gossiped five times a second by default, so health is evaluated as often.
EVALUATION = BackgroundTask(
    "opinions", Priority.PEERS, interval_us=200_000, max_delay_us=1_000_000, loop_fraction=0.02
)
ATTEMPT_RESULTS = {
    Outcome.OK: AttemptResult.SUCCESS,
    Outcome.ERROR: AttemptResult.FAILURE,
    Outcome.RESET: AttemptResult.FAILURE,
    Outcome.MALFORMED: AttemptResult.FAILURE,
    Outcome.CONNECT_FAILED: AttemptResult.FAILURE,
    Outcome.REJECTED: AttemptResult.REJECTION,
    Outcome.TIMEOUT: AttemptResult.TIMEOUT,
}  # other outcomes say nothing about the endpoint's health
Registries = Callable[[], Mapping[str, EndpointRegistry]]


class EvidenceExchange(Protocol):
    """The interface to the exchange of evidence with other instances."""

    @property
    def outlier_detector(self) -> OutlierDetector | None:
        """The evidence; None if none is exchanged."""

    def report_urgently(self, on_urgent_report: Callable[[], None]) -> None:
        """Gossip urgent reports at once, and call `on_urgent_report` for each, own or a peer's."""


# Without the cache, computing 10,000 digests at each change of a list would delay the event loop.
@lru_cache(maxsize=16_384)
def endpoint_key(pool: str, endpoint_name: str) -> int:
    """Return an endpoint's key, the same on all instances: by its listed id, as addresses may differ."""
    return key_of("server", pool, endpoint_name)


def class_key(name: str) -> int:
    """Return a request class's 32-bit key, the same on all instances."""
    return key_of("class", name) >> 32


class HealthReporter:
    """Records attempts while evidence is exchanged, and passes penalties to the load balancers."""

    def __init__(self, dispatcher: Dispatcher, registries: Registries, exchange: EvidenceExchange) -> None:
        self.dispatcher = dispatcher
        self.registries = registries
        self.exchange = exchange
        self.runner: BackgroundRunner | None = None
        self.health: dict[EvidenceKey, EndpointHealth] = {}  # from the last evaluation
        self._registry_of: dict[ServerPool, EndpointRegistry] = {}
        # The keys, and the state of the pool's endpoint list that they were computed for.
        self._keys: dict[ServerPool, tuple[EndpointListState, PoolKeys]] = {}
        # By endpoint id and class index, as last passed to the load balancer.
        self._penalties: dict[ServerPool, Mapping[tuple[int, int], float]] = {}

    def apply(self, runner: BackgroundRunner) -> None:
        """Apply the pools and settings of a new configuration."""
        registries = self.registries().values()
        self._registry_of = {each.pool: each for each in registries if each.pool is not None}
        self._penalties = {
            pool: penalties for pool, penalties in self._penalties.items() if pool in self._registry_of
        }
        self._keys = {pool: keys for pool, keys in self._keys.items() if pool in self._registry_of}
        self.runner = runner
        enabled = self.exchange.outlier_detector is not None
        self.dispatcher.pools.attempt_observer = self if enabled else None
        for pool in self._registry_of:
            pool.balancer.set_no_response_callback(partial(self.no_response, pool) if enabled else None)
        if enabled:
            runner.add(EVALUATION, self.evaluate, EVALUATION.interval_us)
            self.exchange.report_urgently(self.evaluate_soon)
        elif self.health or EVALUATION.name in runner.start_run:
            runner.remove(EVALUATION.name)
            self._clear()

    def _clear(self) -> None:
        """Remove all penalties."""
        self.health = {}
        for pool, penalties in self._penalties.items():
            if penalties:
                self.dispatcher.pools.update_peer_health(pool, {})
        self._penalties = {}

    def evaluate_soon(self) -> None:
        """Evaluate before the regular time, because an endpoint turned unhealthy."""
        if self.runner is not None and EVALUATION.name in self.runner.start_run:
            self.runner.make_due(EVALUATION.name)

    def attempt_ended(
        self, pool: ServerPool, endpoint_id: int, class_index: int, outcome: Outcome, elapsed_us: int
    ) -> None:
        """Record an attempt, except a timeout later than the latency objective: `no_response` recorded it."""
        objective_us = pool.settings.classes[class_index].latency_objective_us
        recorded = outcome is Outcome.TIMEOUT and elapsed_us >= objective_us
        result = ATTEMPT_RESULTS.get(outcome)
        if result is not None and not recorded:
            self._record(pool, endpoint_id, class_index, result)

    def no_response(self, pool: ServerPool, server: EndpointState, class_index: int) -> None:
        """Record an attempt that is overdue: no response within the latency objective."""
        self._record(pool, server.listed.id, class_index, AttemptResult.TIMEOUT)

    def _record(self, pool: ServerPool, endpoint_id: int, class_index: int, result: AttemptResult) -> None:
        detector = self.exchange.outlier_detector
        key = self._key(pool, endpoint_id, class_index)
        if detector is None or key is None:
            return
        detector.record_attempt(key, result, clock_us())
        if detector.has_urgent_report:
            self.exchange.report_urgently(self.evaluate_soon)

    def _key(self, pool: ServerPool, endpoint_id: int, class_index: int) -> EvidenceKey | None:
        registry = self._registry_of.get(pool)
        if registry is None:
            return None
        keys = self._keys_of(pool, registry)
        endpoint = keys.endpoints.get(endpoint_id)
        return (endpoint, keys.classes[class_index]) if endpoint is not None else None

    def _keys_of(self, pool: ServerPool, registry: EndpointRegistry) -> PoolKeys:
        """Return the shared keys of a pool; they are computed again when its endpoint list changes."""
        cached = self._keys.get(pool)
        if cached is not None and cached[0] is registry.state:
            return cached[1]
        state = registry.state
        endpoints = {
            member.endpoint_id: endpoint_key(registry.name, name) for name, member in state.members.items()
        }
        keys = PoolKeys(endpoints, tuple(class_key(each.name) for each in pool.settings.classes))
        self._keys[pool] = state, keys
        return keys

    def evaluate(self) -> Iterator[None]:
        """Evaluate the health of all endpoints once, one pool per time slice."""
        detector = self.exchange.outlier_detector
        if detector is None:
            return
        health_by_key: dict[EvidenceKey, EndpointHealth] = {}
        for pool, registry in list(self._registry_of.items()):
            keys = self._keys_of(pool, registry)
            health = detector.all_health(keys.endpoint_ids.keys(), clock_us())
            health_by_key |= health
            penalties = penalties_for_pool(health, keys)
            if penalties != self._penalties.get(pool, {}):
                self._penalties[pool] = penalties
                self.dispatcher.pools.update_peer_health(pool, penalties)
            yield
        # Replaced rather than updated, or it would keep endpoints that are no longer listed.
        self.health = health_by_key

    def status(self) -> dict[str, Any]:
        """Return the penalty and the evidence by pool, endpoint and class."""
        detector = self.exchange.outlier_detector
        if detector is None:
            return {}
        now_us = clock_us()
        by_pool: dict[str, Any] = {}
        for pool, registry in self._registry_of.items():
            keys = self._keys_of(pool, registry)
            endpoints = {
                keys.endpoints[member.endpoint_id]: name
                for name, member in registry.state.members.items()
                if member.endpoint_id in keys.endpoints
            }
            classes = {key: each.name for key, each in zip(keys.classes, pool.settings.classes, strict=True)}
            for key in detector.unhealthy_keys(now_us):
                if key[0] in endpoints and key[1] in classes:
                    by_class = by_pool.setdefault(registry.name, {}).setdefault(endpoints[key[0]], {})
                    by_class[classes[key[1]]] = self._status_of(detector, key, now_us)
        return by_pool

    def _status_of(self, detector: OutlierDetector, key: EvidenceKey, now_us: int) -> dict[str, Any]:
        """Return one endpoint's health for one class, by status key."""
        health = self.health.get(key)
        if health is None:
            health = detector.health_of(key, now_us, detector.baseline_failure_rate(key[1], now_us))
        own = detector.own.by_key.get(key) or AttemptWindow(now_us)
        own.decay(now_us)
        return {
            "held_back": round(health.penalty, 3),
            "found_wrong_by": health.reporters,
            "heard": {
                "attempts": round(health.peers.attempts, 1),
                "wrong": round(health.peers.unsuccessful, 1),
            },
            "own": {
                "attempts": round(own.attempts, 1),
                "faults": round(own.failures, 1),
                "silent": round(own.timeouts, 1),
                "full": round(own.rejections, 1),
            },
            "everywhere": round(health.baseline_failure_rate, 3),
        }
