"""The endpoints of one locality, which are selected from and throttled together."""

from __future__ import annotations

from plovertrail.decisions.load_balancing.event_rate import EventRate
from plovertrail.decisions.load_balancing.weighted_sampler import WeightedSampler

MOST_KEPT = 0.999  # of the most answers a second, at each answer: it outlasts a shortage of a minute
SHORTAGE_US = 1_000_000  # between two looks at the pace of what is served


class EndpointGroup:
    """Upstreams thinned together: all, or, where crossing zones costs, this zone's and the others'."""

    __slots__ = (
        "admission_probability",
        "admission_credit",
        "load",
        "served",
        "active",
        "standby",
        "warming",
        "samplers",
        "warm_up_queue",
        "capacity",
        "send_rate",
        "last_signal_us",
        "response_rate",
        "peak_response_rate",
        "progress_mark",
        "progress_mark_us",
    )

    def __init__(self, now_us: int) -> None:
        self.admission_probability = (
            1.0  # part of the draws that may take a slot: falls while answers are slow all over
        )
        self.admission_credit = 1.0  # draws admitted and not yet used
        self.load = 0.0  # its answers' times of late: 1 = half the aim
        self.served = 0.0  # answers so far, and a tenth of what was admitted
        # by their numbers, with their free slots, which count less where it is slow: upstreams whose slots
        # are open, the others, whose stay closed till needed, and cold ones, which have one at their turns
        self.active = WeightedSampler()
        self.standby = WeightedSampler()
        self.warming = WeightedSampler()
        self.samplers = self.warming, self.active, self.standby
        self.warm_up_queue: list[tuple[float, int]] = []  # (next_cold, number) of cold ones; a heap
        self.capacity = 0.0  # of all its upstreams, as listed
        self.send_rate = EventRate(now_us)
        self.last_signal_us = now_us  # when an answer last moved what is admitted
        self.response_rate = EventRate(now_us)
        self.peak_response_rate = 0.0  # a second; it fades
        self.progress_mark, self.progress_mark_us = (
            0.0,
            now_us,
        )  # `served` when its pace was last looked at in a shortage

    def record_response(self, now_us: int) -> None:
        """A request was served."""
        self.served += 1.0
        self.response_rate.record(now_us)
        self.peak_response_rate = max(self.peak_response_rate * MOST_KEPT, self.response_rate.per_second)

    def record_rejection(self, now_us: int) -> None:
        """A request was refused with no attempt made: `served`, by which cold upstreams have their turns,
        goes on as fast as it did at best. Hazard: warm ones that choke serve less, and cold ones beside them
        would have fewer turns the more they are needed. It is never faster than what has been served in fact,
        however much is asked; by the second, as in shorter times answers come in lumps."""
        gap_us = now_us - self.progress_mark_us
        if gap_us < SHORTAGE_US:
            return
        if gap_us < 2 * SHORTAGE_US:
            self.served = max(self.served, self.progress_mark + self.peak_response_rate * gap_us / 1e6)
        self.progress_mark, self.progress_mark_us = self.served, now_us
