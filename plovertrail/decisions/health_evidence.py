"""Evidence on the health of endpoints: this instance's attempts, and the reports that peers gossip.

Each instance counts how its attempts end, by endpoint and request class, in a window that decays. What peers
report is merged by the latest report of each reporter, so that order, duplicates and paths make no
difference; it decays by the receiver's own clock. Pure: times are arguments, in microseconds.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Iterator
from dataclasses import dataclass, replace

FAILURE_HALF_LIFE_US = 8_000_000  # an endpoint that has recovered is used again within some of these
# Successes decay faster: the many successes of a moment ago would otherwise hide the first failures, which is
# when peers' reports are worth most.
SUCCESS_HALF_LIFE_US = 2_000_000
MAX_REPORT_AGE_US = 30_000_000  # a wrong accusation lasts no longer than this after the last report of it
MAX_PEER_REPORTS = 4_096  # the reports received longest ago are dropped first
FAULT_THRESHOLD = 0.5  # unsuccessful attempts, decayed, from which on an endpoint is reported
SELF_SUSPICION_FRACTION = 0.5  # of its endpoints unhealthy: the fault may be the instance's own
SELF_SUSPICION_MIN_ENDPOINTS = 4
UNHEALTHY_FAILURE_RATE = 0.3
MIN_ATTEMPTS = 0.05  # decayed attempts below this are no evidence
MAX_OWN_WINDOWS = 4_096  # the windows used longest ago are dropped first
SWEEP_BATCH = 256  # entries that one sweep looks at
EvidenceKey = tuple[int, int]  # an endpoint and a request class, as all instances know them


class AttemptResult(enum.Enum):
    """How an attempt ended, as far as it tells of the endpoint's health."""

    SUCCESS = enum.auto()
    FAILURE = enum.auto()  # failed at once, or the response was malformed
    TIMEOUT = enum.auto()  # no response in time
    REJECTION = enum.auto()  # rejected by the endpoint, as it is at capacity


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
        """Let earlier attempts count less, by the half-lives."""
        age_us = max(0, now_us - self.updated_us)
        remaining = math.exp2(-age_us / FAILURE_HALF_LIFE_US)
        self.successes *= math.exp2(-age_us / SUCCESS_HALF_LIFE_US)
        self.failures *= remaining
        self.timeouts *= remaining
        self.rejections *= remaining
        self.updated_us = max(self.updated_us, now_us)

    def record(self, result: AttemptResult, now_us: int) -> None:
        """Count an attempt that has ended now."""
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
        self.successes /= 2.0  # successes before a failure say less of what follows

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
        """Count an attempt; returns whether the endpoint turned unhealthy by it."""
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
        """Whether so many endpoints fail for this instance that it suspects itself."""
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
        """Drop windows that have decayed; each call looks at a bounded number."""
        for key in list(self.by_key)[:SWEEP_BATCH]:
            window = self.by_key[key]
            window.decay(now_us)
            if window.attempts < MIN_ATTEMPTS:
                del self.by_key[key]


@dataclass(frozen=True, slots=True)
class HealthReport:
    """What one instance has seen of one endpoint and class, `age_us` before the report arrived here."""

    reporter: int  # as all instances know it
    sequence: int  # grows over the reporter's restarts; its highest report counts
    key: EvidenceKey
    attempts: float
    failures: float
    timeouts: float
    rejections: float
    age_us: int
    last_success_age_us: int = 0  # how long before that its last successful attempt had ended

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
        """Whether its figures are consistent and recent enough to count."""
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
    """The latest report of one reporter, as it is stored here."""

    report: HealthReport
    observed_us: int  # when it was true, by this instance's clock: its age has been subtracted
    unhealthy_since_us: int | None = None  # since when the reporter accuses the endpoint, as far as known
    times_forwarded: int = 0

    @property
    def last_success_us(self) -> int:
        """When the reporter's last successful attempt had ended, by this instance's clock."""
        return self.observed_us - self.report.last_success_age_us

    def decayed(self, now_us: int) -> tuple[float, float]:
        """Successful and unsuccessful attempts, as they count by now."""
        age_us = max(0, now_us - self.observed_us)
        unsuccessful = self.report.unsuccessful
        successes = max(0.0, self.report.attempts - unsuccessful)
        return (
            successes * math.exp2(-age_us / SUCCESS_HALF_LIFE_US),
            unsuccessful * math.exp2(-age_us / FAILURE_HALF_LIFE_US),
        )

    def forwarded(self, now_us: int) -> HealthReport:
        """The report as it is passed on now: the same figures, with the age that they have here."""
        return replace(self.report, age_us=now_us - self.observed_us)


class PeerReports:
    """The latest report of each peer on each endpoint and class, at most MAX_PEER_REPORTS of them."""

    def __init__(self) -> None:
        self.by_key: dict[EvidenceKey, dict[int, PeerReport]] = {}  # then by reporter
        self.classes: dict[int, set[int]] = {}  # by endpoint, those that there are reports on
        self.count = 0
        self.dropped = 0  # reports that were invalid, or evicted by later ones
        self._arrivals: dict[tuple[EvidenceKey, int], None] = {}  # the latest to arrive is last

    def get(self, key: EvidenceKey, reporter: int) -> PeerReport | None:
        """The report that is stored of a reporter, if any."""
        return self.by_key.get(key, {}).get(reporter)

    def on(self, key: EvidenceKey) -> Iterator[PeerReport]:
        """All reports on an endpoint and class."""
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
            # A reporter that repeats an accusation each moment would otherwise make every success that others
            # have seen since appear to precede it.
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
        """All reports, the latest to arrive first."""
        return (self.by_key[key][reporter] for key, reporter in reversed(self._arrivals))

    def sweep(self, now_us: int) -> None:
        """Remove reports that are too old to count; each call looks at a bounded number."""
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
