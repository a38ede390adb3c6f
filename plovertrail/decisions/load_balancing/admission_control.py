"""Admission control for a group of endpoints: an overloaded group gets only a part of the traffic.

An instance with little traffic never fills its slots, so concurrency limits alone do not reduce the load that
it causes while all endpoints are slow. Admission is reduced fast, since queues take seconds to drain.
"""

from __future__ import annotations

from plovertrail.decisions.load_balancing.event_rate import EventRate

TARGET_LOAD = 0.7  # load (1 = slow response time) at which limits and admission do not change
GAIN_PER_S = 2.4  # one second of slow responses cuts the probability to a tenth, before queues fill
MAX_SIGNAL_GAP_US = 1_000_000  # the longest interval that one response can count for
RECOVERY_FACTOR = 1.5  # growth of the probability for each such interval without a response
MIN_PROBABILITY = 0.1  # if the service itself has become slower, admitting less does not help
MAX_CREDIT = 2.0


class AdmissionController:
    """Admits sends by a credit, to which each request adds the admission probability."""

    __slots__ = ("probability", "credit", "load", "send_rate", "_last_signal_us")

    def __init__(self, now_us: int) -> None:
        self.probability = 1.0
        self.credit = 1.0  # admitted sends that have not been made yet
        self.load = 0.0  # moving average of response times; 1 = half the latency objective
        self.send_rate = EventRate(now_us)
        self._last_signal_us = now_us

    def replenish(self, now_us: int) -> None:
        """Add the credit of a request that needs a slot."""
        if self.probability < 1.0 and now_us - self._last_signal_us > MAX_SIGNAL_GAP_US:
            # With little traffic, responses are too rare to raise the probability in time.
            self.probability = min(1.0, self.probability * RECOVERY_FACTOR)
            self._last_signal_us = now_us
        self.credit = min(MAX_CREDIT, self.credit + self.probability)

    def admits(self) -> bool:
        """Return whether a send may take a slot now."""
        return self.credit >= 1.0

    def record_send(self, now_us: int) -> None:
        """Charge a send; the credit may be 0, since warming endpoints are sent to without admission."""
        self.credit = self.credit - 1.0 if self.credit > 1.0 else 0.0
        self.send_rate.record(now_us)

    def record_load(self, load: float, now_us: int) -> None:
        """Adjust the probability by the load measured by one attempt."""
        self.load += (load - self.load) / 8
        # Each response counts for the time since the previous one. If fast responses counted by the send rate
        # alone, an instance with little traffic that was reduced to a tenth would recover too slowly. Slow
        # responses count for no more than that time, since a burst of them reflects a single moment.
        gap_us = min(now_us - self._last_signal_us, MAX_SIGNAL_GAP_US)
        self._last_signal_us = now_us
        gain = GAIN_PER_S * gap_us / 1e6
        if load < TARGET_LOAD:
            gain = max(gain, GAIN_PER_S / max(1.0, self.send_rate.per_second))
        elif self.load <= 0.5:
            gain = 0.0  # a single slow response among fast ones
        self.probability *= max(0.3, 1.0 + gain * (TARGET_LOAD - load))
        self.probability = min(1.0, max(self.probability, MIN_PROBABILITY))
