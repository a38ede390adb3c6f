"""Roles that are measured with real processes of the daemon."""

from __future__ import annotations

from benchmarks.capacity.configuration_changes import ConfigurationChanges
from benchmarks.capacity.hollow_readers import HollowReaders
from benchmarks.capacity.list_changes import ListChanges
from benchmarks.capacity.request_path import RequestPath
from benchmarks.capacity.restarts import Restarts
from benchmarks.capacity.roles import Role
from benchmarks.capacity.starts import StartAndIdle

PROCESS_ROLES: tuple[Role, ...] = (
    StartAndIdle(),
    RequestPath(),
    ListChanges(),
    ConfigurationChanges(),
    HollowReaders(),
    Restarts(),
)
