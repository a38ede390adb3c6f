"""The planned size and the budget of one sidecar for control; docs/CAPACITY.md refers to them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Target:
    """Size of the installation and rates of change on an ordinary day."""

    sidecars: int = 1_800
    services: int = 200
    servers_per_service: int = 9
    calls_per_s: int = 560_000
    call_depth: int = 24
    regions: int = 2
    zones: int = 8  # four in each region
    changes_per_day: int = 1_000
    restarts_per_day: int = 170
    losses_per_day: int = 2
    control_machines: int = 10

    @property
    def calls_per_s_of_one(self) -> float:
        """Requests a second that one sidecar carries."""
        return self.calls_per_s / self.sidecars


@dataclass(frozen=True, slots=True)
class Budget:
    """What one sidecar may use for control, and what it may add to a call."""

    core_share: float = 0.017
    resident_bytes: int = 64_000_000
    bytes_per_s: float = 6_000.0
    in_force_s: float = 18.0  # a change of configuration, everywhere
    drain_s: float = 2.0  # a drain, at one sidecar, after its list was told
    added_p99_ms: float = 1.2


TARGET = Target()
BUDGET = Budget()
