"""Hosts and paths have one form each, however they are written."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plovertrail.decisions.paths import InvalidTargetError, normalise_host, normalise_path, split_target
from plovertrail.decisions.routes import Head, Match, PathKind, Route, RouteTable

PLAIN = "abcXYZ019-._~!$&'()*+,;=:@"
segments = st.text(PLAIN, min_size=1, max_size=6).filter(
    lambda s: s not in (".", "..") and not s.startswith((".;", "..;"))
)
plain_paths = st.lists(segments, min_size=1, max_size=4).map(lambda parts: "/" + "/".join(parts))


@st.composite
def disguised(draw: st.DrawFn) -> tuple[str, bytes]:
    """A plain path, and another way to write it."""
    plain = draw(plain_paths)
    written = b""
    for character in plain:
        if character == "/":
            written += draw(
                st.sampled_from([b"/", b"//", b"/./", b"/%2e/", b"/x/../", b"/y/%2E%2e/", b"/z/.%2e//"])
            )
        elif draw(st.booleans()):
            written += draw(st.sampled_from([b"%%%02x", b"%%%02X"])) % ord(character)
        else:
            written += character.encode()
    return plain, written


@given(disguised())
def test_however_a_path_is_written_rules_see_its_plain_form(pair: tuple[str, bytes]) -> None:
    plain, written = pair
    assert normalise_path(written)[1] == normalise_path(plain.encode())[1] == plain


@given(st.binary(max_size=40).map(lambda raw: b"/" + raw))
def test_normalising_twice_changes_nothing(raw: bytes) -> None:
    try:
        goes_on, seen = normalise_path(raw)
    except InvalidTargetError:
        return
    assert normalise_path(goes_on.encode()) == (goes_on, seen)
    assert normalise_path(seen.encode())[1] == seen
    assert goes_on.count("/") == seen.count("/")
    assert not {".", ".."} & set(seen.split("/"))
    assert "//" not in seen


@given(disguised())
@settings(max_examples=200)
def test_no_written_form_reaches_a_route_that_the_plain_form_does_not(pair: tuple[str, bytes]) -> None:
    plain, written = pair
    table = RouteTable(
        [
            Route("admin", ("p",), "c", path="/a"),
            Route("exact", ("p",), "c", path_kind=PathKind.EXACT, path=plain),
            Route("regex", ("p",), "c", path_kind=PathKind.REGEX, path="/[abc]+/.*"),
            Route("rest", ("p",), "c"),
        ]
    )

    def found(raw: bytes) -> Match:
        return table.lookup(Head("GET", "h", normalise_path(raw)[1], b"", {}))

    assert found(written) == found(plain.encode())


@pytest.mark.parametrize(
    ("raw", "seen"),
    [
        (b"/buy/%2e%2e/admin", "/admin"),
        (b"/buy/../admin", "/admin"),
        (b"/buy/.%2e/%61dmin", "/admin"),
        (b"//admin", "/admin"),
        (b"/./admin/", "/admin/"),
        (b"/../../admin", "/admin"),
        (b"/a/..", "/"),
        (b"/a/b/.", "/a/b/"),
        (b"/%7Euser", "/~user"),
        (b"/a%3bb", "/a;b"),
        (b"/caf\xc3\xa9", "/caf%C3%A9"),
        (b"/%252e%252e/admin", "/%252e%252e/admin"),  # decoded once, never twice
    ],
)
def test_path_tricks_end_at_the_path_they_mean(raw: bytes, seen: str) -> None:
    assert normalise_path(raw)[1] == seen


@pytest.mark.parametrize(
    "raw",
    [
        b"/buy/..%2fadmin",
        b"/buy%2F..%2Fadmin",
        b"/buy/..%5cadmin",
        b"/buy\\..\\admin",
        b"/buy/..;/admin",
        b"/buy/%2e%2e%3b/admin",
        b"/buy/.;a/x",
        b"/%00",
        b"/a%0ab",
        b"/%",
        b"/%zz",
        b"/%1",
        b"admin",
        b"",
    ],
)
def test_what_servers_may_read_in_two_ways_is_refused(raw: bytes) -> None:
    with pytest.raises(InvalidTargetError):
        normalise_path(raw)


def test_what_goes_on_keeps_the_reserved_characters_as_they_were_sent() -> None:
    assert normalise_path(b"/a%2Bb+c%3d/%41%2d") == ("/a%2Bb+c%3D/A-", "/a+b+c=/A-")


@pytest.mark.parametrize(
    ("raw", "host"),
    [
        (b"Shop.Example", "shop.example"),
        (b"shop.example.", "shop.example"),
        (b"shop.example:8080", "shop.example"),
        (b"shop.example.:80", "shop.example"),
        (b"[::1]:80", "[::1]"),
        (b"127.0.0.1:9", "127.0.0.1"),
        (b"shop.example:", "shop.example"),
    ],
)
def test_a_host_has_one_form(raw: bytes, host: str) -> None:
    assert normalise_host(raw) == host


@pytest.mark.parametrize(
    "raw", [b"", b".", b"a b", b"a..b", b"a/b", b"u@a", b"a,b", b"[::1", b"a:b:c", b"x" * 300, b"-a", b"\xff"]
)
def test_what_is_no_host_is_refused(raw: bytes) -> None:
    with pytest.raises(InvalidTargetError):
        normalise_host(raw)


def test_the_absolute_form_names_its_host() -> None:
    assert split_target(b"http://A:1/p?q=1") == (b"A:1", b"/p", b"q=1")
    assert split_target(b"https://a?x") == (b"a", b"/", b"x")
    for raw in (b"*", b"a:80", b"ftp://a/", b"http:///p", b"http://u@a/", b"/p#f"):
        with pytest.raises(InvalidTargetError):
            split_target(raw)
