"""Route matching: precedence, predicates, rewriting, unreachable routes."""

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


def route(name: str, path: str = "/", kind: PathKind = PathKind.PREFIX, **fields: object) -> Route:
    return Route(name, ("p",), "c", path_kind=kind, path=path, **fields)  # type: ignore[arg-type]


def head(path: str = "/", host: str = "h", method: str = "GET", query: bytes = b"", **headers: str) -> Head:
    return Head(
        method, host, path, query, {k.replace("_", "-").encode(): v.encode() for k, v in headers.items()}
    )


def selected_name(table: RouteTable, request_head: Head) -> str | None:
    found = table.lookup(request_head).route
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
    for request_head, name in [
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
        assert selected_name(table, request_head) == name, request_head


def test_header_and_query_values_are_compared_as_a_whole() -> None:
    table = RouteTable(
        [
            route("beta", headers=(Predicate("x-beta", "1"),)),
            route("query", query=(Predicate("v", "2"),)),
            route("given", query=(Predicate("flag"),)),
        ]
    )
    assert selected_name(table, head(x_beta="1")) == "beta"
    assert selected_name(table, head(x_beta="11")) is None
    assert selected_name(table, head(query=b"v=1&v=2")) == "query"
    assert selected_name(table, head(query=b"v=22")) is None
    assert (
        selected_name(table, head(query=b"flag"))
        == selected_name(table, head(query=b"flag=x&a=b"))
        == "given"
    )


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
def test_lookup_selects_the_same_route_as_checking_all_routes(table: RouteTable, request_head: Head) -> None:
    selected = [each for each, miss in table.explain(request_head) if miss is None]
    found = table.lookup(request_head).route
    assert [found] == selected if found is not None else selected == []


@given(tables(), st.lists(heads, min_size=20, max_size=60))
@settings(max_examples=200)
def test_a_route_reported_as_unreachable_is_never_selected(
    table: RouteTable, request_heads: list[Head]
) -> None:
    shadowed = {second.name for second, _ in unreachable(table.routes)}
    assert not shadowed & {selected_name(table, each) for each in request_heads}


def test_shadowed_routes_are_reported_as_unreachable() -> None:
    def shadowed(*routes: Route) -> list[tuple[str, str]]:
        return [(second.name, first.name) for second, first in unreachable(routes)]

    assert shadowed(route("a", "/x"), route("b", "/x")) == [("b", "a")]
    # b has precedence: it has a method predicate
    assert shadowed(route("a", "/x"), route("b", "/x", methods=frozenset(("GET",)))) == []
    assert shadowed(route("a", "/x", priority=1), route("b", "/x/y")) == [("b", "a")]
    assert shadowed(route("a", "/x", priority=1), route("b", "/xy")) == []
    assert shadowed(route("a", "/x.*", PathKind.REGEX, priority=1), route("b", "/xy", PathKind.EXACT)) == [
        ("b", "a")
    ]
    assert shadowed(route("a", "/r", PathKind.REGEX), route("b", "/r", PathKind.REGEX)) == [("b", "a")]
    # b is still reachable on host i
    assert shadowed(route("a", "/x", hosts=("h",)), route("b", "/x", hosts=("h", "i"))) == []
    assert shadowed(route("a", "/x", hosts=("h", "i")), route("b", "/x", hosts=("i",))) == [("b", "a")]
    assert shadowed(route("a", "/x", headers=(Predicate("q"),)), route("b", "/x")) == []


def test_a_method_that_no_route_accepts_is_405_and_an_unknown_path_404() -> None:
    table = RouteTable([route("a", "/a", methods=frozenset(("POST", "PUT")))])
    with pytest.raises(RequestRejectedError) as caught:
        route_request(table, head("/a"), "/a", b"")
    assert (caught.value.status, caught.value.allowed) == (405, frozenset(("POST", "PUT")))
    with pytest.raises(RequestRejectedError) as caught:
        route_request(table, head("/b"), "/b", b"")
    assert caught.value.status == 404


def test_explain_gives_the_reason_for_each_route() -> None:
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
    ("kind", "path", "rewrite", "request_path", "target"),
    [
        (PathKind.PREFIX, "/api", "/", "/api/v1/x", "/v1/x"),
        (PathKind.PREFIX, "/api", "/", "/api", "/"),
        (PathKind.PREFIX, "/api", "/v2/in", "/api/x/", "/v2/in/x/"),
        (PathKind.PREFIX, "/", "/all", "/x", "/all/x"),
        # cut off by segments, as the forms differ in length
        (PathKind.PREFIX, "/a+b", "/c", "/a%2Bb/x%2B", "/c/x%2B"),
        (PathKind.EXACT, "/a", "/b", "/a", "/b"),
        (PathKind.REGEX, r"/u/(\d+)(/.*)?", r"/user\2/\1", "/u/7/pic", "/user/pic/7"),
        (PathKind.REGEX, r"/(.*)", r"/.\1", "/./x", "/.x"),
    ],
)
def test_rewritten_paths(kind: PathKind, path: str, rewrite: str, request_path: str, target: str) -> None:
    assert rewritten_path(route("r", path, kind, rewrite=rewrite), request_path) == target


