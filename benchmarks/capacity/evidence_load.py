"""Attempts of one sidecar at the servers of its services, and its looks at what all evidence comes to."""

from __future__ import annotations

import random
from dataclasses import dataclass

from benchmarks.capacity.cpu_meter import CpuMeter
from benchmarks.capacity.event_queue import SECOND_US
from benchmarks.capacity.member_crowd import MemberCrowd
from benchmarks.capacity.target import TARGET
from plovertrail.decisions.background import BackgroundScheduler
from plovertrail.decisions.health_evidence import AttemptResult
from plovertrail.decisions.outlier_detection import OutlierDetector, PoolKeys, penalties_for_pool
from plovertrail.health_reporter import EVALUATION, class_key, endpoint_key

STEP_US = 20_000  # attempts that end within this are counted at one moment
CLASS_KEY = class_key("read")
LEAST_WAIT_US = 1_000


@dataclass(frozen=True, slots=True)
class ServiceSizes:
    """How many services a sidecar calls, and the servers of each."""

    services: int = TARGET.services
    servers: int = TARGET.servers_per_service

    @property
    def endpoint_keys(self) -> list[list[int]]:
        """By service, its servers as all sidecars know them."""
        return [
            [endpoint_key(f"service-{service}", f"server-{server}") for server in range(self.servers)]
            for service in range(self.services)
        ]


class FailingServers:
    """Which servers fail now, by their place in the list of all; spread evenly over it, and at least one."""

    def __init__(self, servers: int) -> None:
        self.servers = servers
        self._failing: frozenset[int] = frozenset()

    def fail(self, count: int) -> None:
        """So many of them."""
        count = max(1, count)
        self._failing = frozenset(number * self.servers // count for number in range(count))

    def recover(self) -> None:
        """All are well."""
        self._failing = frozenset()

    def __contains__(self, place: object) -> bool:
        return place in self._failing


class EvidenceLoad:
    """The attempts of one whole member of a crowd, and its looks as the daemon's background work has them."""

    def __init__(self, crowd: MemberCrowd, number: int, sizes: ServiceSizes, failing: FailingServers) -> None:
        member = crowd.members[number]
        assert member.detector is not None
        self.crowd = crowd
        self.number = number
        self.detector: OutlierDetector = member.detector
        self.failing = failing
        self.meter: CpuMeter = crowd.evidence_meters[number]
        self.rng = random.Random(crowd.plan.seed * 1_000 + number)
        self.pools = sizes.endpoint_keys
        self.keys = [(server, CLASS_KEY) for pool in self.pools for server in pool]
        self.pool_keys = [PoolKeys(dict(enumerate(pool)), (CLASS_KEY,)) for pool in self.pools]
        self.background = BackgroundScheduler(crowd.local_us)
        self.background.add(EVALUATION, crowd.local_us, EVALUATION.interval_us)
        self.next_pool = 0
        self.looks = 0
        self._due_attempts = 0.0
        self._attempts()
        self._look_when_due()

    def _attempts(self) -> None:
        """The attempts of one step end."""
        self._due_attempts += TARGET.calls_per_s_of_one * STEP_US / SECOND_US
        while self._due_attempts >= 1.0:
            self._due_attempts -= 1.0
            place = self.rng.randrange(len(self.keys))
            result = AttemptResult.FAILURE if place in self.failing else AttemptResult.SUCCESS
            self.meter.call(self.detector.record_attempt, self.keys[place], result, self.crowd.local_us)
        if self.detector.has_urgent_report:
            self.crowd.flush_news(self.number)
            self.background.make_due(EVALUATION.name, self.crowd.local_us)
        self.crowd.queue.after(STEP_US, self._attempts)

    def _look_when_due(self) -> None:
        """One slice of the look, a service's, if the background work's budget lets it run now."""
        now_us = self.crowd.local_us
        if self.background.next_task(now_us) is not None:
            before_ns = self.meter.total_ns
            self.meter.call(self._look_at_pool, self.next_pool, now_us)
            took_us = (self.meter.total_ns - before_ns) // 1_000
            self.next_pool = (self.next_pool + 1) % len(self.pools)
            over = self.next_pool == 0
            self.looks += over
            self.background.slice_ended(EVALUATION.name, took_us, over, now_us)
        due_us = self.background.next_check_us(now_us)
        assert due_us is not None
        self.crowd.queue.after(max(LEAST_WAIT_US, due_us - now_us), self._look_when_due)

    def _look_at_pool(self, pool: int, now_us: int) -> None:
        keys = self.pool_keys[pool]
        penalties_for_pool(self.detector.all_health(keys.endpoint_ids.keys(), now_us), keys)
