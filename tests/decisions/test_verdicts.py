"""Verdicts of hooks: each check by itself, and that no verdict changes protected headers."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plovertrail.decisions.settings import RequestClass
from plovertrail.decisions.verdicts import (
    MAX_HEADERS,
    PROTECTED,
    Allowed,
    InvalidVerdictError,
    Verdict,
    at_least_as_strict,
    changed_headers,
    check_answer,
    check_end,
    check_request,
)
from plovertrail.hooks import abi

ALLOWED = Allowed(frozenset((b"x-request-id",)), frozenset((b"buy",)), frozenset((b"seen",)))
SAFE = RequestClass("read", 1, 1)
UNSAFE = RequestClass("buy", 1, 1, effect="at_most_once")


def deduplicated(scope: str = "cell", window_us: int = 8) -> RequestClass:
    return RequestClass("mark", 1, 1, effect="deduplicated", dedup_scope=scope, dedup_window_us=window_us)


@pytest.mark.parametrize(
    ("candidate", "base", "strict"),
    [
        (SAFE, SAFE, True),
        (deduplicated(), SAFE, True),
        (UNSAFE, SAFE, True),
        (UNSAFE, deduplicated(), True),
        (SAFE, deduplicated(), False),
        (SAFE, UNSAFE, False),
        (deduplicated(), UNSAFE, False),
        (deduplicated(window_us=8), deduplicated(window_us=9), True),
        (deduplicated(window_us=9), deduplicated(window_us=8), False),
        (deduplicated("all"), deduplicated("cell"), False),
        (deduplicated("zone"), deduplicated("cell"), False),
    ],
)
def test_which_class_may_replace_another(candidate: RequestClass, base: RequestClass, strict: bool) -> None:
    assert at_least_as_strict(candidate, base) is strict


def test_a_valid_verdict_passes() -> None:
    check_request(
        Verdict(
            set_headers=[(b"X-A", b"1 2\t3"), (b"X-Empty", b"")],
            remove_headers=[b"Cookie"],
            tenant=b"kidlat",
            class_name=b"buy",
            counts=[(b"seen", 7)],
            logs=[b"x" * 256] * 4,
        ),
        ALLOWED,
    )
    check_request(Verdict(refuse=403, body=b"x" * 4096), ALLOWED)
    check_request(Verdict(refuse=503), ALLOWED)
    check_answer(Verdict(set_headers=[(b"X-A", b"1")]), ALLOWED)
    check_end(Verdict(counts=[(b"seen", 1)]), ALLOWED)


@pytest.mark.parametrize("name", sorted(PROTECTED) + [b"x-request-id", b"sec-websocket-key", b"proxy-x"])
def test_protected_headers_are_neither_set_nor_removed_in_any_case(name: bytes) -> None:
    for spelled in (name, name.upper(), name.title()):
        for verdict in (Verdict(set_headers=[(spelled, b"1")]), Verdict(remove_headers=[spelled])):
            for check in (check_request, check_answer, check_end):
                with pytest.raises(InvalidVerdictError):
                    check(verdict, ALLOWED)


@pytest.mark.parametrize("status", [-1, 1, 100, 200, 204, 301, 399, 408, 421, 500, 502, 504, 600, 65_535])
def test_a_refusal_may_not_be_a_success_a_redirect_or_an_invitation_to_retry(status: int) -> None:
    with pytest.raises(InvalidVerdictError):
        check_request(Verdict(refuse=status), ALLOWED)


INVALID_VERDICTS = [
    Verdict(body=b"x"),
    Verdict(refuse=403, body=b"x" * 4097),
    Verdict(set_headers=[(b"X-A", b"1")] * (MAX_HEADERS + 1)),
    Verdict(remove_headers=[b"X-A"] * (MAX_HEADERS + 1)),
    Verdict(set_headers=[(b"X-%d" % n, b"x" * 1000) for n in range(9)]),
    Verdict(set_headers=[(b"", b"1")]),
    Verdict(set_headers=[(b"X A", b"1")]),
    Verdict(set_headers=[(b"X-A", b"1\n")]),
    Verdict(set_headers=[(b"X-A", b" 1")]),
    Verdict(set_headers=[(b"X-A", b"\xff")]),
    Verdict(tenant=b"x" * 129),
    Verdict(tenant=b"a\n"),
    Verdict(class_name=b"read"),
    Verdict(counts=[(b"other", 1)]),
    Verdict(logs=[b""] * 5),
    Verdict(logs=[b"x" * 257]),
]


@pytest.mark.parametrize("verdict", INVALID_VERDICTS)
def test_an_invalid_verdict_is_rejected(verdict: Verdict) -> None:
    with pytest.raises(InvalidVerdictError):
        check_request(verdict, ALLOWED)


@pytest.mark.parametrize(
    "verdict", [Verdict(refuse=403), Verdict(tenant=b"a"), Verdict(class_name=b"buy"), Verdict(body=b"x")]
)
def test_later_phases_cannot_change_the_request(verdict: Verdict) -> None:
    for check in (check_answer, check_end):
        with pytest.raises(InvalidVerdictError):
            check(verdict, ALLOWED)


def test_no_header_can_be_changed_at_the_end() -> None:
    for verdict in (Verdict(set_headers=[(b"X-A", b"1")]), Verdict(remove_headers=[b"X-A"])):
        with pytest.raises(InvalidVerdictError):
            check_end(verdict, ALLOWED)


NAMES = st.sampled_from([b"X-A", b"x-a", b"X-B", b"Idempotency-Key", b"X-Request-Id", b"Host", b"a b", b""])
VALUES = st.one_of(st.sampled_from([b"1", b"", b"1\r\nX: y", b"\x00"]), st.binary(max_size=8))


@given(
    st.lists(st.tuples(NAMES, VALUES), max_size=4),
    st.lists(NAMES, max_size=4),
    st.lists(st.tuples(NAMES, st.just(b"own")), max_size=6),
)
def test_no_valid_verdict_changes_protected_headers(
    set_headers: list[tuple[bytes, bytes]],
    removed_headers: list[bytes],
    request_headers: list[tuple[bytes, bytes]],
) -> None:
    verdict = Verdict(set_headers=set_headers, remove_headers=removed_headers)
    try:
        check_request(verdict, ALLOWED)
    except InvalidVerdictError:
        return
    forwarded_headers = changed_headers(request_headers, verdict)
    for protected in (b"idempotency-key", b"x-request-id", b"host"):
        assert [pair for pair in forwarded_headers if pair[0].lower() == protected] == [
            pair for pair in request_headers if pair[0].lower() == protected
        ]
    named = {name.lower() for name, _ in set_headers} | {name.lower() for name in removed_headers}
    assert [pair for pair in forwarded_headers if pair[0].lower() not in named] == [
        pair for pair in request_headers if pair[0].lower() not in named
    ]
    assert all(b"\r" not in value and b"\n" not in value for _, value in forwarded_headers)


# The binary encoding


VERDICTS = st.builds(
    Verdict,
    refuse=st.integers(0, 65_535),
    set_headers=st.lists(st.tuples(st.binary(max_size=9), st.binary(max_size=9)), max_size=3),
    remove_headers=st.lists(st.binary(max_size=9), max_size=3),
    tenant=st.none() | st.binary(max_size=9),
    class_name=st.none() | st.binary(max_size=9),
    counts=st.lists(st.tuples(st.binary(max_size=9), st.integers(0, 2**32 - 1)), max_size=3),
    logs=st.lists(st.binary(max_size=9), max_size=3),
)


@given(VERDICTS)
def test_a_verdict_is_decoded_as_it_was_encoded(verdict: Verdict) -> None:
    assert abi.read_verdict(abi.write_verdict(verdict)) == verdict


@given(st.binary(max_size=200))
def test_random_bytes_decode_to_a_verdict_or_raise_an_invalid_verdict_error(data: bytes) -> None:
    try:
        verdict = abi.read_verdict(data)
    except InvalidVerdictError:
        return
    assert sum(len(value) for _, value in verdict.set_headers) <= len(data)


def test_numbers_beyond_32_bits_are_encoded_as_the_maximum() -> None:
    ((_, name, value),) = abi.records(abi.number(abi.Read.COUNTER, 1 << 40, b"seen"))
    assert (name, value) == (b"seen", b"\xff" * 4)
