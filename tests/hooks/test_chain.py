"""What hooks are told and what becomes of their verdicts, with hooks that the test plays itself."""

from __future__ import annotations

from collections.abc import Callable
from typing import cast

import pytest

from plovertrail.config.hooks import HookSetup
from plovertrail.decisions.breaker import CircuitBreaker
from plovertrail.decisions.settings import RequestClass
from plovertrail.decisions.verdicts import Allowed, InvalidVerdictError, Verdict
from plovertrail.hooks import abi
from plovertrail.hooks.abi import Read
from plovertrail.hooks.bounds import LONGEST_CALL_US, HookError
from plovertrail.hooks.chain import AnswerWithheldError, Chain, RequestRefusedError, Seen, Trail, make_chain
from plovertrail.hooks.hook import Check, Figures, Hook

CLASSES = {
    "read": RequestClass("read", 1, 1),
    "mark": RequestClass("mark", 1, 1, effect="deduplicated", dedup_scope="cell", dedup_window_us=8),
    "buy": RequestClass("buy", 1, 1, effect="at_most_once"),
}
HEADERS = [(b"Host", b"shop.example"), (b"X-A", b"1"), (b"X-A", b"2")]
SEEN = Seen(b"POST", "/buy/7", b"a=b", "shop.example", "192.0.2.7", HEADERS, b"0123456789", b"kidlat")


class Played:
    """A hook that gives the verdicts of a function, and keeps what it was told."""

    def __init__(self, verdict: Callable[[str], Verdict] = lambda phase: Verdict(), body: int = 0) -> None:
        self.verdict = verdict
        self.setup = HookSetup("played", "", 1000, 1 << 16, 1, body, (), ("n",))
        self.breaker = CircuitBreaker()
        self.figures = Figures()
        self.counter_names = frozenset((b"n",))
        self.told: list[tuple[str, list[tuple[int, bytes, bytes]]]] = []

    def has(self, phase: str) -> bool:
        return True

    def run(self, phase: str, told: bytes, allowed: Allowed, check: Check, began_us: int) -> Verdict:
        self.told.append((phase, abi.records(told)))
        verdict = self.verdict(phase)
        try:
            check(verdict, allowed)
        except InvalidVerdictError as bad:
            raise HookError(str(bad)) from None
        return verdict

    def values(self, tag: Read, call: int = -1) -> list[bytes]:
        return [value for seen, _, value in self.told[call][1] if seen == tag]


def chain(*hooks: Played, passes: bool = False, own: str = "read") -> Chain:
    return make_chain("buying", cast(list[Hook], list(hooks)), frozenset((b"x-own",)), own, CLASSES, passes)


def trail(through: Chain, left_us: int = 1_000_000) -> Trail:
    return Trail(through, SEEN, left_us, lambda: 0)


def test_each_phase_is_told_of_the_request_and_no_more() -> None:
    played = Played(body=4)
    asked = trail(chain(played))
    asked.request()
    assert played.values(Read.METHOD) == [b"POST"]
    assert played.values(Read.PATH) == [b"/buy/7"]
    assert played.values(Read.QUERY) == [b"a=b"]
    assert played.values(Read.HOST) == [b"shop.example"]
    assert played.values(Read.TENANT) == [b"kidlat"]
    assert played.values(Read.CLIENT) == [b"192.0.2.7"]
    assert played.values(Read.CLASS) == [b"read"]
    assert played.values(Read.ROUTE) == [b"buying"]
    assert played.values(Read.MAY_CHOOSE) == [b"read", b"mark", b"buy"]
    assert played.values(Read.REMAINING_MS) == [abi.U32.pack(1000)]
    assert played.values(Read.BODY) == [b"0123"]
    assert played.values(Read.BODY_SIZE) == [abi.U32.pack(10)]
    names = [(name, value) for tag, name, value in played.told[-1][1] if tag == Read.HEADER]
    assert names == [(b"host", b"shop.example"), (b"x-a", b"1"), (b"x-a", b"2")]
    assert asked.answer(503, [(b"X-B", b"3")]) == [(b"X-B", b"3")]
    assert played.values(Read.STATUS) == [abi.U32.pack(503)]
    assert not played.values(Read.BODY)
    asked.end(b"failed", 503)
    asked.end(b"served", 200)
    assert played.values(Read.OUTCOME) == [b"failed"]
    assert not played.values(Read.HEADER)
    assert [phase for phase, _ in played.told] == ["on_request", "on_answer", "on_end"]


