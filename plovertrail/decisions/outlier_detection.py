"""Outlier detection from the evidence of several instances: computes the penalty of each endpoint.

An endpoint is penalized by how far its failure rate exceeds that of all endpoints together, and only if at
least two reporters find it unhealthy. The constants below bound the penalty whatever peers report. Instances
share what they measured, never a decision; each computes penalties by itself. Pure: times are arguments, in
microseconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass, field, replace

from plovertrail.decisions.health_evidence import (
    FAILURE_HALF_LIFE_US,
    FAULT_THRESHOLD,
    MAX_REPORT_AGE_US,
    MIN_ATTEMPTS,
    UNHEALTHY_FAILURE_RATE,
    AttemptResult,
    EvidenceKey,
    HealthReport,
    OwnEvidence,
    PeerReport,
    PeerReports,
)

# At most this fraction of the endpoints, the worst ones, is penalized for one class: enough stay usable.
MAX_PENALIZED_FRACTION = 1 / 3
MAX_ATTEMPTS_PER_REPORTER = 4.0  # counted from one reporter, for one endpoint and class
MAX_ATTEMPTS_PER_ZONE = 24.0  # counted from all reporters of one zone together
OTHER_ZONE_WEIGHT = 0.3  # an endpoint that another zone cannot reach may be reachable from this one
OWN_WEIGHT = 3.0  # of this instance's attempts, relative to a peer's
MAX_OWN_ATTEMPTS = 16.0  # counted from this instance, for one endpoint and class
PRIOR_SUCCESSES = 2.0  # added to the attempts, so that a single failure causes no penalty
MIN_REPORTERS = 2  # failures that only one instance sees may be its own fault
STALE_SUCCESS_WEIGHT = 0.1  # of successes before MIN_REPORTERS had found the endpoint unhealthy
OTHER_CLASS_WEIGHT = 0.25  # of evidence on other classes of the endpoint
MIN_EXCESS_FAILURE_RATE = 0.15  # over the baseline; a smaller excess may be chance
PENALTY_SLOPE = 1.5  # the penalty is 1 from about two thirds of the way between the baseline and all failing
FORWARD_FACTOR = 2.0  # a peer's report is forwarded this often, times log2 of the cluster's size
OWN_REPORTS_NUMERATOR, OWN_REPORTS_DENOMINATOR = 2, 3  # fraction of a datagram's reports that are own ones


@dataclass(slots=True)
class WeightedAttempts:
    """Weighted sums of attempts and of the unsuccessful ones among them."""

    attempts: float = 0.0
    unsuccessful: float = 0.0

    def add(self, attempts: float, unsuccessful: float, weight: float) -> None:
        """Add attempts, multiplied by a weight."""
        self.attempts += attempts * weight
        self.unsuccessful += unsuccessful * weight


@dataclass(frozen=True, slots=True)
class EndpointHealth:
    """The penalty of one endpoint and class, with the evidence it was computed from."""

    penalty: float  # 0: none; 1: the highest
    reporters: int  # peers that find it unhealthy
    peers: WeightedAttempts
    own: WeightedAttempts
    baseline_failure_rate: float  # of all endpoints together


def max_forged_failure_rate(false_reporters: int, honest_reporters: int, attempts_each: float) -> float:
    """Return the highest failure rate that false reports can give a healthy endpoint.

    The honest reporters have tried it `attempts_each` times each. False reports then cause a penalty of at
    most `penalty_of(max_forged_failure_rate(...), 0.0)`. The bound holds for reporters of one zone, without
    attempts of this instance.
    """
    forged = false_reporters * MAX_ATTEMPTS_PER_REPORTER
    return forged / (
        forged + honest_reporters * min(MAX_ATTEMPTS_PER_REPORTER, attempts_each) + PRIOR_SUCCESSES
    )


def penalty_of(failure_rate: float, baseline_failure_rate: float) -> float:
    """Return the penalty, from 0 to 1, for a failure rate compared with that of all endpoints."""
    floor = min(1.0, baseline_failure_rate + MIN_EXCESS_FAILURE_RATE)
    if floor >= 1.0:
        return 0.0
    return min(1.0, max(0.0, PENALTY_SLOPE * (failure_rate - floor) / (1.0 - floor)))


class OutlierDetector:
    """Holds one instance's evidence, its own and its peers', and computes endpoint health from it."""

    def __init__(self, reporter_id: int, now_us: int, sequence: int = 0) -> None:
        self.reporter_id = reporter_id  # of this instance, the same on all instances
        self.sequence = sequence  # of the latest own report
        self.own = OwnEvidence()
        self.peer_reports = PeerReports()
        self.zone = ""  # of this instance
        self.reporter_zones: dict[int, str] = {}  # by reporter, where known
        self.untrusted_reporters: set[int] = set()  # say that they are unhealthy; their reports do not count
        self.reports_paused_until_us = now_us  # no own reports are sent before
        self.has_urgent_report = False  # this instance or a peer has just found an endpoint unhealthy

    # Evidence

    def record_attempt(self, key: EvidenceKey, result: AttemptResult, now_us: int) -> None:
        """Count an attempt of this instance.

        Callers leave out attempts that the client cancelled or that could not be sent: they say nothing about
        the endpoint.
        """
        self.has_urgent_report |= self.own.record(key, result, now_us)

    def process_paused(self, now_us: int) -> None:
        """Drop own evidence after a pause of the process, which may have caused the failures itself."""
        self.own.by_key.clear()
        self.reports_paused_until_us = now_us + FAILURE_HALF_LIFE_US

    def merge_report(self, report: HealthReport, now_us: int) -> bool:
        """Merge a report that a peer sent or forwarded; returns whether it was new."""
        if report.reporter == self.reporter_id:
            return False
        if not report.is_valid:
            self.peer_reports.dropped += 1
            return False
        previous = self.peer_reports.get(report.key, report.reporter)
        if not self.peer_reports.merge(report, now_us):
            return False
        newly_unhealthy = previous is None or not previous.report.finds_unhealthy
        self.has_urgent_report |= report.finds_unhealthy and newly_unhealthy
        return True

    def sweep(self, now_us: int) -> None:
        """Drop evidence that has decayed; each call checks a bounded number of entries."""
        self.peer_reports.sweep(now_us)
        self.own.sweep(now_us)

    # Reports to peers

    def unhealthy_keys(self, now_us: int) -> set[EvidenceKey]:
        """Return the endpoints and classes that this instance or a peer finds unhealthy."""
        keys = {
            key
            for key, reports in self.peer_reports.by_key.items()
            if any(stored.decayed(now_us)[1] >= FAULT_THRESHOLD for stored in reports.values())
        }
        for key, window in self.own.by_key.items():
            window.decay(now_us)
            if window.unsuccessful >= FAULT_THRESHOLD:
                keys.add(key)
        return keys

    def reports_to_send(
        self, limit: int, cluster_size: int, is_unhealthy: bool, now_us: int
    ) -> list[HealthReport]:
        """Choose at most `limit` reports for a datagram: own ones first, then peers' least forwarded ones.

        An instance that is unhealthy itself sends no own reports.
        """
        chosen: list[HealthReport] = []
        paused = now_us < self.reports_paused_until_us
        if not (is_unhealthy or paused or self.own.suspects_itself(now_us)):
            chosen = self._own_reports(
                max(1, limit * OWN_REPORTS_NUMERATOR // OWN_REPORTS_DENOMINATOR), now_us
            )
        max_forwards = FORWARD_FACTOR * math.log2(cluster_size + 1)
        fresh = [
            stored for stored in self.peer_reports.latest_first() if stored.times_forwarded < max_forwards
        ]
        # Only the latest are sorted, which bounds the cost of a datagram.
        candidates = sorted(fresh[: 4 * limit], key=lambda stored: stored.times_forwarded)
        for stored in candidates[: limit - len(chosen)]:
            if now_us - stored.observed_us <= MAX_REPORT_AGE_US:
                stored.times_forwarded += 1
                chosen.append(stored.forwarded(now_us))
        return chosen

    def _own_reports(self, limit: int, now_us: int) -> list[HealthReport]:
        """Return own evidence on unhealthy endpoints, most unsuccessful attempts first."""
        self.sequence += 1
        windows = [
            (key, self.own.by_key[key])
            for key in self.unhealthy_keys(now_us)
            if key in self.own.by_key and self.own.by_key[key].attempts >= MIN_ATTEMPTS
        ]
        windows.sort(key=lambda pair: -pair[1].unsuccessful)
        return [
            HealthReport(
                reporter=self.reporter_id,
                sequence=self.sequence,
                key=key,
                attempts=window.attempts,
                failures=window.failures,
                timeouts=window.timeouts,
                rejections=window.rejections,
                age_us=0,
                last_success_age_us=max(0, now_us - window.last_success_us),
            )
            for key, window in windows[:limit]
        ]

    # Endpoint health

    def baseline_failure_rate(self, request_class: int, now_us: int) -> float:
        """Return the failure rate of this instance's attempts of a class, leaving out the worst third.

        Failures that affect all endpoints alike are not held against any of them.
        """
        rates = []
        for (_, window_class), window in self.own.by_key.items():
            if window_class == request_class:
                window.decay(now_us)
                if window.attempts >= MIN_ATTEMPTS:
                    rates.append(
                        (window.unsuccessful / window.attempts, window.attempts, window.unsuccessful)
                    )
        rates.sort()
        counted = rates[: math.ceil(len(rates) * (1.0 - MAX_PENALIZED_FRACTION))]
        if not counted:
            return 0.0
        attempts = sum(rate[1] for rate in counted)
        return sum(rate[2] for rate in counted) / (attempts + PRIOR_SUCCESSES)

    def health_of(self, key: EvidenceKey, now_us: int, baseline_failure_rate: float) -> EndpointHealth:
        """Combine all evidence on an endpoint and class."""
        endpoint, request_class = key
        classes = self.peer_reports.classes.get(endpoint, set()) | {request_class}
        confirmed_us = self.confirmed_unhealthy_us(endpoint, classes, now_us)
        peers, unhealthy_reporters = self._peer_evidence(key, classes, confirmed_us, now_us)
        own, own_finds_unhealthy = self._own_evidence(key, confirmed_us, now_us)
        confirmed = len(unhealthy_reporters) >= MIN_REPORTERS or (
            bool(unhealthy_reporters) and own_finds_unhealthy
        )
        penalty = 0.0
        if confirmed:
            attempts = peers.attempts + own.attempts + PRIOR_SUCCESSES
            penalty = penalty_of((peers.unsuccessful + own.unsuccessful) / attempts, baseline_failure_rate)
        return EndpointHealth(penalty, len(unhealthy_reporters), peers, own, baseline_failure_rate)

    def _peer_evidence(
        self, key: EvidenceKey, classes: Iterable[int], confirmed_us: float, now_us: int
    ) -> tuple[WeightedAttempts, set[int]]:
        """Return the weighted sum of peers' reports, and the reporters that find the endpoint unhealthy."""
        endpoint, request_class = key
        by_zone: dict[str, WeightedAttempts] = {}
        unhealthy_reporters: set[int] = set()
        for each_class in classes:
            weight = 1.0 if each_class == request_class else OTHER_CLASS_WEIGHT
            for stored in self._trusted_reports((endpoint, each_class), now_us):
                successes, unsuccessful = stored.decayed(now_us)
                if stored.last_success_us < confirmed_us:
                    successes *= STALE_SUCCESS_WEIGHT
                attempts = successes + unsuccessful
                if attempts < MIN_ATTEMPTS:
                    continue
                reporter = stored.report.reporter
                zone = self.reporter_zones.get(reporter, "")
                scale = weight * min(1.0, MAX_ATTEMPTS_PER_REPORTER / attempts)
                by_zone.setdefault(zone, WeightedAttempts()).add(attempts, unsuccessful, scale)
                if stored.unhealthy_since_us is not None and unsuccessful > UNHEALTHY_FAILURE_RATE * attempts:
                    unhealthy_reporters.add(reporter)
        total = WeightedAttempts()
        for zone, evidence in by_zone.items():
            zone_weight = 1.0 if zone == self.zone else OTHER_ZONE_WEIGHT
            scale = min(1.0, MAX_ATTEMPTS_PER_ZONE / evidence.attempts) * zone_weight
            total.add(evidence.attempts, evidence.unsuccessful, scale)
        return total, unhealthy_reporters

    def _own_evidence(
        self, key: EvidenceKey, confirmed_us: float, now_us: int
    ) -> tuple[WeightedAttempts, bool]:
        """Return this instance's weighted attempts, and whether they show the endpoint as unhealthy."""
        window = self.own.by_key.get(key)
        if window is None:
            return WeightedAttempts(), False
        window.decay(now_us)
        is_stale = window.last_success_us < confirmed_us
        attempts = window.successes * (STALE_SUCCESS_WEIGHT if is_stale else 1.0) + window.unsuccessful
        scale = OWN_WEIGHT * min(1.0, MAX_OWN_ATTEMPTS / max(attempts, MIN_ATTEMPTS))
        evidence = WeightedAttempts()
        evidence.add(attempts, window.unsuccessful, scale)
        return evidence, window.unsuccessful >= FAULT_THRESHOLD

    def _trusted_reports(self, key: EvidenceKey, now_us: int) -> list[PeerReport]:
        """Return the reports on an endpoint and class that are recent and from trusted reporters."""
        return [
            stored
            for stored in self.peer_reports.on(key)
            if stored.report.reporter not in self.untrusted_reporters
            and now_us - stored.observed_us <= MAX_REPORT_AGE_US
        ]

    def confirmed_unhealthy_us(self, endpoint: int, classes: Set[int], now_us: int) -> float:
        """Return when MIN_REPORTERS, counting this instance, had found an endpoint unhealthy.

        Successes before that time say little about its present health. Minus infinity if fewer have found it
        unhealthy.
        """
        since: dict[int, int] = {}
        for request_class in classes:
            for stored in self._trusted_reports((endpoint, request_class), now_us):
                if stored.unhealthy_since_us is not None:
                    reporter = stored.report.reporter
                    since[reporter] = min(
                        stored.unhealthy_since_us, since.get(reporter, stored.unhealthy_since_us)
                    )
            own = self.own.by_key.get((endpoint, request_class))
            if own is not None and own.unsuccessful >= FAULT_THRESHOLD:
                since[self.reporter_id] = min(own.updated_us, since.get(self.reporter_id, own.updated_us))
        times = sorted(since.values())
        return times[MIN_REPORTERS - 1] if len(times) >= MIN_REPORTERS else -math.inf

    def all_health(self, endpoints: Set[int], now_us: int) -> dict[EvidenceKey, EndpointHealth]:
        """Return the health of those of these endpoints that peers report on, penalized or not.

        For each class at most MAX_PENALIZED_FRACTION of the endpoints are penalized.
        """
        health_by_key: dict[EvidenceKey, EndpointHealth] = {}
        penalized: dict[int, list[tuple[float, EvidenceKey]]] = {}
        baselines: dict[int, float] = {}
        classes = {key[1] for key in (*self.peer_reports.by_key, *self.own.by_key)}
        reported = self.peer_reports.classes.keys() & endpoints
        for key in [(endpoint, request_class) for endpoint in reported for request_class in classes]:
            request_class = key[1]
            if request_class not in baselines:
                baselines[request_class] = self.baseline_failure_rate(request_class, now_us)
            health = self.health_of(key, now_us, baselines[request_class])
            health_by_key[key] = health
            if health.penalty:
                penalized.setdefault(request_class, []).append((health.penalty, key))
        max_penalized = int(MAX_PENALIZED_FRACTION * len(endpoints))
        for candidates in penalized.values():
            for _, key in sorted(candidates, reverse=True)[max_penalized:]:
                health_by_key[key] = replace(health_by_key[key], penalty=0.0)
        return health_by_key


@dataclass(slots=True)
class PoolKeys:
    """Maps a pool's endpoint ids and class indexes to the keys that are the same on all instances."""

    endpoints: Mapping[int, int]  # shared key by endpoint id
    classes: tuple[int, ...]  # shared key by class index
    endpoint_ids: dict[int, int] = field(default_factory=dict)  # by shared key

    def __post_init__(self) -> None:
        """Build the reverse map."""
        self.endpoint_ids = {key: endpoint_id for endpoint_id, key in self.endpoints.items()}


def penalties_for_pool(
    health: Mapping[EvidenceKey, EndpointHealth], keys: PoolKeys
) -> dict[tuple[int, int], float]:
    """Return the penalties by the pool's own endpoint id and class index."""
    penalties = {}
    for (endpoint, request_class), each in health.items():
        endpoint_id = keys.endpoint_ids.get(endpoint)
        if endpoint_id is not None and each.penalty and request_class in keys.classes:
            penalties[endpoint_id, keys.classes.index(request_class)] = each.penalty
    return penalties
