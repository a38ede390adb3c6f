"""Counts the WebSocket sessions of endpoints, pools and tenants, and bounds those of endpoints and pools."""

from __future__ import annotations

from collections.abc import Mapping, Set

from plovertrail.decisions.websocket_messages import EndpointKey
from plovertrail.decisions.websocket_session import WebSocketSession


class SessionCapacity:
    """The sessions of each endpoint, pool and tenant, and the bounds for endpoints and pools."""

    def __init__(self) -> None:
        self.by_endpoint: dict[EndpointKey, dict[int, WebSocketSession]] = {}
        self.by_pool: dict[str, int] = {}
        self.by_tenant: dict[bytes, int] = {}
        self.max_per_endpoint: Mapping[str, int] = {}  # by pool
        self.max_per_pool: Mapping[str, int] = {}
        self._full: dict[str, set[int]] = {}  # endpoints without capacity, by pool

    def configure(self, per_endpoint: Mapping[str, int], per_pool: Mapping[str, int]) -> None:
        """Apply new bounds, by pool; open sessions beyond them stay."""
        self.max_per_endpoint = per_endpoint
        self.max_per_pool = per_pool
        for endpoint_ids in self._full.values():
            endpoint_ids.clear()
        for endpoint in self.by_endpoint:
            self._update_full(endpoint)

    def full_endpoints(self, pool: str) -> Set[int]:
        """Return the endpoints of a pool that may take no further session, as a live view."""
        return self._full.setdefault(pool, set())

    def pool_has_capacity(self, pool: str) -> bool:
        """Whether a pool may take one more session."""
        return self.by_pool.get(pool, 0) < self.max_per_pool.get(pool, 0)

    def any_has_capacity(self, pool: str, serving: Set[int]) -> bool:
        """Whether any of these endpoints may take one more session."""
        return self.pool_has_capacity(pool) and not serving <= self.full_endpoints(pool)

    def assign(self, session: WebSocketSession, endpoint: EndpointKey) -> bool:
        """Count a session at an endpoint; return False if there is no capacity."""
        pool, endpoint_id = endpoint
        if endpoint_id in self.full_endpoints(pool) or not self.pool_has_capacity(pool):
            return False
        session.endpoint = endpoint
        self.by_endpoint.setdefault(endpoint, {})[session.session_id] = session
        self.by_pool[pool] = self.by_pool.get(pool, 0) + 1
        self._update_full(endpoint)
        return True

    def release(self, session: WebSocketSession) -> None:
        """Stop counting a session at its endpoint, if it has one."""
        endpoint = session.endpoint
        if endpoint is None:
            return
        sessions = self.by_endpoint.get(endpoint, {})
        if sessions.pop(session.session_id, None) is not None:
            self.by_pool[endpoint[0]] -= 1
        if not sessions:
            self.by_endpoint.pop(endpoint, None)
        self._update_full(endpoint)

    def add_to_tenant(self, tenant: bytes) -> None:
        """Count a session of a tenant."""
        self.by_tenant[tenant] = self.by_tenant.get(tenant, 0) + 1

    def remove_from_tenant(self, tenant: bytes) -> None:
        """Stop counting a session of a tenant."""
        self.by_tenant[tenant] -= 1
        if not self.by_tenant[tenant]:
            del self.by_tenant[tenant]

    def _update_full(self, endpoint: EndpointKey) -> None:
        pool, endpoint_id = endpoint
        full = self._full.setdefault(pool, set())
        if len(self.by_endpoint.get(endpoint, ())) >= self.max_per_endpoint.get(pool, 0):
            full.add(endpoint_id)
        else:
            full.discard(endpoint_id)