def test_later_hooks_see_what_earlier_ones_changed_and_answers_go_backwards() -> None:
    first = Played(
        lambda phase: (
            Verdict(set_headers=[(b"X-A", b"9"), (b"X-C", b"4")], tenant=b"other")
            if phase == "on_request"
            else Verdict(set_headers=[(b"X-By", b"first")])
            if phase == "on_answer"
            else Verdict()
        )
    )
    second = Played(
        lambda phase: (
            Verdict(remove_headers=[b"X-C"])
            if phase == "on_request"
            else Verdict(set_headers=[(b"X-By", b"second")])
            if phase == "on_answer"
            else Verdict()
        )
    )
    asked = trail(chain(first, second))
    asked.request()
    assert second.values(Read.TENANT) == [b"other"]
    told = [(name, value) for tag, name, value in second.told[-1][1] if tag == Read.HEADER]
    assert [value for name, value in told if name == b"x-a"] == [b"9"]
    kept = asked.changes.apply([*HEADERS, (b"X-C", b"forged"), (b"X-D", b"5")])
    assert kept == [(b"Host", b"shop.example"), (b"X-D", b"5"), (b"X-A", b"9")]
    assert asked.changes.tenant == b"other"
    assert asked.answer(200, [(b"X-By", b"server")]) == [(b"X-By", b"first")]


@pytest.mark.parametrize(
    ("choices", "ends"),
    [
        (["mark", "buy"], "buy"),
        (["buy", "mark"], None),
        (["mark", "read"], None),
        (["buy", "buy"], "buy"),
        (["read", "read"], "read"),
    ],
)
def test_what_one_hook_chose_the_next_one_does_not_loosen(choices: list[str], ends: str | None) -> None:
    hooks = [Played(lambda phase, name=name: Verdict(class_name=name.encode())) for name in choices]  # type: ignore[misc]
    asked = trail(chain(*hooks))
    if ends is None:
        with pytest.raises(RequestRefusedError) as refused:
            asked.request()
        assert refused.value.status == 500
    else:
        asked.request()
        assert asked.changes.class_name == ends


def test_a_hook_is_not_begun_when_its_longest_call_would_be_too_late() -> None:
    for left_us, asked_for in ((LONGEST_CALL_US, 0), (LONGEST_CALL_US + 1, 1)):
        for passes in (False, True):
            played = Played()
            through = trail(chain(played, passes=passes), left_us)
            if asked_for or passes:
                through.request()
            else:
                with pytest.raises(RequestRefusedError):
                    through.request()
            assert len(played.told) == asked_for
            if not asked_for and not passes:
                with pytest.raises(AnswerWithheldError):
                    through.answer(200, [])


def test_with_a_hook_switched_off_nothing_runs_or_it_goes_on_without() -> None:
    first, second = Played(), Played()
    second.breaker.off_until_us = 3_000_000
    with pytest.raises(RequestRefusedError) as refused:
        trail(chain(first, second)).request()
    assert (refused.value.status, refused.value.retry_after_us) == (503, 3_000_000)
    assert not first.told  # asked before any other, as some may count what they see
    trail(chain(first, second, passes=True)).request()
    assert first.told
    assert not second.told


def test_headers_of_the_route_are_not_a_hooks() -> None:
    for verdict in (Verdict(set_headers=[(b"X-Own", b"1")]), Verdict(remove_headers=[b"x-own"])):
        with pytest.raises(RequestRefusedError):
            trail(chain(Played(lambda phase, verdict=verdict: verdict))).request()  # type: ignore[misc]
