"""The one buffer: the most valuable request that found no free slot waits there for the next one."""

from __future__ import annotations

from plovertrail.decisions.load_balancing.latency_estimates import LatencyEstimates
from plovertrail.decisions.load_balancing.request_state import RequestState
from plovertrail.decisions.settings import Settings

TENANT_WINDOW = 200  # arrivals: enough to distinguish a tenant at twice its share from chance


class TenantUsage:
    """How much of the recent traffic each tenant makes up, and how much of it is its share."""

    __slots__ = ("_settings", "_allowed_per_s", "_arrivals")

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._allowed_per_s = max(1.0, sum(tenant.allowance_per_s for tenant in settings.tenants))
        self._arrivals = [0.0] * len(settings.tenants)  # the old ones decay

    def record_arrival(self, tenant: int) -> None:
        """Count a request."""
        if tenant < len(self._arrivals):
            self._arrivals = [count * (1.0 - 1.0 / TENANT_WINDOW) for count in self._arrivals]
            self._arrivals[tenant] += 1.0

    def weight(self, request: RequestState) -> float:
        """Return a factor for the value of a request: less than 1 if its tenant exceeds its share.

        The share is estimated from the tenants seen here unless the fleet's is known, as an instance does not
        know total rates.
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

    A request of more value takes the place of the one that waits: in a shortage the bulk of cheap requests
    would keep the valuable ones out of every slot.
    """

    __slots__ = ("waiting", "_settings", "_latencies", "_tenants")

    def __init__(self, settings: Settings, latencies: LatencyEstimates, tenants: TenantUsage) -> None:
        self.waiting: RequestState | None = None
        self._settings = settings
        self._latencies = latencies
        self._tenants = tenants

    def accepts(self, request: RequestState) -> bool:
        """Whether a request may wait here, in place of the one that does."""
        return self.waiting is None or self._value(request) > self._value(self.waiting)

    def discard(self, request: RequestState) -> None:
        """Let a request wait no more if it does."""
        if self.waiting is request:
            self.waiting = None

    def _value(self, request: RequestState) -> float:
        """Return the value of a slot's time given to a request."""
        class_index = request.event.class_index
        value = self._settings.classes[class_index].priority_weight
        if not self._settings.weight_by_work:
            value /= self._latencies.mean_us[class_index]
        return value * self._tenants.weight(request)
