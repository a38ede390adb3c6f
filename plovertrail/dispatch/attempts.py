"""Starts, times out and cancels attempts, and reports their results to the dispatcher."""

from __future__ import annotations

import asyncio
from typing import Protocol

from plovertrail.clock import clock_us
from plovertrail.decisions.actions import Cancel, Send
from plovertrail.decisions.events import Outcome
from plovertrail.dispatch.live_request import LiveAttempt, LiveRequest
from plovertrail.dispatch.server_pool import ServerPool
from plovertrail.dispatch.timers import call_at
from plovertrail.dispatch.types import Address, AttemptLimits, TransportResult, WebSocketHandshake


class AttemptOwner(Protocol):
    """What AttemptRunner needs of the dispatcher."""

    def end_attempt(self, request: LiveRequest, number: int, result: TransportResult) -> None:
        """Record the result of an attempt; ignored if it has ended already."""

    def disconnected(self, request_id: int) -> None:
        """Handle that the client of a request has closed its connection."""


class AttemptRunner:
    """Carries out the load balancers' actions on attempts."""

    def __init__(self, loop: asyncio.AbstractEventLoop, owner: AttemptOwner) -> None:
        self.loop = loop
        self.owner = owner

    def start(self, request: LiveRequest, pool: ServerPool, action: Send) -> None:
        """Send a request to the selected endpoint, unless the attempt could no longer succeed."""
        now_us = clock_us()
        number = len(request.attempts)
        attempt = LiveAttempt(pool, action.endpoint_id, now_us)
        request.attempts.append(attempt)
        request.failover.attempt_began()
        address = pool.addresses.get(action.endpoint_id)
        remaining_us = request.due_us - now_us
        if address is None:  # the endpoint was removed after it was selected
            self.owner.end_attempt(request, number, TransportResult(Outcome.CONNECT_FAILED))
            return
        if (
            request.finished
            or remaining_us <= 0
            or action.timeout_us < 0
            or number >= request.pools[0].settings.max_attempts
            or self._client_disconnected(request)
            or not self._handshake_allows(attempt, address, request.proxied.handshake)
        ):
            self.owner.end_attempt(request, number, TransportResult(Outcome.NOT_SENT))
            return
        timeout_us = min(action.timeout_us or remaining_us, remaining_us)
        attempt.timer = call_at(self.loop, now_us + timeout_us, self._on_timeout, request, number)
        attempt.handle = pool.transport.start(
            action.endpoint_id,
            address,
            request.proxied,
            AttemptLimits(timeout_us, action.start_within_us, self._is_idempotent(request, pool)),
            lambda result: self.owner.end_attempt(request, number, result),
        )

    def cancel(self, request: LiveRequest, action: Cancel) -> None:
        """Cancel an attempt that the load balancer no longer needs."""
        number = request.first_attempt + action.attempt
        if number < len(request.attempts):
            self.abandon(request, number, Outcome.CANCELLED)

    def abandon(self, request: LiveRequest, number: int, outcome: Outcome) -> None:
        """End an attempt with an outcome: CONNECT_FAILED if nothing of it was written."""
        attempt = request.attempts[number]
        if attempt.ended or attempt.handle is None:
            return
        if not attempt.handle.written:
            outcome = Outcome.CONNECT_FAILED  # there was no connection in time, so it never ran
        use = attempt.handle.cancel()
        if use is not None:
            use.cause = outcome.value
        self.owner.end_attempt(request, number, TransportResult(outcome, use=use))

    def abandon_unwritten(self, request: LiveRequest, outcome: Outcome) -> None:
        """End the attempts of which nothing has been written yet."""
        for number, attempt in enumerate(request.attempts):
            if attempt.handle is not None and not attempt.ended and not attempt.handle.written:
                attempt.handle.cancel()
                self.owner.end_attempt(request, number, TransportResult(outcome))

    def _on_timeout(self, request: LiveRequest, number: int) -> None:
        self.abandon(request, number, Outcome.TIMEOUT)

    def _client_disconnected(self, request: LiveRequest) -> bool:
        """Whether the request's client has disconnected, also if the event loop has not reported it yet.

        The end of the connection may be unread in the kernel when a timer, a freed slot or a long loop
        iteration starts an attempt, whose response no one would receive.
        """
        if request.proxied.client_disconnected():
            self.owner.disconnected(request.request_id)
        return request.finished

    @staticmethod
    def _is_idempotent(request: LiveRequest, pool: ServerPool) -> bool:
        """Whether a request may run any number of times."""
        return pool.settings.classes[request.proxied.class_index].effect == "idempotent"

    @staticmethod
    def _handshake_allows(
        attempt: LiveAttempt, address: Address, handshake: WebSocketHandshake | None
    ) -> bool:
        if handshake is None:
            return True
        attempt.handshake_counted = handshake.attempt_begins(attempt.pool.name, attempt.endpoint_id, address)
        return attempt.handshake_counted
