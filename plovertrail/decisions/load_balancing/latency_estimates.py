"""Estimates of the response time of each request class."""

from __future__ import annotations

from plovertrail.decisions.settings import RequestClass

INITIAL_DIVISOR = 4  # the initial estimate is the latency objective divided by this


class LatencyEstimates:
    """Moving averages of response times, by class index."""

    __slots__ = ("mean_us", "slow_us")

    def __init__(self, classes: list[RequestClass]) -> None:
        self.mean_us = [each.latency_objective_us / INITIAL_DIVISOR for each in classes]
        # From this time on a response counts as slow, and a request waits for a slot no longer than this: the
        # other half of the objective is left for a retry.
        self.slow_us = [each.latency_objective_us // 2 for each in classes]

    def record(self, class_index: int, elapsed_us: int) -> None:
        """Record the time of an attempt, which counts as no more than the latency objective."""
        mean_us = self.mean_us[class_index]
        elapsed_us = min(elapsed_us, 2 * self.slow_us[class_index])
        self.mean_us[class_index] = max(1.0, mean_us + (elapsed_us - mean_us) / 8)
