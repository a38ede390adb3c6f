"""Opens slots with the passing of time: at the end of cool-downs, warm-ups, exclusions and penalties."""

from __future__ import annotations

from plovertrail.decisions.load_balancing.class_exclusions import ClassExclusions
from plovertrail.decisions.load_balancing.endpoint_state import EndpointState
from plovertrail.decisions.load_balancing.endpoint_table import EndpointTable
from plovertrail.decisions.load_balancing.outlier_ejection import FailurePenalties
from plovertrail.decisions.load_balancing.timers import RecheckQueue


class SlotReopener:
    """Updates the selection weights that change with time."""

    __slots__ = ("rechecks", "_table", "_penalties", "_exclusions")

    def __init__(
        self,
        table: EndpointTable,
        rechecks: RecheckQueue,
        penalties: FailurePenalties,
        exclusions: ClassExclusions,
    ) -> None:
        self.rechecks = rechecks
        self._table = table
        self._penalties = penalties
        self._exclusions = exclusions

    def reopen_due(self, now_us: int) -> None:
        """Apply all changes that are due."""
        self._penalties.decay_due(now_us)
        while (endpoint_id := self.rechecks.pop_due(now_us)) is not None:
            endpoint = self._table.by_id.get(endpoint_id)
            if endpoint is not None:
                self._recheck(endpoint, now_us)
        self._exclusions.end_due(now_us)

    def next_opening_us(self, class_index: int) -> int:
        """Return when the next slot may open, without an event, for a request of this class."""
        return min(self.rechecks.next_due_us(), self._exclusions.next_end_us(class_index))

    def forget(self, endpoint: EndpointState) -> None:
        """Drop the penalty and exclusions of a removed endpoint."""
        self._penalties.forget(endpoint.listed.id)
        self._exclusions.forget(endpoint)

    def _recheck(self, endpoint: EndpointState, now_us: int) -> None:
        warming = endpoint.group.warming
        is_warm = self._table.warm_up_fraction(endpoint, now_us) >= 1.0
        if is_warm and endpoint.listed.id in warming:
            warming.discard(endpoint.listed.id)
            # Otherwise, if half of a fleet was replaced, all instances would overload the old endpoints, as
            # these are active and slow but have a free slot, while the fast new ones stay idle.
            if endpoint.relative_latency < 1.0:
                self._table.set_active(endpoint, True, now_us)
        self._table.update_selection_weight(endpoint, now_us)
