"""Evidence on the health of endpoints: this instance's attempts, and the reports that peers gossip.

Each instance counts the results of its attempts by endpoint and request class, with exponential decay. Of
peers' reports the latest of each reporter is kept, so the merge does not depend on their order, on duplicates
or on the path they took; they decay by the receiver's own clock. Pure: times are arguments, in microseconds.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Iterator
from dataclasses import dataclass, replace

FAILURE_HALF_LIFE_US = 8_000_000  # an endpoint that has recovered is used again after a few half-lives
# Successes decay faster: many recent successes would otherwise hide the first failures, which is when peers'
# reports are most useful.
SUCCESS_HALF_LIFE_US = 2_000_000
MAX_REPORT_AGE_US = 30_000_000  # a wrong report has no effect for longer than this after it was last sent
MAX_PEER_REPORTS = 4_096  # the reports received longest ago are dropped first
FAULT_THRESHOLD = 0.5  # decayed unsuccessful attempts from which on an endpoint is reported as unhealthy
SELF_SUSPICION_FRACTION = 0.5  # if more of its endpoints look unhealthy, the instance may be at fault itself
SELF_SUSPICION_MIN_ENDPOINTS = 4  # with fewer endpoints tried it never suspects itself
UNHEALTHY_FAILURE_RATE = 0.3
MIN_ATTEMPTS = 0.05  # fewer decayed attempts do not count as evidence
MAX_OWN_WINDOWS = 4_096  # the windows used longest ago are dropped first
SWEEP_BATCH = 256  # entries that one sweep checks
EvidenceKey = tuple[int, int]  # endpoint and request class, by keys that are the same on all instances


class AttemptResult(enum.Enum):
    """How an attempt ended, as evidence of the endpoint's health."""

    SUCCESS = enum.auto()
    FAILURE = enum.auto()  # an error, a failed connection or a malformed response
    TIMEOUT = enum.auto()  # no response in time
    REJECTION = enum.auto()  # rejected by the endpoint because it is at capacity


@dataclass(slots=True)
class AttemptWindow:
    """Attempts of this instance at one endpoint and class, by result; older ones count less."""

    updated_us: int
    successes: float = 0.0
    failures: float = 0.0
    timeouts: float = 0.0
    rejections: float = 0.0
    last_success_us: int = 0

    def decay(self, now_us: int) -> None:
        """Reduce the counts by the time since the last update."""
        age_us = max(0, now_us - self.updated_us)
        remaining = math.exp2(-age_us / FAILURE_HALF_LIFE_US)
        self.successes *= math.exp2(-age_us / SUCCESS_HALF_LIFE_US)
        self.failures *= remaining
        self.timeouts *= remaining
        self.rejections *= remaining
        self.updated_us = max(self.updated_us, now_us)

    def record(self, result: AttemptResult, now_us: int) -> None:
        """Count an attempt that ended now; call `decay` first."""
        if result is AttemptResult.SUCCESS:
            self.successes += 1.0
            self.last_success_us = now_us
            return
        if result is AttemptResult.FAILURE:
            self.failures += 1.0
        elif result is AttemptResult.TIMEOUT:
            self.timeouts += 1.0
        else:
            self.rejections += 1.0
        self.successes /= 2.0  # successes before a failure say less about the attempts after it

    @property
    def unsuccessful(self) -> float:
        """Attempts that failed, timed out or were rejected."""
        return self.failures + self.timeouts + self.rejections

    @property
    def attempts(self) -> float:
        """All attempts, decayed."""
        return self.successes + self.unsuccessful


class OwnEvidence:
    """The attempt windows of this instance, at most MAX_OWN_WINDOWS of them."""

    def __init__(self) -> None:
        self.by_key: dict[EvidenceKey, AttemptWindow] = {}  # the window used last is at the end

    def record(self, key: EvidenceKey, result: AttemptResult, now_us: int) -> bool:
        """Count an attempt; returns whether it made the endpoint unhealthy."""
        window = self.by_key.pop(key, None)
        if window is None:
            if len(self.by_key) >= MAX_OWN_WINDOWS:
                del self.by_key[next(iter(self.by_key))]
            window = AttemptWindow(now_us)
        self.by_key[key] = window
        window.decay(now_us)
        unsuccessful_before = window.unsuccessful
        window.record(result, now_us)
        return unsuccessful_before < FAULT_THRESHOLD <= window.unsuccessful

    def suspects_itself(self, now_us: int) -> bool:
        """Whether so many endpoints fail for this instance that the fault may be its own."""
        attempts: dict[int, float] = {}
        unsuccessful: dict[int, float] = {}
        for (endpoint, _), window in self.by_key.items():
            window.decay(now_us)
            if window.attempts >= MIN_ATTEMPTS:
                attempts[endpoint] = attempts.get(endpoint, 0.0) + window.attempts
                unsuccessful[endpoint] = unsuccessful.get(endpoint, 0.0) + window.unsuccessful
        unhealthy = sum(
            unsuccessful[endpoint] > UNHEALTHY_FAILURE_RATE * count for endpoint, count in attempts.items()
        )
        tried = len(attempts)
        return tried >= SELF_SUSPICION_MIN_ENDPOINTS and unhealthy > SELF_SUSPICION_FRACTION * tried

    def sweep(self, now_us: int) -> None:
        """Drop windows that have decayed; each call checks a bounded number."""
        for key in list(self.by_key)[:SWEEP_BATCH]:
            window = self.by_key[key]
            window.decay(now_us)
            if window.attempts < MIN_ATTEMPTS:
                del self.by_key[key]


