"""The hooks of one route, in their order: what each is told, and what their verdicts come to.

Nothing of this can send: a chain is given what a request says, and returns what is to be changed of it. Where
a hook can't be asked (a fault, no time left, its breaker off) the route's policy says whether the request
goes on without it or fails.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from plovertrail.decisions.settings import RequestClass
from plovertrail.decisions.verdicts import (
    EMPTY_VERDICT,
    Allowed,
    Verdict,
    at_least_as_strict,
    changed_headers,
    check_answer,
    check_end,
    check_request,
    named_headers,
)
from plovertrail.hooks import abi
from plovertrail.hooks.abi import Read
from plovertrail.hooks.bounds import LONGEST_CALL_US, HookError, RequestTooLongError

if TYPE_CHECKING:  # listeners load this file with or without hooks, and the engine is large
    from plovertrail.hooks.hook import Check, Hook

Headers = list[tuple[bytes, bytes]]
# as plain numbers: a look at an enumeration takes as long as packing a record
METHOD, PATH, QUERY, HOST, CLIENT, TENANT = map(
    int, (Read.METHOD, Read.PATH, Read.QUERY, Read.HOST, Read.CLIENT, Read.TENANT)
)
SWITCHED_OFF = b"a rule of this route is switched off; nothing has run"
FAILED = b"a rule of this route failed; nothing has run"
TOO_LONG = b"the request is too long for a rule of this route; nothing has run"


@dataclass(frozen=True, slots=True)
class Seen:
    """A request's head as hooks see it."""

    method: bytes
    path: str  # as routes see it
    query: bytes
    host: str
    client: str  # the client's address
    headers: Headers
    body: bytes
    tenant: bytes


class RequestRefusedError(Exception):
    """A hook refuses the request, or can't be asked and the route says to fail. Nothing has run."""

    def __init__(self, status: int, body: bytes, retry_after_us: int = 0) -> None:
        super().__init__(status)
        self.status = status
        self.body = body
        self.retry_after_us = retry_after_us


class AnswerWithheldError(Exception):
    """A hook on the answer can't be asked, and the route says to fail. The request may have run."""


@dataclass(frozen=True, slots=True)
class Choices:
    """What hooks may ask for while a request is of one class."""

    allowed: tuple[Allowed, ...]  # of each hook
    told: bytes  # the records on the route, the class, and those that may be chosen in its place


@dataclass(frozen=True, slots=True)
class Chain:
    """The hooks of a route. An immutable value: requests keep the one that they began with."""

    route: str
    hooks: tuple[Hook, ...]
    passes: bool  # without a hook that can't be asked; else the request fails
    class_name: str  # the route's
    choices: Mapping[str, Choices]  # by the class that a request is of by now
    answers: tuple[Allowed, ...]  # of each hook, for answers


@dataclass(slots=True)
class Changes:
    """What all verdicts on a request's head come to."""

    tenant: bytes
    class_name: str
    set_headers: Headers = field(default_factory=list)
    removed: set[bytes] = field(default_factory=set)  # in lower case, those that were set among them

    def apply(self, headers: Headers) -> Headers:
        """Headers on their way to the server, as the hooks leave them."""
        if not self.removed:
            return headers
        return [pair for pair in headers if pair[0].lower() not in self.removed] + self.set_headers

    def take(self, verdict: Verdict) -> None:
        """Add a verdict's changes; of a header that it names what earlier hooks said is void."""
        gone = named_headers(verdict)
        self.removed |= gone
        self.set_headers = [pair for pair in self.set_headers if pair[0].lower() not in gone]
        self.set_headers += verdict.set_headers
        if verdict.tenant is not None:
            self.tenant = verdict.tenant
        if verdict.class_name is not None:
            self.class_name = verdict.class_name.decode()


