"""A hook tried out before it comes into force: each of its phases, on a request that goes nowhere."""

from __future__ import annotations

from collections.abc import Iterable

from plovertrail.config.hooks import HookSetup
from plovertrail.decisions.verdicts import (
    Allowed,
    InvalidVerdictError,
    check_answer,
    check_end,
    check_request,
)
from plovertrail.hooks import abi
from plovertrail.hooks.bounds import PHASES, HookError
from plovertrail.hooks.engine import Bounds, Compiled, Instance, InvalidModuleError, Runtime
from plovertrail.hooks.schema import WrittenRequest, told
from plovertrail.http1.requests import MAX_HEADERS

TRIAL = WrittenRequest(
    host="hook.invalid",
    route="trial",
    class_name="trial",
    may_choose=["trial"],
    headers={"host": "hook.invalid", "accept": "*/*"},
    body="{}",
)
CHECKS = {"on_request": check_request, "on_answer": check_answer, "on_end": check_end}


def try_out(
    runtime: Runtime, compiled: Compiled, setup: HookSetup, max_head: int, classes: Iterable[str] = ()
) -> None:
    """Run each phase of a hook once on a plain request, with room left for a head of `max_head` bytes.

    The hook may choose any of `classes`, as it is not known here of which route the request would be. Raises
    InvalidModuleError if a call fails, or if the hook's buffer is too small for a long request.
    """
    allowed = Allowed(
        (),
        frozenset(name.encode() for name in (*classes, "trial")),
        frozenset(name.encode() for name in setup.counters),
    )
    for phase in PHASES:
        if phase not in compiled.phases:
            continue
        records = told(TRIAL, phase, setup)
        try:
            instance = Instance(runtime, compiled, Bounds(setup.fuel, setup.memory))
            room = abi.U32.size + len(records) + max_head + MAX_HEADERS * abi.HEAD.size + setup.body
            if instance.size < room:
                raise InvalidModuleError(
                    f"its buffer of {instance.size} bytes is too small: with limits.max_head and "
                    f"its body it must have {room}"
                )
            answer = instance.call(phase, records)
            CHECKS[phase](abi.read_verdict(answer), allowed)
        except (HookError, InvalidVerdictError) as fault:
            raise InvalidModuleError(f"tried out, {phase}: {fault}") from None