@dataclass(frozen=True, slots=True)
class HealthReport:
    """One instance's evidence on one endpoint and class, `age_us` before the report arrived here."""

    reporter: int  # its key, the same on all instances
    sequence: int  # increases, also over the reporter's restarts; the highest one wins
    key: EvidenceKey
    attempts: float
    failures: float
    timeouts: float
    rejections: float
    age_us: int
    last_success_age_us: int = 0  # from the end of its last successful attempt until that time

    @property
    def unsuccessful(self) -> float:
        """Attempts that failed, timed out or were rejected."""
        return self.failures + self.timeouts + self.rejections

    @property
    def finds_unhealthy(self) -> bool:
        """Whether the reporter finds the endpoint unhealthy for the class."""
        return self.unsuccessful >= FAULT_THRESHOLD

    @property
    def is_valid(self) -> bool:
        """Whether its numbers are consistent and recent enough to be used."""
        parts = self.failures, self.timeouts, self.rejections
        return (
            self.attempts >= 0.0
            and all(part >= 0.0 for part in parts)
            and math.isfinite(self.attempts)
            and sum(parts) <= self.attempts + 0.1  # counts are rounded on the wire
            and 0 <= self.age_us <= MAX_REPORT_AGE_US
            and self.last_success_age_us >= 0
        )


@dataclass(slots=True)
class PeerReport:
    """The latest report of one reporter, as this instance stores it."""

    report: HealthReport
    observed_us: int  # by this instance's clock: the time of arrival less the report's age
    unhealthy_since_us: int | None = None  # earliest known time of the reporter's unbroken unhealthy reports
    times_forwarded: int = 0

    @property
    def last_success_us(self) -> int:
        """When the reporter's last successful attempt ended, by this instance's clock."""
        return self.observed_us - self.report.last_success_age_us

    def decayed(self, now_us: int) -> tuple[float, float]:
        """Return the successful and unsuccessful attempts, decayed until now."""
        age_us = max(0, now_us - self.observed_us)
        unsuccessful = self.report.unsuccessful
        successes = max(0.0, self.report.attempts - unsuccessful)
        return (
            successes * math.exp2(-age_us / SUCCESS_HALF_LIFE_US),
            unsuccessful * math.exp2(-age_us / FAILURE_HALF_LIFE_US),
        )

    def forwarded(self, now_us: int) -> HealthReport:
        """Return the report to forward: the same numbers, with their present age."""
        return replace(self.report, age_us=now_us - self.observed_us)


class PeerReports:
    """The latest report of each peer on each endpoint and class, at most MAX_PEER_REPORTS of them."""

    def __init__(self) -> None:
        self.by_key: dict[EvidenceKey, dict[int, PeerReport]] = {}  # then by reporter
        self.classes: dict[int, set[int]] = {}  # by endpoint, the classes that there are reports on
        self.count = 0
        self.dropped = 0  # reports that were invalid, or evicted by later ones
        self._arrivals: dict[tuple[EvidenceKey, int], None] = {}  # ordered: the latest to arrive is last

    def get(self, key: EvidenceKey, reporter: int) -> PeerReport | None:
        """Return the stored report of a reporter, if any."""
        return self.by_key.get(key, {}).get(reporter)

    def on(self, key: EvidenceKey) -> Iterator[PeerReport]:
        """Return all reports on an endpoint and class."""
        return iter(self.by_key.get(key, {}).values())

    def merge(self, report: HealthReport, now_us: int) -> bool:
        """Keep a report if it is later than the reporter's previous one; returns whether it was."""
        previous = self.get(report.key, report.reporter)
        if previous is not None:
            if report.sequence <= previous.report.sequence:
                return False
            del self._arrivals[report.key, report.reporter]
        else:
            self.count += 1
        observed_us = now_us - report.age_us
        unhealthy_since_us = observed_us if report.finds_unhealthy else None
        earlier_us = previous.unhealthy_since_us if previous is not None else None
        if unhealthy_since_us is not None and earlier_us is not None:
            # Otherwise each repeated unhealthy report would move this time forward, and all successes that
            # others have seen meanwhile would seem to precede it.
            unhealthy_since_us = min(unhealthy_since_us, earlier_us)
        stored = PeerReport(report, observed_us, unhealthy_since_us)
        self.by_key.setdefault(report.key, {})[report.reporter] = stored
        endpoint, request_class = report.key
        self.classes.setdefault(endpoint, set()).add(request_class)
        self._arrivals[report.key, report.reporter] = None
        while self.count > MAX_PEER_REPORTS:
            self._remove(*next(iter(self._arrivals)))
            self.dropped += 1
        return True

    def latest_first(self) -> Iterator[PeerReport]:
        """Return all reports, the latest to arrive first."""
        return (self.by_key[key][reporter] for key, reporter in reversed(self._arrivals))

    def sweep(self, now_us: int) -> None:
        """Remove reports that are too old to count; each call checks a bounded number."""
        for key, reporter in list(self._arrivals)[:SWEEP_BATCH]:
            if now_us - self.by_key[key][reporter].observed_us > MAX_REPORT_AGE_US:
                self._remove(key, reporter)

    def _remove(self, key: EvidenceKey, reporter: int) -> None:
        del self._arrivals[key, reporter]
        del self.by_key[key][reporter]
        self.count -= 1
        if self.by_key[key]:
            return
        del self.by_key[key]
        endpoint, request_class = key
        self.classes[endpoint].discard(request_class)
        if not self.classes[endpoint]:
            del self.classes[endpoint]