class Trail:
    """One request's way through the hooks of its route."""

    __slots__ = ("chain", "seen", "due_us", "clock_us", "began_us", "changes", "facts", "ended")

    def __init__(self, chain: Chain, seen: Seen, due_us: int, clock_us: Callable[[], int]) -> None:
        self.chain = chain
        self.seen = seen
        self.due_us = due_us  # when the client's time is out
        self.clock_us = clock_us
        self.began_us = clock_us()
        self.changes = Changes(seen.tenant, chain.class_name)
        self.facts = b""  # what is told of the request in every phase
        self.ended = False

    def request(self) -> None:
        """The first phase; raises RequestRefusedError."""
        chain, seen, changes = self.chain, self.seen, self.changes
        for hook in chain.hooks:  # also those that would be asked later: then the request has run
            if not chain.passes and not hook.breaker.allows_call(self.began_us):
                hook.figures.skipped += 1
                raise RequestRefusedError(503, SWITCHED_OFF, hook.breaker.until_trial_us(self.began_us))
        self.facts = self._facts()
        headers, told_headers = seen.headers, abi.headers(seen.headers)
        for number, hook in enumerate(chain.hooks):
            if not hook.has("on_request"):
                continue
            allowed = chain.choices[changes.class_name].allowed[number]
            try:
                told = told_headers + self._body(hook)
                verdict = self._ask(hook, "on_request", told, allowed, check_request)
            except HookError as fault:
                if chain.passes:
                    continue
                too_long = isinstance(fault, RequestTooLongError)
                raise RequestRefusedError(
                    431 if too_long else 500, TOO_LONG if too_long else FAILED
                ) from None
            if verdict is EMPTY_VERDICT:
                continue
            if verdict.refuse:
                raise RequestRefusedError(verdict.refuse, verdict.body)
            if verdict.set_headers or verdict.remove_headers:
                headers = changed_headers(headers, verdict)
                told_headers = abi.headers(headers)
            changes.take(verdict)
            if verdict.tenant is not None or verdict.class_name is not None:
                self.facts = self._facts()

    def answer(self, status: int, headers: Headers) -> Headers:
        """The second phase: the headers of a server's answer as the hooks leave them, the last hook first;
        raises AnswerWithheldError."""
        chain = self.chain
        told_status = abi.number(Read.STATUS, status)
        for hook, allowed in zip(reversed(chain.hooks), reversed(chain.answers), strict=True):
            if hook.has("on_answer"):
                try:
                    verdict = self._ask(
                        hook, "on_answer", told_status + abi.headers(headers), allowed, check_answer
                    )
                except HookError:
                    if not chain.passes:
                        raise AnswerWithheldError from None
                else:
                    headers = headers if verdict is EMPTY_VERDICT else changed_headers(headers, verdict)
        return headers

    def end(self, outcome: bytes, status: int) -> None:
        """The third phase, once: the request is over. Nothing is owed any more, so no policy applies."""
        if self.ended:
            return
        self.ended = True
        elapsed_ms = (self.clock_us() - self.began_us) // 1000
        told = b"".join(
            (
                abi.record(Read.OUTCOME, outcome),
                abi.number(Read.STATUS, status),
                abi.number(Read.ELAPSED_MS, elapsed_ms),
            )
        )
        for hook, allowed in zip(self.chain.hooks, self.chain.answers, strict=True):
            if hook.has("on_end"):
                try:
                    self._ask(hook, "on_end", told, allowed, check_end)
                except HookError:
                    continue  # counted and logged where it was found

    def _ask(self, hook: Hook, phase: str, told: bytes, allowed: Allowed, check: Check) -> Verdict:
        """A hook's verdict; raises HookError. Hazard: a call that is stopped by the clock takes
        LONGEST_CALL_US; begun later than that before the client's time is out, it would make the answer late.
        After the end nobody waits."""
        now_us = self.clock_us()
        left_us = self.due_us - now_us
        if not hook.breaker.allows_call(now_us) or (phase != "on_end" and left_us <= LONGEST_CALL_US):
            hook.figures.skipped += 1
            raise HookError("not asked")
        told = self.facts + told + abi.number(Read.REMAINING_MS, left_us // 1000)
        return hook.run(phase, told, allowed, check, now_us)

    def _facts(self) -> bytes:
        seen, changes = self.seen, self.changes
        return (
            abi.unnamed(
                (
                    (METHOD, seen.method),
                    (PATH, seen.path.encode("latin-1", "replace")),
                    (QUERY, seen.query),
                    (HOST, seen.host.encode("latin-1", "replace")),
                    (CLIENT, seen.client.encode()),
                    (TENANT, changes.tenant),
                )
            )
            + self.chain.choices[changes.class_name].told
        )

    def _body(self, hook: Hook) -> bytes:
        if not hook.setup.body:
            return b""
        body = self.seen.body
        return abi.record(Read.BODY, body[: hook.setup.body]) + abi.number(Read.BODY_SIZE, len(body))


def make_chain(
    route: str,
    hooks: Sequence[Hook],
    protected: frozenset[bytes],
    class_name: str,
    classes: Mapping[str, RequestClass],
    passes: bool,
) -> Chain:
    """The chain of a route; `classes` are those that hooks may choose and the route's own. Of a class only
    those that are as strict may take its place: what one hook has chosen no other one loosens."""
    choices = {}
    for name, kind in classes.items():
        may = [other for other, further in classes.items() if at_least_as_strict(further, kind)]
        told = abi.record(Read.ROUTE, route.encode()) + abi.record(Read.CLASS, name.encode())
        told += b"".join(abi.record(Read.MAY_CHOOSE, other.encode()) for other in may)
        names: Collection[bytes] = frozenset(other.encode() for other in may)
        choices[name] = Choices(tuple(Allowed(protected, names, hook.counter_names) for hook in hooks), told)
    answers = tuple(Allowed((), (), hook.counter_names) for hook in hooks)
    return Chain(route, tuple(hooks), passes, class_name, choices, answers)
