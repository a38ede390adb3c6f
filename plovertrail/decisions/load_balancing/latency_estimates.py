"""The usual response time of each request class."""

from __future__ import annotations

from plovertrail.decisions.settings import RequestClass

INITIAL_DIVISOR = 4  # of the latency objective, a first guess is this part


class LatencyEstimates:
    """Moving averages of response times, by class index."""

    __slots__ = ("mean_us", "slow_us")

    def __init__(self, classes: list[RequestClass]) -> None:
        self.mean_us = [each.latency_objective_us / INITIAL_DIVISOR for each in classes]
        # The time of a slow response, and how long a request may wait for a slot: the other half of the
        # objective is left for a retry.
        self.slow_us = [each.latency_objective_us // 2 for each in classes]

    def record(self, class_index: int, elapsed_us: int) -> None:
        """Record an attempt; a timeout counts as the objective at most."""
        mean_us = self.mean_us[class_index]
        elapsed_us = min(elapsed_us, 2 * self.slow_us[class_index])
        self.mean_us[class_index] = max(1.0, mean_us + (elapsed_us - mean_us) / 8)
