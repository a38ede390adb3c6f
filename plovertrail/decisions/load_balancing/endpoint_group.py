"""A group of endpoints: all or, if cross-zone traffic has a cost, those of this zone or of the others."""

from __future__ import annotations

from plovertrail.decisions.load_balancing.admission_control import AdmissionController
from plovertrail.decisions.load_balancing.slow_start import WarmUpQueue
from plovertrail.decisions.load_balancing.weighted_sampler import WeightedSampler


class EndpointGroup:
    """Endpoints that share one admission controller and one warm-up queue.

    Each endpoint is in exactly one sampler, by id, with its selection weight.
    """

    __slots__ = ("active", "standby", "warming", "samplers", "capacity", "admission", "warm_up")

    def __init__(self, now_us: int) -> None:
        self.active = WeightedSampler()  # in regular use
        self.standby = WeightedSampler()  # unused until the traffic needs more endpoints
        self.warming = WeightedSampler()  # one slot each, open when a send is due
        self.samplers = (self.warming, self.active, self.standby)
        self.capacity = 0.0  # of all its endpoints when warm
        self.admission = AdmissionController(now_us)
        self.warm_up = WarmUpQueue(now_us)