def test_a_rewritten_path_is_normalised_or_rejected() -> None:
    dot_rewrite = route("r", r"/(.*)", PathKind.REGEX, rewrite=r"/private/.\1")
    assert rewritten_path(dot_rewrite, "/./x") == "/private/.x"
    assert rewritten_path(dot_rewrite, "/.a") == "/private/..a"
    with pytest.raises(InvalidTargetError):
        rewritten_path(route("r", r"/(.*)", PathKind.REGEX, rewrite=r"/private/.\1"), "/.;x")


def test_reading_the_head_of_a_request() -> None:
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


def test_lookup_among_ten_thousand_routes_checks_few_candidates() -> None:
    """Counts the candidates of a lookup; benchmarks/routes.py measures the time."""
    rng = random.Random(1)
    table = RouteTable([route(str(n), f"/s{n}/x", hosts=(f"h{n % 100}",)) for n in range(10_000)])
    for number in rng.sample(range(10_000), 50):
        groups = list(table._matching_groups(f"h{number % 100}"))
        assert len(groups) == 1
        assert len(groups[0].by_path(f"/s{number}/x/y")) == 1
        assert selected_name(table, head(f"/s{number}/x/y", f"h{number % 100}")) == str(number)


def test_hosts_have_the_precedence_of_nginx_server_names() -> None:
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
        request_head = head(host=host)
        assert selected_name(table, request_head) == name, host
        assert [each.name for each, miss in table.explain(request_head) if miss is None] == [name], host


def test_a_route_may_have_both_an_exact_host_and_any_host() -> None:
    table = RouteTable([route("default", hosts=("a.b", "")), route("wild", hosts=("*.b",))])
    for host, name in [("a.b", "default"), ("c.b", "wild"), ("d", "default"), ("", "default")]:
        assert selected_name(table, head(host=host)) == name


def test_path_within_and_path_except_restrict_the_paths_of_a_route() -> None:
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
        assert selected_name(table, head(path)) == name, path
        assert [each.name for each, miss in table.explain(head(path)) if miss is None] == [name]
    # a route that has precedence on some of the paths only shadows no other
    assert not unreachable(table.routes)
    overlapping = [
        route("first", path_within="/a", priority=1),
        route("second", path_within="/a/b", path_except=("/x",)),
    ]
    assert [(second.name, first.name) for second, first in unreachable(overlapping)] == [("second", "first")]


def test_a_route_may_be_restricted_to_some_listeners() -> None:
    table = RouteTable([route("inner", listeners=frozenset(("in",))), route("other", priority=-1)])
    for listener, name in [("in", "inner"), ("out", "other"), ("", "other")]:
        request_head = Head("GET", "h", "/", b"", {}, listener)
        assert selected_name(table, request_head) == name
    assert (table.routes[0], Miss.LISTENER) in table.explain(head())
    assert not unreachable(table.routes)
    assert unreachable([route("all"), route("lost", listeners=frozenset(("in",)))])


def test_a_body_that_is_too_long_for_its_route_is_rejected() -> None:
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
