"""Who this instance is among those that share the servers: how many there are, and its place among them."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from plovertrail.config.setup import FleetSetup
from plovertrail.decisions.endpoint_list import Candidate, Entry
from plovertrail.decisions.fleet_limits import Fleet
from plovertrail.decisions.list_versions import SourceKey
from plovertrail.decisions.pacing import InstanceRank, place
from plovertrail.sources.first_read import FirstRead
from plovertrail.sources.instances import InstanceList
from plovertrail.sources.list_reader import ListReader

log = logging.getLogger(__name__)


class FleetTracker:
    """`changed` is called when their number is another one."""

    def __init__(self, changed: Callable[[], None], lists: ListReader) -> None:
        self.changed = changed
        self.fleet = Fleet()
        self.place = InstanceRank()  # among those that the list names
        self.name = ""
        self.list = InstanceList("instances", self._listed, lists)

    def follow(self, setup: FleetSetup, fresh: Mapping[SourceKey, FirstRead]) -> None:
        """Count the instances by their list, where there is one; limits.instances holds until it is read.
        `fresh` has what another list holds, as turns and parts go by it before anything is sent."""
        self.name = setup.name
        another = self.list.follow(setup.list_path)
        if setup.list_path and not another:
            self.fleet = replace(setup.fleet, size=self.fleet.size)
            return
        self.fleet, self.place = setup.fleet, InstanceRank()
        found = fresh.get(SourceKey(setup.list_path, False))
        if isinstance(found, Candidate) and found.entries:
            self._count(found.entries)

    def _listed(self, entries: tuple[Entry, ...]) -> None:
        before = self.fleet
        self._count(entries)
        if self.fleet != before:
            log.info("%d instances share the servers", self.fleet.size)
            self.changed()

    def _count(self, entries: tuple[Entry, ...]) -> None:
        self.place = place(self.name, [entry.id for entry in entries])
        self.fleet = replace(self.fleet, size=self.place.size)

    def status(self) -> dict[str, Any]:
        """For operators: the number that is reckoned with, and what is wrong with the list."""
        return {"instances": self.fleet.size, "problem": self.list.problem}

    def stop(self) -> None:
        """Stop watching the list of instances; the last count stays."""
        self.list.stop()
