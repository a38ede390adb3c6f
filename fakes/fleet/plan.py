"""What a play of a fleet is made of; every process gets it whole, as JSON."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass


@dataclass(frozen=True, slots=True)
class Plan:
    """Times are seconds after `starts_at`, which is a time of the system's monotonic clock."""

    instances: int
    servers: int = 20
    requests_per_s: float = 1000.0  # of all instances together
    answer_s: float = 0.02
    seconds: float = 30.0
    starts_at: float = 0.0
    servers_each: int = 4  # an instance's subset
    connections: int = 150  # that one server bears
    dials_per_s: float = 150.0
    list_calls_per_s: float = 500.0
    capacity_per_s: float = 100.0  # requests that a warm server can do
    cold_share: float = 0.3
    warm_up_s: float = 8.0
    overload_factor: float = 2.5
    fall_s: float = 2.0
    restart_at: float = -1.0  # a server goes, and comes back cold; negative: never
    leave_at: float = -1.0  # another one leaves for good
    watches_end_at: float = -1.0  # discovery restarts: all watches end at one moment
    idle_s: float = 60.0

    def dump(self) -> str:
        """The plan as JSON, for another process."""
        return json.dumps(asdict(self))

    @staticmethod
    def load(text: str) -> Plan:
        """The plan from its JSON."""
        return Plan(**json.loads(text))
