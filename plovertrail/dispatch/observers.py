"""What the dispatcher tells others, and whom it asks: interfaces that their owners implement."""

from __future__ import annotations

from typing import Protocol

from plovertrail.decisions.events import EndpointsUpdated, Outcome
from plovertrail.dispatch.server_pool import ServerPool


class EndpointObserver(Protocol):
    """Hears of all changes of endpoint lists, before the load balancers do."""

    def endpoints_changed(self, pool: ServerPool, event: EndpointsUpdated) -> None:
        """A pool's endpoints have changed."""


class AttemptObserver(Protocol):
    """Hears how all attempts ended, where instances exchange health reports."""

    def attempt_ended(
        self, pool: ServerPool, endpoint_id: int, class_index: int, outcome: Outcome, elapsed_us: int
    ) -> None:
        """An attempt at an endpoint has ended."""


class DiscoverySubscriber(Protocol):
    """A subscription to the endpoint list that a load balancer may ask for."""

    def subscribe(self, active: bool) -> None:
        """Begin or end it."""


class NoDiscovery:
    """Where lists come whether they are asked for or not."""

    def subscribe(self, active: bool) -> None:
        """Do nothing."""
