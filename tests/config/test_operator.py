"""The operator's file: what a good one becomes, and all that is wrong with a bad one, each with its place."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plovertrail.config.operator import load, parse
from plovertrail.config.problems import ConfigError
from plovertrail.decisions.routes import PathKind, TenantSource

EXAMPLE = Path(__file__).resolve().parents[2] / "deploy" / "plovertrail.toml"
GOOD = """
[limits]
max_body = "64KiB"
[listeners.web]
address = "127.0.0.1:8080"
[classes.read]
effect = "safe"
aim = "100ms"
deadline = "1s"
[classes.buy]
effect = "unsafe"
aim = "100ms"
deadline = "1s"
[classes.mark]
effect = "keyed"
key_header = "Idempotency-Key"
memory = "8s"
aim = "100ms"
deadline = "1s"
[pools.main]
servers = [{ id = "a", address = "127.0.0.1:9001" }, { id = "b", address = "127.0.0.1:9002" }]
[pools.spare]
servers = []
[[routes]]
name = "buy"
path = "/buy"
class = "buy"
pools = ["main", "spare"]
[[routes]]
name = "rest"
class = "read"
pools = ["main"]
"""

LAST_ROUTE = 'class = "read"\npools = ["main"]\n'

# what to replace in a good file, and what must be said of the result
BROKEN: dict[str, tuple[str, str, str]] = {
    "no TOML": ("[limits]", "[limits", "not TOML"),
    "a table twice": ("[pools.spare]", "[pools.main]", "not TOML"),
    "an unknown table": ("[limits]", "[limit]", 'limit: unknown key; did you mean "limits"?'),
    "an unknown key": (
        "max_body =",
        "max_bodies =",
        'limits.max_bodies: unknown key; did you mean "max_body"?',
    ),
    "a wrong type": ('name = "rest"', "name = 7", "routes[1].name: expected `str`, got `int`, got 7"),
    "a limiter of nothing": (
        "[limits]",
        '[limiters.a]\nby = "client"\n[limits]',
        "limiters.a: it limits nothing; write rate_per_s or concurrent, above 0",
    ),
    "a limiter by what isn't known": (
        "[limits]",
        '[limiters.a]\nby = "host"\nrate_per_s = 1\n[limits]',
        "limiters.a.by: invalid enum value 'host'",
    ),
    "a limiter with a burst of no rate": (
        "[limits]",
        '[limiters.a]\nby = "all"\nconcurrent = 1\nburst = 2\n[limits]',
        "limiters.a.burst: a burst of no rate",
    ),
    "a limiter by client that names tenants": (
        "[limits]",
        '[limiters.a]\nby = "client"\nrate_per_s = 1\n[limiters.a.tenants.x]\nrate_per_s = 1\n[limits]',
        'limiters.a.tenants: it counts by "client", which knows no tenants',
    ),
    "a limiter with a tenant that isn't listed": (
        "[limits]",
        '[limiters.a]\nby = "tenant"\nrate_per_s = 1\n[limiters.a.tenants.x]\nrate_per_s = 1\n[limits]',
        'limiters.a.tenants.x: no tenant is called "x"',
    ),
    "a limiter by client with unlisted tenants": (
        "[limits]",
        '[limiters.a]\nby = "client"\nrate_per_s = 1\nunlisted = "each"\n[limits]',
        "limiters.a.unlisted: it counts by",
    ),
    "a limiter that isn't there": (
        'name = "rest"',
        'name = "rest"\nlimiters = ["a"]',
        'routes[1] ("rest").limiters[0]: no limiter is called "a"',
    ),
    "a limiter twice on a route": (
        LAST_ROUTE,
        LAST_ROUTE + 'limiters = ["a", "a"]\n[limiters.a]\nby = "all"\nrate_per_s = 1\n',
        'routes[1] ("rest").limiters[1]: "a" is named twice',
    ),
    "a limiter by tenant on a route with none": (
        LAST_ROUTE,
        LAST_ROUTE + 'limiters = ["a"]\n[limiters.a]\nby = "tenant"\nrate_per_s = 1\n',
        'routes[1] ("rest").limiters[0]: limiter "a" counts by tenant, and the route says none',
    ),
    "an answer and pools": (
        'name = "rest"',
        'name = "rest"\nrespond = { status = 404 }',
        'routes[1] ("rest").pools: its requests go to no server, as it has respond',
    ),
    "a redirect to nowhere": (
        LAST_ROUTE,
        "respond = { status = 302 }\n",
        'routes[1] ("rest").respond: status 302 with no location',
    ),
    "a location that nobody follows": (
        LAST_ROUTE,
        'respond = { status = 404, location = "/" }\n',
        'routes[1] ("rest").respond.location: status 404 leads nowhere',
    ),
    "a template of what isn't known": (
        LAST_ROUTE,
        'respond = { status = 301, location = "{hots}" }\n',
        'routes[1] ("rest").respond.location: {hots} is not known; write one of {1}',
    ),
    "a template with a group that isn't there": (
        LAST_ROUTE,
        LAST_ROUTE + 'path_regex = "/a/(.*)"\nset_headers = { X-A = "{1}", X-B = "{2}" }\n',
        "routes[1] (\"rest\").set_headers.X-B: names a group that the route's path doesn't have",
    ),
    "a route with neither pools nor an answer": (
        LAST_ROUTE,
        'class = "read"\n',
        'routes[1] ("rest"): the key pools is missing; write pools = ..., or respond',
    ),
    "a listener that isn't there": (
        LAST_ROUTE,
        LAST_ROUTE + 'listeners = ["wbe"]\n',
        'routes[1] ("rest").listeners[0]: no listener is called "wbe"; did you mean "web"?',
    ),
    "a host that is no regular expression": (
        LAST_ROUTE,
        LAST_ROUTE + 'hosts = ["~(?=a)"]\n',
        'routes[1] ("rest").hosts[0]: no regular expression of RE2',
    ),
    "an affinity to nothing": (
        "[pools.spare]",
        '[pools.spare]\naffinity = "cookie"',
        "pools.spare.affinity: 'cookie' is nothing that requests have in common; write",
    ),
    "a client from nowhere": (
        'name = "rest"',
        'name = "rest"\nclient = "cookie"',
        "routes[1] (\"rest\").client: 'cookie' is no source of a client",
    ),
    "a hook with no file": ("[limits]", "[hooks.a]\n[limits]", "hooks.a: the key file is missing"),
    "a hook with an empty file": ("[limits]", '[hooks.a]\nfile = ""\n[limits]', "hooks.a.file: empty"),
    "a hook with too little fuel": (
        "[limits]",
        '[hooks.a]\nfile = "a"\nfuel = 1\n[limits]',
        "hooks.a.fuel: expected `int` >= 1000",
    ),
    "a hook with too much memory": (
        "[limits]",
        '[hooks.a]\nfile = "a"\nmemory = "1GiB"\n[limits]',
        "hooks.a.memory: '1GiB' is out of range",
    ),
    "a hook with a long setting": (
        "[limits]",
        f'[hooks.a]\nfile = "a"\nconfig = {{ x = "{"x" * 5000}" }}\n[limits]',
        "hooks.a.config: more than 4096 bytes",
    ),
    "a hook with a counter twice": (
        "[limits]",
        '[hooks.a]\nfile = "a"\ncounters = ["n", "n"]\n[limits]',
        "hooks.a.counters[1]: 'n' is no name, or there twice",
    ),
    "an unknown hook": (
        'name = "rest"',
        'name = "rest"\nhooks = ["a"]',
        'routes[1] ("rest").hooks[0]: no hook is called "a"',
    ),
    "a hook twice": (
        'name = "rest"',
        'name = "rest"\nhooks = ["a", "a"]',
        'routes[1] ("rest").hooks[1]: no hook is called "a"',
    ),
    "an unknown policy": (
        'name = "rest"',
        'name = "rest"\non_hook_fault = "retry"',
        "routes[1].on_hook_fault: invalid enum value 'retry'",
    ),
    "classes for hooks with no hooks": (
        'name = "rest"',
        'name = "rest"\nhook_classes = ["buy"]',
        'routes[1] ("rest").hook_classes: the route has no hooks to choose',
    ),
    "a laxer class for hooks": (
        'name = "buy"',
        'name = "buy"\nhooks = ["a"]\nhook_classes = ["read"]',
        'routes[0] ("buy").hook_classes[0]: class "read" allows more repeats than the route\'s own, "buy"',
    ),
    "an unknown class for hooks": (
        'name = "rest"',
        'name = "rest"\nhooks = ["a"]\nhook_classes = ["bay"]',
        'routes[1] ("rest").hook_classes[0]: no class is called "bay"; did you mean "buy"?',
    ),
    "a weight below zero": (
        "[limits]",
        "[tenants.a]\nallowance_per_s = 1\nweight = -1\n[limits]",
        "tenants.a.weight: expected `float` >= 0",
    ),
    "a door with no time": (
        "[pools.spare]",
        '[pools.spare]\nfair = { max_wait = "soon" }',
        "pools.spare.fair.max_wait: 'soon' is no time",
    ),
    "a door with room for nobody": (
        "[pools.spare]",
        "[pools.spare]\nfair = { max_waiting = 0 }",
        "pools.spare.fair.max_waiting: expected `int` >= 1",
    ),
    "a missing key": ('effect = "safe"\n', "", "classes.read: the key effect is missing"),
    "an unknown effect": ('"safe"', '"sure"', "classes.read.effect: invalid enum value 'sure'"),
    "no time": (
        'aim = "100ms"\ndeadline = "1s"\n[classes.buy]',
        'aim = "100"\ndeadline = "1s"\n[classes.buy]',
        "classes.read.aim: '100' is no time; write a number and",
    ),
    "an aim past the deadline": (
        'aim = "100ms"\ndeadline = "1s"\n[classes.buy]',
        'aim = "2s"\ndeadline = "1s"\n[classes.buy]',
        "classes.read.aim: the aim is longer than the deadline",
    ),
    "no size": ('"64KiB"', '"64K"', "limits.max_body: '64K' is no size"),
    "a size out of range": ('"64KiB"', '"9GiB"', "limits.max_body: '9GiB' is out of range"),
    "a keyed class with no key": (
        'key_header = "Idempotency-Key"\n',
        "",
        "classes.mark: a keyed class with no key header",
    ),
    "a keyed class with no memory": ('memory = "8s"\n', "", "classes.mark: a keyed class that doesn't say"),
    "an unsafe class with a repeat": (
        'effect = "unsafe"',
        'effect = "unsafe"\nmemory = "8s"',
        "classes.buy.memory: an unsafe class is never repeated",
    ),
    "a safe class with a group": (
        'effect = "safe"',
        'effect = "safe"\ngroup = "cell"',
        "classes.read.group: a safe class may always be repeated",
    ),
    "an address by name": (
        '"127.0.0.1:9001"',
        '"localhost:9001"',
        "pools.main.servers[0].address: 'localhost:9001' is no address",
    ),
    "a port out of range": ('"127.0.0.1:8080"', '"127.0.0.1:80800"', "listeners.web.address:"),
    "an id twice": ('id = "b"', 'id = "a"', 'pools.main.servers[1].id: pools.main.servers[0] is called "a"'),
    "an address twice": (
        ":9002",
        ":9001",
        "pools.main.servers[1].address: pools.main.servers[0] has this address",
    ),
    "an absurd weight": ('id = "b",', 'id = "b", weight = -1,', "pools.main.servers[1].weight: expected"),
    "a route's name twice": (
        'name = "rest"',
        'name = "buy"',
        'routes[1].name: routes[0] is called "buy" as well',
    ),
    "an unknown pool": (
        'pools = ["main", "spare"]',
        'pools = ["mian"]',
        'routes[0] ("buy").pools[0]: no pool is called "mian"; did you mean "main"?',
    ),
    "no pool at all": (
        'pools = ["main", "spare"]',
        "pools = []",
        'routes[0] ("buy"): the key pools is missing',
    ),
    "a pool twice": (
        '["main", "spare"]',
        '["main", "main"]',
        'routes[0] ("buy").pools[1]: "main" is named twice',
    ),
    "an unknown class": (
        'class = "read"',
        'class = "raed"',
        'routes[1] ("rest").class: no class is called "raed"',
    ),
    "two kinds of path": ('path = "/buy"', 'path = "/buy"\npath_exact = "/b"', "exclude each other"),
    "a path with a query": ('path = "/buy"', 'path = "/buy?x"', "a path has no query"),
    "a relative path": ('path = "/buy"', 'path = "buy"', "routes[0] (\"buy\").path: 'buy' is no path"),
    "a regular expression that looks around": (
        'path = "/buy"',
        'path_regex = "/(?=x)"',
        'routes[0] ("buy").path_regex: no regular expression of RE2',
    ),
    "a group that is not there": (
        'path = "/buy"',
        "path_regex = '/(a)'\nrewrite = '/\\2'",
        'routes[0] ("buy").rewrite: names a group',
    ),
    "a host with a port": (
        'path = "/buy"',
        'hosts = ["a:80"]',
        "routes[0] (\"buy\").hosts[0]: 'a:80' is no host",
    ),
    "a method in small letters": ('path = "/buy"', 'methods = ["post"]', "'post' is no method"),
    "a header that is the daemon's": (
        'path = "/buy"',
        'set_headers = { Content-Length = "1" }',
        'routes[0] ("buy").set_headers.Content-Length: Content-Length is not',
    ),
    "a header with a line break": ('path = "/buy"', 'set_headers = { X = "a\\r\\nb" }', "not plain text"),
    "an unreachable route": (
        'path = "/buy"\nclass = "buy"',
        'class = "buy"\npriority = 1',
        'routes[1] ("rest"): never reached: route "buy" takes all that it would',
    ),
    "a deadline past the class's": ('path = "/buy"', 'deadline = "1m"', 'longer than that of class "buy"'),
    "no source of a tenant": ('path = "/buy"', 'tenant = "cookie"', "'cookie' is no source of a tenant"),
    "a class that a pool changes but is not there": (
        "[pools.spare]",
        "[pools.main.classes.x]\n[pools.spare]",
        'pools.main.classes.x: no class is called "x"',
    ),
    "no name": ("[pools.spare]", '[pools." "]', "pools.\" \": ' ' is no name"),
}


def test_the_example_is_good() -> None:
    setup = load(str(EXAMPLE))
    names = {"buy", "topup", "bookmark", "front", "help", "covers", "pages"}
    assert {route.name for route in setup.routes.routes} == names
    store = setup.pools["store"]
    assert [server.weight for server in store.servers] == [1.0, 2.0, 1.0]
    assert store.settings.select_by_weight
    assert store.servers[0].cell == store.servers[1].cell != store.servers[2].cell
    kinds = {kind.name: kind for kind in store.settings.classes}
    assert kinds["coin-topup"].dedup_scope == "cell"
    assert kinds["coin-topup"].dedup_window_us == 8_000_000
    buy = setup.routes.routes[0]
    assert (buy.tenant_from, buy.tenant_header) == (TenantSource.HEADER, b"x-publisher")


def test_what_a_good_file_becomes() -> None:
    setup = parse(GOOD)
    assert setup.routes.routes[1].methods == {
        "GET",
        "HEAD",
        "OPTIONS",
    }  # a safe class repeats no POST unasked
    assert setup.routes.routes[0].methods == frozenset()
    assert setup.routes.routes[0].path_kind is PathKind.PREFIX
    assert setup.key_headers == (b"", b"", b"Idempotency-Key")
    assert setup.pools["spare"].servers == ()
    with_get = parse(GOOD.replace('path = "/buy"', 'methods = ["GET"]'))
    assert with_get.routes.routes[0].methods == {"GET", "HEAD"}
    own = parse(GOOD.replace("[pools.spare]", '[pools.main.classes.read]\naim = "50ms"\n[pools.spare]'))
    assert [pool.settings.classes[0].latency_objective_us for pool in own.pools.values()] == [50_000, 100_000]


def test_paths_and_hosts_of_routes_are_put_in_their_one_form() -> None:
    route = parse(
        GOOD.replace('path = "/buy"', 'path = "/b%75y//x/../"\nhosts = ["SHOP.example.", "*.A.b"]')
    ).routes.routes[0]
    assert route.path == "/buy"
    assert route.hosts == ("shop.example", "*.a.b")


@pytest.mark.parametrize("what", BROKEN)
def test_what_is_wrong_is_told_with_its_place(what: str) -> None:
    old, new, told = BROKEN[what]
    assert old in GOOD
    with pytest.raises(ConfigError) as caught:
        parse(GOOD.replace(old, new, 1), "site.toml")
    text = str(caught.value)
    assert told in text
    assert text.startswith("site.toml: ")


def test_all_problems_are_told_at_once() -> None:
    text = GOOD
    used = [
        "an unknown table",
        "an unknown effect",
        "an absurd weight",
        "an unknown pool",
        "an unknown class",
        "a keyed class with no memory",
        "an address by name",
        "an unsafe class with a repeat",
    ]
    for what in used:
        text = text.replace(*BROKEN[what][:2], 1)
    with pytest.raises(ConfigError) as caught:
        parse(text)
    for what in used:
        assert BROKEN[what][2] in str(caught.value), what
    assert len(caught.value.problems) >= len(used)


def test_files_that_can_not_be_read(tmp_path: Path) -> None:
    (tmp_path / "latin").write_bytes(b'a = "\xe9"')
    for name in ("missing", "latin", "."):
        with pytest.raises(ConfigError):
            load(str(tmp_path / name))


@given(st.data())
def test_a_file_cut_or_scrambled_anywhere_gives_a_setup_or_problems(data: st.DataObject) -> None:
    lines = GOOD.splitlines()
    for _ in range(data.draw(st.integers(1, 3))):
        at = data.draw(st.integers(0, len(lines) - 1))
        action = data.draw(st.sampled_from(["drop", "double", "cut", "swap"]))
        if action == "drop":
            del lines[at]
        elif action == "double":
            lines.insert(at, lines[at])
        elif action == "cut":
            lines[at] = lines[at][: len(lines[at]) // 2]
        else:
            lines[at], lines[0] = lines[0], lines[at]
    try:
        setup = parse("\n".join(lines))
    except ConfigError as error:
        assert error.problems
    else:
        assert set(setup.pools) >= {pool for route in setup.routes.routes for pool in route.pools}


SOCKETS = """
[websockets.live]
origins = ["https://Shop.example:8443"]
lifetime = "1h"
"""


def socket_site(websockets: str = SOCKETS, pool: str = "max_sockets = 10", route: str = "") -> str:
    return f"""
