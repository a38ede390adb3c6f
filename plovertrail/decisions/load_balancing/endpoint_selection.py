"""Selects the endpoint of an attempt: weighted sampling, affinity, exclusions and dedup groups."""

from __future__ import annotations

import random

from plovertrail.decisions.load_balancing.class_exclusions import ClassExclusions
from plovertrail.decisions.load_balancing.endpoint_group import EndpointGroup
from plovertrail.decisions.load_balancing.endpoint_state import EndpointState
from plovertrail.decisions.load_balancing.endpoint_table import EndpointTable
from plovertrail.decisions.load_balancing.request_state import RequestState
from plovertrail.decisions.load_balancing.weighted_sampler import WeightedSampler

MIN_ACTIVE = 4  # active endpoints of an instance with almost no traffic
SENDS_PER_S_PER_ACTIVE = 1.5  # per active endpoint: fewer are too few to judge it, more overload it
NO_RESPONSE_SCALE = 0.1  # a penalty of this size quarters the probability; chance causes far less
MAX_SAMPLES = 12  # samples before all endpoints are searched; most selections need one


class EndpointSelector:
    """Selects an endpoint with a free slot at random.

    In order of preference: a warming endpoint that is due for a send, an active endpoint, one on standby; but
    standby comes before active while the traffic needs more active endpoints. If due sends competed with the
    free slots of other endpoints, many would be lost while the warm endpoints are overloaded. Requests go to
    other zones only if they are not admitted in this zone or find no free slot there.
    """

    __slots__ = ("_table", "_exclusions", "_random")

    def __init__(self, table: EndpointTable, exclusions: ClassExclusions, rng: random.Random) -> None:
        self._table = table
        self._exclusions = exclusions
        self._random = rng

    def select_endpoint(self, request: RequestState, now_us: int) -> EndpointState | None:
        """Return an endpoint with a free slot for a request; None if there is none."""
        if request.event.preferred and not request.attempts:
            endpoint = self._preferred(request, now_us)
            if endpoint is not None:
                return endpoint
        class_index = request.event.class_index
        penalized: EndpointState | None = None  # fallback if there is no other endpoint
        for group in self._table.groups:
            self._update_warming(group, now_us)
            for sampler in self._samplers(group):
                if sampler.total_weight <= 0.0:
                    continue
                endpoint = self._sample(request, sampler, now_us)
                if endpoint is None:
                    continue
                # An endpoint that peers report as unhealthy is only a fallback: in a sampler without other
                # members it would be selected every time.
                penalties = endpoint.peer_penalties
                if penalties and penalized is None and class_index in penalties:
                    penalized = endpoint
                    continue
                return endpoint
        return penalized

    def _update_warming(self, group: EndpointGroup, now_us: int) -> None:
        """Update the weights of the warming endpoints that are due for a send."""
        while (endpoint_id := group.warm_up.pop_due()) is not None:
            self._table.update_selection_weight(self._table.by_id.get(endpoint_id), now_us)

    @staticmethod
    def _samplers(group: EndpointGroup) -> tuple[WeightedSampler, ...]:
        """Return the samplers of a group in the order in which they are tried."""
        admission = group.admission
        if not admission.admits():
            return (group.warming,)  # their sends are scheduled and do not add to the overload
        needed = MIN_ACTIVE + int(admission.send_rate.per_second / SENDS_PER_S_PER_ACTIVE)
        if len(group.active) < needed and group.standby.total_weight > 0.0:
            return (group.warming, group.standby, group.active)
        # Standby last: if each instance were connected to each endpoint, connection tables would fill up.
        return group.samplers

    def _preferred(self, request: RequestState, now_us: int) -> EndpointState | None:
        """Return the first preferred endpoint that random selection could also return.

        This is for first attempts only: retries must not go back to a failing preferred endpoint.
        """
        for endpoint_id in request.event.preferred:
            endpoint = self._table.by_id.get(endpoint_id)
            if endpoint is None or not endpoint.group.admission.admits():
                continue
            if self._table.selection_weight(endpoint, now_us) <= 0.0:
                continue
            is_healthy = self._selection_penalty(endpoint, request.event.class_index) < NO_RESPONSE_SCALE
            if is_healthy and self._may_take(request, endpoint, now_us):
                return endpoint
        return None

    def _sample(self, request: RequestState, sampler: WeightedSampler, now_us: int) -> EndpointState | None:
        """Return a random endpoint of a sampler, weighted for this request.

        This is rejection sampling: the sampler's weights hold for all requests, and a sample is accepted with
        the fraction of its weight that is left for this request. Few samples are rejected, and after
        `MAX_SAMPLES` all endpoints are searched.
        """
        candidates = self._dedup_targets(request, sampler)
        if candidates is not None:
            return self._choose(request, candidates, now_us)
        class_index = request.event.class_index
        tried = [attempt.endpoint for attempt in request.attempts] if request.attempts else ()
        for _ in range(MAX_SAMPLES):
            endpoint_id = sampler.sample(self._random.random())
            if endpoint_id is None:
                return None
            endpoint = self._table.by_id[endpoint_id]
            if endpoint not in tried and self._may_take(request, endpoint, now_us):
                penalty = self._selection_penalty(endpoint, class_index)
                if penalty <= 0.0 or self._accepts(penalty):
                    return endpoint
        endpoints = [self._table.by_id[endpoint_id] for endpoint_id in sampler]
        return self._choose(request, endpoints, now_us)

    def _accepts(self, penalty: float) -> bool:
        return self._random.random() * (1.0 + penalty / NO_RESPONSE_SCALE) ** 2 < 1.0

    def _choose(
        self, request: RequestState, endpoints: list[EndpointState], now_us: int
    ) -> EndpointState | None:
        """Choose among endpoints by weight; those already tried are used only if there is no other."""
        class_index = request.event.class_index
        candidates = []
        for endpoint in endpoints:
            weight = self._table.selection_weight(endpoint, now_us)
            if weight > 0.0 and self._may_take(request, endpoint, now_us):
                penalty = self._selection_penalty(endpoint, class_index)
                candidates.append((endpoint, weight / (1.0 + penalty / NO_RESPONSE_SCALE) ** 2))
        tried = [attempt.endpoint for attempt in request.attempts]
        candidates = [pair for pair in candidates if pair[0] not in tried] or candidates
        if not candidates:
            return None
        return self._random.choices(candidates, [weight for _, weight in candidates])[0][0]

    @staticmethod
    def _selection_penalty(endpoint: EndpointState, class_index: int) -> float:
        """Return the penalty of an endpoint for a class, from own attempts and the reports of peers."""
        reported = endpoint.peer_penalties.get(class_index, 0.0) if endpoint.peer_penalties else 0.0
        return endpoint.no_response_rate[class_index] + reported

    def _may_take(self, request: RequestState, endpoint: EndpointState, now_us: int) -> bool:
        """Return whether an endpoint with a free slot may get this request now."""
        class_index = request.event.class_index
        is_excluded = now_us < endpoint.excluded_until_us[class_index]
        if is_excluded and self._exclusions.are_effective(class_index):
            return False
        return endpoint.listed.id not in request.event.excluded

    def _dedup_targets(self, request: RequestState, sampler: WeightedSampler) -> list[EndpointState] | None:
        """Return the endpoints that recognize duplicates of a request; None if it may go to any endpoint.

        Rule 2 of the contract: once an attempt with an idempotency key may have run, the request is retried
        only at endpoints that know the key. Where its connection broke, the process may have ended, and
        another one, of another group, may listen at its address before the list tells so.
        """
        request_class = self._table.settings.classes[request.event.class_index]
        if request_class.effect != "deduplicated" or request_class.dedup_scope == "all":
            return None
        first = request.first_that_may_have_run()
        if first is None:
            return None
        location = first.listed.zone if request_class.dedup_scope == "zone" else first.listed.cell
        group = self._table.dedup_group(request_class.dedup_scope, location)
        broken = request.endpoints_that_broke()
        return [endpoint for endpoint in group if endpoint.listed.id in sampler and endpoint not in broken]
