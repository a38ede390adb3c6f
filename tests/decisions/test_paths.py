"""Normalisation of hosts and paths, whatever their spelling."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plovertrail.decisions.paths import InvalidTargetError, normalise_host, normalise_path, split_target
from plovertrail.decisions.routes import Head, Match, PathKind, Route, RouteTable

SEGMENT_CHARACTERS = "abcXYZ019-._~!$&'()*+,;=:@"
segments = st.text(SEGMENT_CHARACTERS, min_size=1, max_size=6).filter(
    lambda s: s not in (".", "..") and not s.startswith((".;", "..;"))
)
normal_paths = st.lists(segments, min_size=1, max_size=4).map(lambda parts: "/" + "/".join(parts))


@st.composite
def respelled_paths(draw: st.DrawFn) -> tuple[str, bytes]:
    """A normal path, and another spelling of it."""
    normal = draw(normal_paths)
    spelling = b""
    for character in normal:
        if character == "/":
            spelling += draw(
                st.sampled_from([b"/", b"//", b"/./", b"/%2e/", b"/x/../", b"/y/%2E%2e/", b"/z/.%2e//"])
            )
        elif draw(st.booleans()):
            spelling += draw(st.sampled_from([b"%%%02x", b"%%%02X"])) % ord(character)
        else:
            spelling += character.encode()
    return normal, spelling


@given(respelled_paths())
def test_all_spellings_of_a_path_have_the_same_form_for_matching(pair: tuple[str, bytes]) -> None:
    normal, spelling = pair
    assert normalise_path(spelling)[1] == normalise_path(normal.encode())[1] == normal


@given(st.binary(max_size=40).map(lambda raw: b"/" + raw))
def test_normalising_twice_changes_nothing(raw: bytes) -> None:
    try:
        forwarded, matching = normalise_path(raw)
    except InvalidTargetError:
        return
    assert normalise_path(forwarded.encode()) == (forwarded, matching)
    assert normalise_path(matching.encode())[1] == matching
    assert forwarded.count("/") == matching.count("/")
    assert not {".", ".."} & set(matching.split("/"))
    assert "//" not in matching


@given(respelled_paths())
@settings(max_examples=200)
def test_all_spellings_of_a_path_match_the_same_route(pair: tuple[str, bytes]) -> None:
    normal, spelling = pair
    table = RouteTable(
        [
            Route("admin", ("p",), "c", path="/a"),
            Route("exact", ("p",), "c", path_kind=PathKind.EXACT, path=normal),
            Route("regex", ("p",), "c", path_kind=PathKind.REGEX, path="/[abc]+/.*"),
            Route("rest", ("p",), "c"),
        ]
    )

    def match_of(raw: bytes) -> Match:
        return table.lookup(Head("GET", "h", normalise_path(raw)[1], b"", {}))

    assert match_of(spelling) == match_of(normal.encode())


@pytest.mark.parametrize(
    ("raw", "matching"),
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
def test_paths_are_normalised_before_matching(raw: bytes, matching: str) -> None:
    assert normalise_path(raw)[1] == matching


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
def test_ambiguous_or_invalid_paths_are_rejected(raw: bytes) -> None:
    with pytest.raises(InvalidTargetError):
        normalise_path(raw)


def test_the_forwarded_path_keeps_reserved_characters_as_they_were_sent() -> None:
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
def test_hosts_are_normalised(raw: bytes, host: str) -> None:
    assert normalise_host(raw) == host


@pytest.mark.parametrize(
    "raw", [b"", b".", b"a b", b"a..b", b"a/b", b"u@a", b"a,b", b"[::1", b"a:b:c", b"x" * 300, b"-a", b"\xff"]
)
def test_invalid_hosts_are_rejected(raw: bytes) -> None:
    with pytest.raises(InvalidTargetError):
        normalise_host(raw)


def test_a_target_in_absolute_form_has_a_host() -> None:
    assert split_target(b"http://A:1/p?q=1") == (b"A:1", b"/p", b"q=1")
    assert split_target(b"https://a?x") == (b"a", b"/", b"x")
    for raw in (b"*", b"a:80", b"ftp://a/", b"http:///p", b"http://u@a/", b"/p#f"):
        with pytest.raises(InvalidTargetError):
            split_target(raw)
