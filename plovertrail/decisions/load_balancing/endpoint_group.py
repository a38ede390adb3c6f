"""The endpoints of one locality: all of them, or, where crossing zones costs, this zone's or the others'."""

from __future__ import annotations

from plovertrail.decisions.load_balancing.admission_control import AdmissionController
from plovertrail.decisions.load_balancing.slow_start import WarmUpQueue
from plovertrail.decisions.load_balancing.weighted_sampler import WeightedSampler


class EndpointGroup:
    """Endpoints that are selected from, throttled and warmed up together.

    Each endpoint is in exactly one sampler, by its id and with its free slots as weight.
    """

    __slots__ = ("active", "standby", "warming", "samplers", "capacity", "admission", "warm_up")

    def __init__(self, now_us: int) -> None:
        self.active = WeightedSampler()  # in regular use
        self.standby = WeightedSampler()  # not used until the traffic needs more endpoints
        self.warming = WeightedSampler()  # one slot each, when a send is due
        self.samplers = (self.warming, self.active, self.standby)
        self.capacity = 0.0  # of all its endpoints once they are warm
        self.admission = AdmissionController(now_us)
        self.warm_up = WarmUpQueue(now_us)