[listeners.web]
address = "127.0.0.1:8080"
[classes.read]
effect = "safe"
aim = "1s"
deadline = "2s"
[classes.mark]
effect = "keyed"
key_header = "Idempotency-Key"
memory = "8s"
aim = "1s"
deadline = "2s"
{websockets}
[pools.main]
servers = []
{pool}
[[routes]]
name = "live"
pools = ["main"]
websocket = "live"
{route or 'class = "read"'}
"""


def test_a_route_that_opens_sockets() -> None:
    setup = parse(socket_site())
    assert setup.routes.routes[0].websocket == "live"
    live = setup.websockets["live"]
    assert live.origins == {"https://shop.example:8443"}
    assert (live.limits.lifetime_us, live.limits.close_timeout_us) == (3_600_000_000, 5_000_000)
    assert (setup.pools["main"].max_sockets, setup.pools["main"].max_sockets_per_server) == (10, 10)


@pytest.mark.parametrize(
    ("text", "place"),
    [
        (socket_site(websockets=""), 'routes[0] ("live").websocket'),
        (socket_site(pool=""), 'routes[0] ("live").pools[0]'),
        (socket_site(route='class = "mark"'), 'routes[0] ("live").class'),
        (socket_site(route='class = "read"\nmethods = ["POST"]'), 'routes[0] ("live").methods'),
        (socket_site(SOCKETS.replace("https://Shop", "Shop")), "websockets.live.origins[0]"),
        (socket_site(SOCKETS.replace("1h", "soon")), "websockets.live.lifetime"),
        (socket_site(SOCKETS + 'ping_interval = "0s"'), "websockets.live.ping_interval"),
        (socket_site(SOCKETS + "pings = 1"), "websockets.live.pings"),
    ],
)
def test_what_is_wrong_with_sockets_is_told_with_its_place(text: str, place: str) -> None:
    with pytest.raises(ConfigError) as caught:
        parse(text)
    assert [problem.place for problem in caught.value.problems] == [place]
