"""Interfaces through which the dispatcher notifies other parts of the program."""

from __future__ import annotations

from typing import Protocol

from plovertrail.decisions.events import EndpointsUpdated, Outcome
from plovertrail.dispatch.server_pool import ServerPool


class EndpointObserver(Protocol):
    """Is notified of all changes of endpoint lists, before the load balancers are."""

    def endpoints_changed(self, pool: ServerPool, event: EndpointsUpdated) -> None:
        """Handle a change of a pool's endpoints."""


class AttemptObserver(Protocol):
    """Is notified of the results of all attempts, where instances exchange health reports."""

    def attempt_ended(
        self, pool: ServerPool, endpoint_id: int, class_index: int, outcome: Outcome, elapsed_us: int
    ) -> None:
        """Handle the end of an attempt at an endpoint."""


class DiscoverySubscriber(Protocol):
    """Subscribes to the endpoint list when a load balancer asks for it."""

    def subscribe(self, active: bool) -> None:
        """Begin or end the subscription."""


class NoDiscovery:
    """Used where endpoint lists arrive without a subscription."""

    def subscribe(self, active: bool) -> None:
        """Do nothing."""
