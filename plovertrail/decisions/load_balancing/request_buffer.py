"""A buffer for one request, the most valuable of those that found no free slot."""

from __future__ import annotations

from plovertrail.decisions.load_balancing.latency_estimates import LatencyEstimates
from plovertrail.decisions.load_balancing.request_state import RequestState
from plovertrail.decisions.settings import Settings

TENANT_WINDOW = 200  # arrivals; enough to tell a tenant at twice its share from chance


class TenantUsage:
    """Tracks the share of each tenant in the recent traffic, relative to its quota."""

    __slots__ = ("_settings", "_allowed_per_s", "_arrivals")

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._allowed_per_s = max(1.0, sum(tenant.allowance_per_s for tenant in settings.tenants))
        self._arrivals = [0.0] * len(settings.tenants)  # by tenant, with exponential decay

    def record_arrival(self, tenant: int) -> None:
        """Count an arrival of a tenant."""
        if tenant < len(self._arrivals):
            self._arrivals = [count * (1.0 - 1.0 / TENANT_WINDOW) for count in self._arrivals]
            self._arrivals[tenant] += 1.0

    def weight(self, request: RequestState) -> float:
        """Return a factor for the value of a request, below 1 if its tenant exceeds its share.

        An instance does not know the rates of the whole fleet. Unless the request carries the share of its
        tenant in the fleet's traffic, the share is estimated from local traffic.
        """
        tenant = request.event.tenant
        if tenant >= len(self._arrivals):
            return 1.0
        over_share_weight = self._settings.over_share_weight
        allowed = self._settings.tenants[tenant].allowance_per_s / self._allowed_per_s
        used = request.event.tenant_share or self._arrivals[tenant] / sum(self._arrivals)
        return over_share_weight + (1.0 - over_share_weight) * min(1.0, allowed / used)


class RequestBuffer:
    """Holds at most one request.

    A request of higher value replaces the one that waits: otherwise, in a shortage, the many requests of low
    value would take all slots from the few of high value.
    """

    __slots__ = ("waiting", "_settings", "_latencies", "_tenants")

    def __init__(self, settings: Settings, latencies: LatencyEstimates, tenants: TenantUsage) -> None:
        self.waiting: RequestState | None = None
        self._settings = settings
        self._latencies = latencies
        self._tenants = tenants

    def accepts(self, request: RequestState) -> bool:
        """Return whether a request may be buffered, in place of the buffered one if there is one."""
        return self.waiting is None or self._value(request) > self._value(self.waiting)

    def discard(self, request: RequestState) -> None:
        """Remove a request if it is the buffered one."""
        if self.waiting is request:
            self.waiting = None

    def _value(self, request: RequestState) -> float:
        """Return the value of a request per unit of slot time."""
        class_index = request.event.class_index
        value = self._settings.classes[class_index].priority_weight
        if not self._settings.weight_by_work:
            value /= self._latencies.mean_us[class_index]
        return value * self._tenants.weight(request)
