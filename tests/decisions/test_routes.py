"""Which route takes a request: precedence, predicates, rewriting, unreachable routes."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plovertrail.decisions.paths import InvalidTargetError
from plovertrail.decisions.requests import (
    RequestRejectedError,
    checked_key,
    deadline_us,
    read_head,
    route_request,
    tenant_of,
)
from plovertrail.decisions.routes import (
    Head,
    Miss,
    PathKind,
    Predicate,
    Route,
    RouteTable,
    TenantSource,
    rewritten_path,
    unreachable,
)


def route(name: str, path: str = "/", kind: PathKind = PathKind.PREFIX, **more: object) -> Route:
    return Route(name, ("p",), "c", path_kind=kind, path=path, **more)  # type: ignore[arg-type]


def head(path: str = "/", host: str = "h", method: str = "GET", query: bytes = b"", **headers: str) -> Head:
    return Head(
        method, host, path, query, {k.replace("_", "-").encode(): v.encode() for k, v in headers.items()}
    )


def winner(table: RouteTable, asked: Head) -> str | None:
    found = table.lookup(asked).route
    return found.name if found is not None else None


def test_the_order_of_precedence() -> None:
    table = RouteTable(
        [
            route("any"),
            route("long", "/a/b"),
            route("short", "/a"),
            route("regex", "/a/[a-z]+", PathKind.REGEX),
            route("later regex", "/a/b.*", PathKind.REGEX),
            route("exact", "/a/b", PathKind.EXACT),
            route("wild", hosts=("*.example",)),
            route("closer", hosts=("*.shop.example",)),
            route("named", hosts=("x.shop.example",)),
            route("urgent", "/u", priority=1),
            route("u", "/u/v"),
            route("post", "/m", methods=frozenset(("POST",))),
            route("all methods", "/m"),
            route("two", "/h", headers=(Predicate("a"), Predicate("b"))),
            route("one", "/h", headers=(Predicate("a"),)),
        ]
    )
    for asked, name in [
        (head("/a/b"), "exact"),
        (head("/a/bc"), "regex"),
        (head("/a/b1"), "later regex"),
        (head("/a/b/c"), "later regex"),
        (head("/a/1"), "short"),
        (head("/ab"), "any"),
        (head("/a"), "short"),
        (head("/a", "y.example"), "wild"),
        (head("/a", "y.shop.example"), "closer"),
        (head("/a", "x.shop.example"), "named"),
        (head("/a", "z.y.shop.example"), "closer"),
        (head("/", "shop.example"), "wild"),
        (head("/", "example"), "any"),
        (head("/u/v"), "urgent"),
        (head("/m", method="POST"), "post"),
        (head("/m"), "all methods"),
        (head("/h", a="1", b="2"), "two"),
        (head("/h", a="1"), "one"),
        (head("/h"), "any"),
    ]:
        assert winner(table, asked) == name, asked


def test_headers_and_query_are_matched_whole() -> None:
    table = RouteTable(
        [
            route("beta", headers=(Predicate("x-beta", "1"),)),
            route("query", query=(Predicate("v", "2"),)),
            route("given", query=(Predicate("flag"),)),
        ]
    )
    assert winner(table, head(x_beta="1")) == "beta"
    assert winner(table, head(x_beta="11")) is None
    assert winner(table, head(query=b"v=1&v=2")) == "query"
    assert winner(table, head(query=b"v=22")) is None
    assert winner(table, head(query=b"flag")) == winner(table, head(query=b"flag=x&a=b")) == "given"


paths = st.sampled_from(["/", "/a", "/a/b", "/a/b/c", "/b", "/ab", "/a/"])
regexes = st.sampled_from(["/a.*", "/[ab]", "/a/b", ".*b", "/b|/a"])
hosts = st.lists(st.sampled_from(["h", "x.h", "*.h", "y.x.h"]), max_size=2, unique=True).map(tuple)


@st.composite
def tables(draw: st.DrawFn) -> RouteTable:
    found = []
    for number in range(draw(st.integers(1, 12))):
        kind = draw(st.sampled_from(PathKind))
        path = draw(regexes if kind is PathKind.REGEX else paths)
        if kind is PathKind.PREFIX:
            path = path.rstrip("/") or "/"
        found.append(
            route(
                str(number),
                path,
                kind,
                hosts=draw(hosts),
                priority=draw(st.integers(0, 1)),
                methods=draw(st.sampled_from([frozenset(), frozenset(["GET"]), frozenset(["POST"])])),
                headers=draw(st.sampled_from([(), (Predicate("a"),), (Predicate("a", "1"),)])),
            )
        )
    return RouteTable(found)


heads = st.builds(
    head,
    paths,
    st.sampled_from(["", "h", "x.h", "y.x.h", "z"]),
    st.sampled_from(["GET", "POST"]),
    a=st.sampled_from(["1", "2"]),
) | st.builds(head, paths, st.sampled_from(["h", "x.h"]))


@given(tables(), heads)
@settings(max_examples=400)
def test_a_lookup_finds_what_going_through_all_routes_finds(table: RouteTable, asked: Head) -> None:
    told = [each for each, miss in table.explain(asked) if miss is None]
    found = table.lookup(asked).route
    assert [found] == told if found is not None else told == []


@given(tables(), st.lists(heads, min_size=20, max_size=60))
@settings(max_examples=200)
def test_a_route_called_unreachable_is_never_reached(table: RouteTable, asked: list[Head]) -> None:
    dead = {late.name for late, _ in unreachable(table.routes)}
    assert not dead & {winner(table, each) for each in asked}


def test_routes_that_another_always_beats_are_found() -> None:
    def dead(*routes: Route) -> list[tuple[str, str]]:
        return [(late.name, first.name) for late, first in unreachable(routes)]

    assert dead(route("a", "/x"), route("b", "/x")) == [("b", "a")]
    assert (
        dead(route("a", "/x"), route("b", "/x", methods=frozenset(("GET",)))) == []
    )  # goes first: more named
    assert dead(route("a", "/x", priority=1), route("b", "/x/y")) == [("b", "a")]
    assert dead(route("a", "/x", priority=1), route("b", "/xy")) == []
    assert dead(route("a", "/x.*", PathKind.REGEX, priority=1), route("b", "/xy", PathKind.EXACT)) == [
        ("b", "a")
    ]
    assert dead(route("a", "/r", PathKind.REGEX), route("b", "/r", PathKind.REGEX)) == [("b", "a")]
    assert dead(route("a", "/x", hosts=("h",)), route("b", "/x", hosts=("h", "i"))) == []  # i is left
    assert dead(route("a", "/x", hosts=("h", "i")), route("b", "/x", hosts=("i",))) == [("b", "a")]
    assert dead(route("a", "/x", headers=(Predicate("q"),)), route("b", "/x")) == []


def test_a_method_that_no_route_takes_is_told_from_a_path() -> None:
    table = RouteTable([route("a", "/a", methods=frozenset(("POST", "PUT")))])
    with pytest.raises(RequestRejectedError) as caught:
        route_request(table, head("/a"), "/a", b"")
    assert (caught.value.status, caught.value.allowed) == (405, frozenset(("POST", "PUT")))
    with pytest.raises(RequestRejectedError) as caught:
        route_request(table, head("/b"), "/b", b"")
    assert caught.value.status == 404


def test_why_each_candidate_lost() -> None:
    table = RouteTable(
        [
            route("host", hosts=("i",)),
            route("path", "/b"),
            route("method", methods=frozenset(("PUT",))),
            route("header", headers=(Predicate("a"),)),
            route("query", query=(Predicate("q"),)),
            route("won"),
            route("second"),
        ]
    )
    assert [miss for _, miss in table.explain(head("/a"))] == [
        Miss.HOST,
        Miss.PATH,
        Miss.METHOD,
        Miss.HEADER,
        Miss.QUERY,
        None,
        Miss.OUTRANKED,
    ]


@pytest.mark.parametrize(
    ("kind", "path", "rewrite", "asked", "target"),
    [
        (PathKind.PREFIX, "/api", "/", "/api/v1/x", "/v1/x"),
        (PathKind.PREFIX, "/api", "/", "/api", "/"),
        (PathKind.PREFIX, "/api", "/v2/in", "/api/x/", "/v2/in/x/"),
        (PathKind.PREFIX, "/", "/all", "/x", "/all/x"),
        (
            PathKind.PREFIX,
            "/a+b",
            "/c",
            "/a%2Bb/x%2B",
            "/c/x%2B",
        ),  # by segments, as the forms differ in length
        (PathKind.EXACT, "/a", "/b", "/a", "/b"),
        (PathKind.REGEX, r"/u/(\d+)(/.*)?", r"/user\2/\1", "/u/7/pic", "/user/pic/7"),
        (PathKind.REGEX, r"/(.*)", r"/.\1", "/./x", "/.x"),
    ],
)
def test_rewriting(kind: PathKind, path: str, rewrite: str, asked: str, target: str) -> None:
    assert rewritten_path(route("r", path, kind, rewrite=rewrite), asked) == target


def test_a_rewritten_path_is_normal_or_refused() -> None:
    climbing = route("r", r"/(.*)", PathKind.REGEX, rewrite=r"/private/.\1")
    assert rewritten_path(climbing, "/./x") == "/private/.x"
    assert rewritten_path(climbing, "/.a") == "/private/..a"
    with pytest.raises(InvalidTargetError):
        rewritten_path(route("r", r"/(.*)", PathKind.REGEX, rewrite=r"/private/.\1"), "/.;x")


def test_the_head_of_a_request() -> None:
    def read(target: bytes, *named: bytes, version: str = "1.1") -> tuple[str, str, bytes]:
        found, path, authority = read_head(b"GET", target, version, list(named), {})
        return found.host, path, authority

    assert read(b"/a?b", b"SHOP.example.:80") == ("shop.example", "/a", b"SHOP.example.:80")
    assert read(b"http://other/a", b"shop.example")[0] == "other"
    assert read(b"/", version="1.0") == ("", "/", b"")
    for target, named in [(b"/", ()), (b"/", (b"a", b"a")), (b"/", (b"a b",)), (b"*", (b"a",))]:
        with pytest.raises(RequestRejectedError) as caught:
            read(target, *named)
        assert caught.value.status == 400


def test_tenants_deadlines_and_keys() -> None:
    assert tenant_of(route("r"), head(), "1.2.3.4") == b""
    assert tenant_of(route("r", tenant_from=TenantSource.HOST), head(host="a"), "") == b"a"
    assert tenant_of(route("r", tenant_from=TenantSource.ADDRESS), head(), "1.2.3.4") == b"1.2.3.4"
    by_header = route("r", tenant_from=TenantSource.HEADER, tenant_header=b"x-t")
    assert (tenant_of(by_header, head(x_t="n"), ""), tenant_of(by_header, head(), "")) == (b"n", b"")
    assert (deadline_us(None, 5000), deadline_us(b"3", 5000), deadline_us(b"9", 5000)) == (5000, 3000, 5000)
    assert checked_key(b"k") == b"k"
    for wrong in (b"", b"-1", b"1.5", b"x", b"0", b"9" * 12):
        with pytest.raises(RequestRejectedError):
            deadline_us(wrong, 5000)
    for key in (None, b"", b"a b", b"x" * 200):
        with pytest.raises(RequestRejectedError):
            checked_key(key)


def test_ten_thousand_routes_are_found_by_the_same_steps() -> None:
    """Not timed (benchmarks/routes.py does that): each request meets few candidates."""
    rng = random.Random(1)
    table = RouteTable([route(str(n), f"/s{n}/x", hosts=(f"h{n % 100}",)) for n in range(10_000)])
    for number in rng.sample(range(10_000), 50):
        groups = list(table._matching_groups(f"h{number % 100}"))
        assert len(groups) == 1
        assert len(groups[0].by_path(f"/s{number}/x/y")) == 1
        assert winner(table, head(f"/s{number}/x/y", f"h{number % 100}")) == str(number)


def test_hosts_are_found_in_nginxs_order_too() -> None:
    table = RouteTable(
        [
            route("any"),
            route("regex", hosts=(r"~^www\d+\.a\.", "x.example")),
            route("later regex", hosts=("~a",)),
            route("trailing", hosts=("www.a.*",)),
            route("longer trailing", hosts=("www.a.b.*",)),
            route("leading", hosts=("*.a.b.c",)),
            route("exact", hosts=("www.a.b.c",)),
        ]
    )
    for host, name in [
        ("www.a.b.c", "exact"),
        ("x.a.b.c", "leading"),
        ("www.a.b.d", "longer trailing"),
        ("www.a.d", "trailing"),
        ("www7.a.d", "regex"),
        ("x.example", "regex"),
        ("www.a", "later regex"),
        ("zap", "later regex"),
        ("", "any"),
        ("zip", "any"),
    ]:
        asked = head(host=host)
        assert winner(table, asked) == name, host
        assert [each.name for each, miss in table.explain(asked) if miss is None] == [name], host


def test_a_host_of_its_own_and_any_other() -> None:
    table = RouteTable([route("default", hosts=("a.b", "")), route("wild", hosts=("*.b",))])
    for host, name in [("a.b", "default"), ("c.b", "wild"), ("d", "default"), ("", "default")]:
        assert winner(table, head(host=host)) == name


def test_a_path_may_have_to_begin_with_a_text_and_with_none_of_others() -> None:
    table = RouteTable(
        [
            route("part", path_within="/a/b", path_except=("/a/bad", "/a/b/c"), priority=1),
            route("rest"),
        ]
    )
    for path, name in [
        ("/a/b", "part"),
        ("/a/bc", "part"),
        ("/a/b/d", "part"),
        ("/a/bad", "rest"),
        ("/a/badly", "rest"),
        ("/a/b/cd", "rest"),
        ("/a", "rest"),
    ]:
        assert winner(table, head(path)) == name, path
        assert [each.name for each, miss in table.explain(head(path)) if miss is None] == [name]
    # what goes first for a part only takes nothing away
    assert not unreachable(table.routes)
    same = [
        route("first", path_within="/a", priority=1),
        route("second", path_within="/a/b", path_except=("/x",)),
    ]
    assert [(lost.name, by.name) for lost, by in unreachable(same)] == [("second", "first")]


def test_a_route_may_be_of_some_listeners_only() -> None:
    table = RouteTable([route("inner", listeners=frozenset(("in",))), route("other", priority=-1)])
    for listener, name in [("in", "inner"), ("out", "other"), ("", "other")]:
        asked = Head("GET", "h", "/", b"", {}, listener)
        assert winner(table, asked) == name
    assert (table.routes[0], Miss.LISTENER) in table.explain(head())
    assert not unreachable(table.routes)
    assert unreachable([route("all"), route("lost", listeners=frozenset(("in",)))])


def test_a_body_may_be_too_long_for_a_route() -> None:
    table = RouteTable([route("short", "/s", max_body=3), route("none", "/n", max_body=0), route("any")])
    for path, size, fits in [
        ("/s", 3, True),
        ("/s", 4, False),
        ("/n", 1, False),
        ("/n", 0, True),
        ("/", 9, True),
    ]:
        if fits:
            assert route_request(table, head(path), path, b"h", size)
        else:
            with pytest.raises(RequestRejectedError) as caught:
                route_request(table, head(path), path, b"h", size)
            assert caught.value.status == 413
