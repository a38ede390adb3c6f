"""The admission probability of a group of endpoints: an overloaded group gets only a part of the traffic.

An instance with little traffic never fills its slots, so concurrency limits alone do not reduce its load when
all endpoints are slow. Admission is reduced at once, since queues last for seconds.
"""

from __future__ import annotations

from plovertrail.decisions.load_balancing.event_rate import EventRate

TARGET_LOAD = 0.7  # of the slow response time: the load at which limits and admission stay as they are
GAIN_PER_S = 2.4  # a second of slow responses cuts the probability to a tenth, before queues fill
MAX_SIGNAL_GAP_US = 1_000_000  # the longest interval that one response counts for
RECOVERY_FACTOR = 1.5  # growth of the probability after each such interval without a response
MIN_PROBABILITY = 0.1  # if service itself has slowed down, admitting less does not help
MAX_CREDIT = 2.0


class AdmissionController:
    """Admits selections by a credit that grows by the admission probability with each request."""

    __slots__ = ("probability", "credit", "load", "send_rate", "_last_signal_us")

    def __init__(self, now_us: int) -> None:
        self.probability = 1.0
        self.credit = 1.0  # sends that were admitted and not made yet
        self.load = 0.0  # moving average of response times; 1 = half the latency objective
        self.send_rate = EventRate(now_us)
        self._last_signal_us = now_us

    def replenish(self, now_us: int) -> None:
        """Credit a request that looks for a slot."""
        if self.probability < 1.0 and now_us - self._last_signal_us > MAX_SIGNAL_GAP_US:
            # With little traffic, the responses that would raise the probability are too rare.
            self.probability = min(1.0, self.probability * RECOVERY_FACTOR)
            self._last_signal_us = now_us
        self.credit = min(MAX_CREDIT, self.credit + self.probability)

    def admits(self) -> bool:
        """Whether a send may take a slot now."""
        return self.credit >= 1.0

    def record_send(self, now_us: int) -> None:
        """Charge a send; endpoints that are warming up are sent to even without credit."""
        self.credit = self.credit - 1.0 if self.credit > 1.0 else 0.0
        self.send_rate.record(now_us)

    def record_load(self, load: float, now_us: int) -> None:
        """Adjust the probability by the load that one attempt has shown."""
        self.load += (load - self.load) / 8
        # By the send rate alone, an instance reduced to a tenth of little traffic would learn too slowly that
        # an overload is over, so a response counts for the gap before it. Slow responses count for no more
        # than the gap, as a burst of them shows one moment.
        gap_us = min(now_us - self._last_signal_us, MAX_SIGNAL_GAP_US)
        self._last_signal_us = now_us
        gain = GAIN_PER_S * gap_us / 1e6
        if load < TARGET_LOAD:
            gain = max(gain, GAIN_PER_S / max(1.0, self.send_rate.per_second))
        elif self.load <= 0.5:
            gain = 0.0  # one slow response among fast ones
        self.probability *= max(0.3, 1.0 + gain * (TARGET_LOAD - load))
        self.probability = min(1.0, max(self.probability, MIN_PROBABILITY))
