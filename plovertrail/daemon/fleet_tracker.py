"""Tracks how many instances share the endpoints, and this instance's rank among them."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from plovertrail.config.setup import FleetSetup
from plovertrail.decisions.endpoint_list import EndpointList, ListedEndpoint
from plovertrail.decisions.fleet_limits import Fleet
from plovertrail.decisions.list_versions import SourceKey
from plovertrail.decisions.pacing import InstanceRank, rank_of
from plovertrail.sources.first_read import FirstRead
from plovertrail.sources.instances import InstanceList
from plovertrail.sources.list_reader import ListReader

log = logging.getLogger(__name__)


class FleetTracker:
    """The instances that share the endpoints: a configured number, or a watched list of instances."""

    def __init__(self, on_change: Callable[[], None], lists: ListReader) -> None:
        """`on_change` is called when the watched list changes the number of instances."""
        self.on_change = on_change
        self.fleet = Fleet()
        self.rank = InstanceRank()  # among the instances in the list
        self.instance_name = ""
        self.instance_list = InstanceList("instances", self._update_instances, lists)

    def apply(self, setup: FleetSetup, first_lists: Mapping[SourceKey, FirstRead]) -> None:
        """Apply a configuration; its number of instances is used until the list of instances is read.

        `first_lists` has the content of a new list: limits and pacing depend on it before the first request
        is sent.
        """
        self.instance_name = setup.name
        list_changed = self.instance_list.follow(setup.list_path)
        if setup.list_path and not list_changed:
            self.fleet = replace(setup.fleet, size=self.fleet.size)
            return
        self.fleet = setup.fleet
        self.rank = InstanceRank()
        first = first_lists.get(SourceKey(setup.list_path, False))
        if isinstance(first, EndpointList) and first.endpoints:
            self._set_instances(first.endpoints)

    def _update_instances(self, instances: tuple[ListedEndpoint, ...]) -> None:
        previous = self.fleet
        self._set_instances(instances)
        if self.fleet != previous:
            log.info("fleet size changed instances=%d", self.fleet.size)
            self.on_change()

    def _set_instances(self, instances: tuple[ListedEndpoint, ...]) -> None:
        self.rank = rank_of(self.instance_name, [instance.id for instance in instances])
        self.fleet = replace(self.fleet, size=self.rank.size)

    def status(self) -> dict[str, Any]:
        """Return the number of instances that limits are based on, and the problem with their list."""
        return {"instances": self.fleet.size, "problem": self.instance_list.problem}

    def stop(self) -> None:
        """Stop watching the list of instances; the last number stays in force."""
        self.instance_list.stop()
