"""The pools in force, for lookup by other services."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from plovertrail.daemon.running_pool import RunningPool
from plovertrail.decisions.endpoint_list import Address, EndpointListState
from plovertrail.dispatch.server_pool import ServerPool
from plovertrail.endpoint_registry import EndpointRegistry


class PoolTable:
    """The pools in force by name; a new configuration replaces the mapping by one assignment."""

    def __init__(self) -> None:
        self.running: Mapping[str, RunningPool] = {}

    def registries(self) -> dict[str, EndpointRegistry]:
        """The endpoint registry of each pool."""
        return {name: pool.registry for name, pool in self.running.items()}

    def endpoint_states(self) -> dict[str, EndpointListState]:
        """The immutable endpoint list state of each pool."""
        return {name: pool.registry.state for name, pool in self.running.items()}

    def pools_with_endpoints(self) -> dict[str, tuple[ServerPool, EndpointListState]]:
        """Each server pool with its endpoint list state."""
        return {name: (pool.pool, pool.registry.state) for name, pool in self.running.items()}


class EndpointsOfOtherPools(Mapping[tuple[str, Address], int]):
    """Since when (us) the endpoints of all pools but one are known, by id and address.

    Each lookup searches the pools: a prebuilt table would be rebuilt from all pools on each change of one.
    """

    def __init__(self, pool_name: str, table: PoolTable) -> None:
        self.pool_name = pool_name
        self.table = table

    def __getitem__(self, endpoint: tuple[str, Address]) -> int:
        endpoint_id, address = endpoint
        for name, pool in reversed(list(self.table.running.items())):
            member = pool.registry.state.members.get(endpoint_id) if name != self.pool_name else None
            if member is not None and member.listed.address == address:
                return member.started_us
        raise KeyError(endpoint)

    def __iter__(self) -> Iterator[tuple[str, Address]]:
        for pool in self._other_pools():
            for endpoint_id, member in pool.registry.state.members.items():
                yield endpoint_id, member.listed.address

    def __len__(self) -> int:
        return sum(len(pool.registry.state.members) for pool in self._other_pools())

    def _other_pools(self) -> list[RunningPool]:
        return [pool for name, pool in self.table.running.items() if name != self.pool_name]
