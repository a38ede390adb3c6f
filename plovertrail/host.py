"""Hosts the one decision module: what happens becomes its events, and its actions are carried out.

Nothing is decided here. Each request gets its final answer in `Host._answer` and each attempt its
outcome in `Host._end_attempt`, the only places for either, exactly once.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from plovertrail.clock import clock_us
from plovertrail.decisions import interface as api
from plovertrail.decisions.balance import Balancer
from plovertrail.exchange import Answer, Call, Flight, Result, Upstreams, Verdict

log = logging.getLogger(__name__)

ANSWER_MARGIN_US = 10_000  # an answer sets out so long before the client's time is out, to be there in time
BACKSTOP_US = 5_000  # the host's own deadline comes so long after the module's


@dataclass(slots=True)
class Attempt:
    upstream: int
    sent_us: int
    flight: Flight | None = None
    timer: asyncio.TimerHandle | None = None
    ended: bool = False


@dataclass(slots=True)
class Request:
    ident: int
    call: Call
    due_us: int
    reply: Callable[[Answer], None]
    attempts: list[Attempt] = field(default_factory=list)
    timer: asyncio.TimerHandle | None = None
    over: bool = False  # it has had its final answer, or the client has gone


class Host:
    """One `Balancer`, its clock and timers, and the requests and attempts that are live."""

    def __init__(self, settings: api.Settings, seed: int, upstreams: Upstreams) -> None:
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.upstreams = upstreams
        self.subscribe: Callable[[bool], None] = lambda active: None
        self.requests: dict[int, Request] = {}
        self.addresses: dict[int, tuple[str, int]] = {}
        self.last_ident = 0
        self.events: deque[api.Event] = deque()
        self.running = False
        self.balancer = Balancer(settings, seed, clock_us())

    # What happens

    def start(self) -> None:
        """Let the module ask for what it wants from the first moment on."""
        self._tell(api.TimerFired(0))

    def arrived(self, call: Call, reply: Callable[[Answer], None]) -> int:
        """A request has been taken; `reply` is called once with its answer unless the client goes first."""
        self.last_ident += 1
        due_us = call.arrived_us + max(1, call.deadline_us - ANSWER_MARGIN_US)
        request = Request(self.last_ident, call, due_us, reply)
        self.requests[request.ident] = request
        # hazard: whatever becomes of the module's own timers, no client is left without an answer
        request.timer = self._at(due_us + BACKSTOP_US, self._overdue, request)
        self._tell(api.RequestArrived(request.ident, due_us, call.class_index, call.tenant, call.key,
                                      call.cost_us, call.retried))
        return request.ident

    def gone(self, ident: int) -> None:
        """The client has closed its connection."""
        request = self.requests.get(ident)
        if request is not None and not request.over:
            self._finish(request)
            self._tell(api.RequestGone(ident))

    def list_changed(self, event: api.UpstreamsUpdated, addresses: dict[int, tuple[str, int]]) -> None:
        """Discovery has spoken; `addresses` has those of the entries of the event."""
        if event.kind in (api.ListKind.FULL, api.ListKind.CACHED):
            for ident in self.addresses.keys() - addresses.keys():
                self._forget(ident)
        for entry in event.upstreams:
            if self.addresses.get(entry.id, addresses[entry.id]) != addresses[entry.id]:
                self._forget(entry.id)
            self.addresses[entry.id] = addresses[entry.id]
            if entry.state is not api.UpstreamState.READY:
                self._forget(entry.id)
        self._tell(event)

    @property
    def ready(self) -> bool:
        """Whether there is an upstream to send to."""
        return bool(self.addresses)

    # Events in, actions out

    def _tell(self, event: api.Event) -> None:
        """Hand over an event and carry out the actions; what they bring about at once waits its turn."""
        self.events.append(event)
        if self.running:
            return
        self.running = True
        try:
            while self.events:
                self._handle(self.events.popleft())
        finally:
            self.running = False

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self.balancer.handle(clock_us(), event)
        except Exception:
            # hazard: one request that the module stumbles over must not take the others with it
            log.exception("the module failed on %s", type(event).__name__)
            request = self.requests.get(getattr(event, "request", 0))
            if request is not None and not request.over:
                self._answer(request.ident, Answer(Verdict.FAILED))
                self.events.append(api.RequestGone(request.ident))
            return
        for action in actions:
            try:
                self._carry_out(action)
            except Exception:
                log.exception("could not carry out %s", type(action).__name__)

    def _carry_out(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self._send(action)
        elif isinstance(action, api.Refuse):
            self._answer(action.request, Answer(Verdict.REFUSED, retry_after_us=action.retry_after_us))
        elif isinstance(action, api.Fail):
            self._answer(action.request, Answer(Verdict.FAILED))
        elif isinstance(action, api.SetTimer):
            self._at(action.at_us, self._tell, api.TimerFired(action.token))
        elif isinstance(action, api.Cancel):
            self._cancel(action)
        elif isinstance(action, api.CloseIdle):
            self.upstreams.close_idle(action.upstream)
        elif isinstance(action, api.Subscribe):
            self.subscribe(action.active)
        elif isinstance(action, api.Log):
            log.info("%s", action.text)
        else:
            log.warning("not carried out here: %s", type(action).__name__)

    def _at(self, at_us: int, what: Callable[..., None], *args: object) -> asyncio.TimerHandle:
        return self.loop.call_later(max(0, at_us - clock_us() + 1) / 1e6, what, *args)

    # Requests

    def _overdue(self, request: Request) -> None:
        if not request.over:
            log.warning("a request was overdue")
            self._answer(request.ident, Answer(Verdict.FAILED))
            self._tell(api.RequestGone(request.ident))

    def _answer(self, ident: int, answer: Answer) -> None:
        """The one place of final answers."""
        request = self.requests.get(ident)
        if request is None or request.over:
            return
        self._finish(request)
        request.reply(answer)

    def _finish(self, request: Request) -> None:
        """Nothing is owed any more, and what has not been written yet is not sent."""
        request.over = True
        if request.timer is not None:
            request.timer.cancel()
        for number, attempt in enumerate(request.attempts):
            if attempt.flight is not None and not attempt.ended and not attempt.flight.written:
                attempt.flight.give_up()
                self._end_attempt(request, number, Result(api.Outcome.NOT_SENT))
        self._drop_if_done(request)

    def _drop_if_done(self, request: Request) -> None:
        if request.over and all(attempt.ended for attempt in request.attempts):
            self.requests.pop(request.ident, None)

    # Attempts

    def _send(self, action: api.Send) -> None:
        request = self.requests.get(action.request)
        if request is None:
            return  # over, and the module has been told
        now_us = clock_us()
        number = len(request.attempts)
        attempt = Attempt(action.upstream, now_us)
        request.attempts.append(attempt)
        address = self.addresses.get(action.upstream)
        left_us = request.due_us - now_us
        if (request.over or address is None or left_us <= 0 or action.timeout_us < 0
                or number >= self.settings.max_attempts):
            self._end_attempt(request, number, Result(api.Outcome.NOT_SENT))
            return
        timeout_us = min(action.timeout_us or left_us, left_us)
        attempt.timer = self._at(now_us + timeout_us, self._timed_out, request, number)
        attempt.flight = self.upstreams.start(
            action.upstream, address, request.call, timeout_us,
            lambda result: self._end_attempt(request, number, result))

    def _timed_out(self, request: Request, number: int) -> None:
        self._give_up(request, number, api.Outcome.TIMEOUT)

    def _cancel(self, action: api.Cancel) -> None:
        request = self.requests.get(action.request)
        if request is not None and action.attempt < len(request.attempts):
            self._give_up(request, action.attempt, api.Outcome.CANCELLED)

    def _give_up(self, request: Request, number: int, outcome: api.Outcome) -> None:
        attempt = request.attempts[number]
        if attempt.ended or attempt.flight is None:
            return
        if not attempt.flight.written:
            outcome = api.Outcome.CONNECT_FAILED  # no connection in time: it never ran
        attempt.flight.give_up()
        self._end_attempt(request, number, Result(outcome))

    def _end_attempt(self, request: Request, number: int, result: Result) -> None:
        """The one place where attempts end."""
        attempt = request.attempts[number]
        if attempt.ended:
            return
        attempt.ended = True
        attempt.flight = None
        if attempt.timer is not None:
            attempt.timer.cancel()
        if result.outcome is api.Outcome.OK:
            self._answer(request.ident, Answer(Verdict.SERVED, result.body, result.content_type))
        elapsed_us = clock_us() - attempt.sent_us
        self._drop_if_done(request)
        self._tell(api.AttemptEnded(request.ident, number, attempt.upstream, result.outcome, elapsed_us,
                                    request.over))

    def _forget(self, ident: int) -> None:
        if self.addresses.pop(ident, None) is not None:
            self.upstreams.forget(ident)
