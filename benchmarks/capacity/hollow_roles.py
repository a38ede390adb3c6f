"""Roles that are measured with hollow processes: real decisions and codecs on a virtual clock, no sockets."""

from __future__ import annotations

from benchmarks.capacity.counts_role import CountsRole
from benchmarks.capacity.evidence_role import EvidenceRole
from benchmarks.capacity.leases_role import LeasesRole
from benchmarks.capacity.list_calls_role import ListCallsRole
from benchmarks.capacity.lost_watches import LostWatches
from benchmarks.capacity.membership_role import MembershipRole
from benchmarks.capacity.reducer_role import ReducerRole
from benchmarks.capacity.retry_chain import RetryChain
from benchmarks.capacity.roles import Role


def hollow_roles(jobs: int) -> tuple[Role, ...]:
    """All of them; each spreads its cases over so many processes."""
    return (
        MembershipRole(jobs),
        EvidenceRole(jobs),
        CountsRole(jobs),
        ReducerRole(jobs),
        ListCallsRole(jobs),
        LostWatches(),
        RetryChain(jobs),
        LeasesRole(jobs),
    )
