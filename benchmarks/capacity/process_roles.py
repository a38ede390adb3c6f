"""Roles that are measured with real processes of the daemon."""

from __future__ import annotations

from benchmarks.capacity.roles import Role

PROCESS_ROLES: tuple[Role, ...] = ()
