"""What becomes of directives: the hard cases, one by one, and that none is ever left out."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from plovertrail.config.operator import parse
from plovertrail.config.setup import Setup
from plovertrail.nginx.importer import Imported, Importer, NothingToServeError
from plovertrail.nginx.report import Treatment
from plovertrail.nginx.tree import NginxConfigError, read_tree
from tests.nginx.generated import configurations

UP = "upstream shop { server 127.0.0.1:9001; }\n"
SERVER = "server { listen 127.0.0.1:8001; %s }\n"


def imported(folder: Path, text: str, **files: str) -> tuple[Imported, Setup]:
    for name, inner in files.items():
        (folder / f"{name}.conf").write_text(inner)
    path = folder / "nginx.conf"
    path.write_text(f"http {{ {text} }}")
    found = Importer(read_tree(str(path))).run()
    return found, parse(found.text)


def notes(found: Imported, name: str, treatment: Treatment) -> list[str]:
    """What the report says of directives of this name that are treated so."""
    return [
        "; ".join(entry.notes)
        for entry in found.report.entries.values()
        if entry.directive.name == name and entry.treatment is treatment
    ]


X, D, M, N = Treatment.NOT_MAPPED, Treatment.DIFFERS, Treatment.MAPPED, Treatment.NO_EFFECT
# a server's inside, the directive, what becomes of it, and a part of what is said
CASES: dict[str, tuple[str, str, Treatment, str]] = {
    "look-ahead": ("location ~ ^/(?!a) { proxy_pass http://shop; }", "location", X, "RE2 can't run it"),
    "back-reference": (r"location ~ ^/(a)\1 { proxy_pass http://shop; }", "location", X, "RE2 can't run it"),
    "two crossed expressions": (
        "location ~ a { location ~ b { proxy_pass http://shop; } }",
        "location",
        X,
        "can't be one route",
    ),
    "an unknown word": (
        "location / { frobnicate; proxy_pass http://shop; }",
        "frobnicate",
        X,
        "doesn't know it",
    ),
    "lua": ("location / { content_by_lua_block { ngx.say(1) } }", "content_by_lua_block", X, "501"),
    "if": ("location / { if ($x) { return 403; } proxy_pass http://shop; }", "if", X, "501"),
    "try_files": ("location / { try_files $uri =404; }", "try_files", X, "501"),
    "files": ("location / { root /srv; }", "location", X, "it serves files"),
    "deny": ("location / { deny all; proxy_pass http://shop; }", "deny", X, "501"),
    "a variable server": ("location / { proxy_pass http://$host; }", "proxy_pass", X, "by variables"),
    "a name to look up": (
        "location / { proxy_pass http://api.example; }",
        "proxy_pass",
        X,
        "no IPv4 address",
    ),
    "https": ("location / { proxy_pass https://shop; }", "proxy_pass", X, "no plain http URL"),
    "a missing include": (
        "include nothing.conf; location / { proxy_pass http://shop; }",
        "include",
        X,
        "the file is missing",
    ),
    "a named location": (
        "location / { proxy_pass http://shop; } location @x { proxy_pass http://shop; }",
        "location",
        X,
        "a named location",
    ),
    "a location twice": (
        "location /a { return 200; } location /a { return 404; }",
        "location",
        X,
        "is the same location",
    ),
    "a nested one outside": (
        "location /a { location /b { return 200; } return 404; }",
        "location",
        X,
        "it is not within",
    ),
    "a rewrite that starts over": (
        "location / { rewrite ^/a /b last; proxy_pass http://shop; }",
        "rewrite",
        X,
        "looked up again",
    ),
    "no status of an answer": ("location / { return 4444; }", "return", X, "4444 is no status"),
    "no name of a header": (
        'location / { proxy_set_header "X Bad:" 1; proxy_pass http://shop; }',
        "proxy_set_header",
        X,
        "no name of a header",
    ),
    "a header that no route may change": (
        "location / { proxy_set_header Trailer x; proxy_pass http://shop; }",
        "proxy_set_header",
        N,
        "kept right by itself",
    ),
    "an answer of nothing": ("location / { return 444; }", "return", D, "404 is answered"),
    "a cache": (
        "proxy_cache z; location / { proxy_pass http://shop; }",
        "proxy_cache",
        X,
        "nothing is cached",
    ),
    "a header of answers": (
        "add_header X-A b; location / { proxy_pass http://shop; }",
        "add_header",
        X,
        "hook",
    ),
    "no limit's zone": (
        "location / { limit_req zone=none; proxy_pass http://shop; }",
        "limit_req",
        X,
        "no limit holds",
    ),
    "a header's unknown variable": (
        "location / { proxy_set_header X-A $geoip_city; proxy_pass http://shop; }",
        "proxy_set_header",
        X,
        "the client's own is removed",
    ),
    "retries of what isn't safe": (
        "proxy_next_upstream error non_idempotent; location / { proxy_pass http://shop; }",
        "proxy_next_upstream",
        D,
        "never what is unsafe",
    ),
    "a path and where it leads": ("location / { proxy_pass http://shop; }", "proxy_pass", D, "normalised"),
    "logs": ("access_log off; location / { proxy_pass http://shop; }", "access_log", N, "logs"),
    "headers that nobody inherits": (
        "proxy_set_header X-A b; location / { proxy_set_header X-B c; proxy_pass http://shop; }",
        "proxy_set_header",
        N,
        "nothing that is imported inherits it",
    ),
    "a constant": (
        "set $up shop; location / { proxy_pass http://$up; }",
        "set",
        D,
        "where it is used",
    ),
    "a variable that isn't one": (
        "set $up $host; location / { proxy_pass http://$up; }",
        "proxy_pass",
        X,
        "by variables",
    ),
    "a variable that is set twice": (
        "set $up a; set $up shop; location / { proxy_pass http://$up; }",
        "proxy_pass",
        X,
        "by variables",
    ),
    "a header twice": (
        'location / { proxy_set_header X-A a; proxy_set_header X-A ""; proxy_pass http://shop; }',
        "proxy_set_header",
        X,
        "the last one counts",
    ),
    "a nested location that a longer prefix shuts off": (
        "location /a { location ~ x { location /a/b.png { return 200; } return 201; } return 202; } "
        "location /a/b { return 404; } location / { return 404; }",
        "location",
        N,
        "never reached",
    ),
    "a location under an expression, outside the prefix around that": (
        "location /b { location ~ c { location /c { return 200; } return 201; } return 202; } "
        "location / { return 404; }",
        "location",
        N,
        "never reached",
    ),
    "an IPv6 address": ("listen [::1]:8001; location / { proxy_pass http://shop; }", "listen", X, "IPv4"),
}


@pytest.mark.parametrize("name", CASES)
def test_what_becomes_of_a_directive_is_told(name: str, tmp_path: Path) -> None:
    text, directive, treatment, note = CASES[name]
    found, _ = imported(tmp_path, UP + SERVER % text)
    told = notes(found, directive, treatment)
    assert any(note in each for each in told), found.report.text()


@pytest.mark.parametrize("name", [name for name, case in CASES.items() if case[2] is X and "501" in case[3]])
def test_what_may_guard_a_location_shuts_it(name: str, tmp_path: Path) -> None:
    _, setup = imported(tmp_path, UP + SERVER % CASES[name][0])
    answers = {
        route.fixed_response.status for route in setup.routes.routes if route.fixed_response is not None
    }
    assert answers <= {501, 404}
    assert 501 in answers
    assert all(route.fixed_response is not None for route in setup.routes.routes)


def test_nothing_that_nginx_says_of_retries_makes_a_post_repeatable(tmp_path: Path) -> None:
    _, setup = imported(
        tmp_path,
        UP
        + SERVER
        % ("location / { proxy_next_upstream error http_500 non_idempotent; proxy_pass http://shop; }"),
    )
    kinds = {kind.name: kind.effect for kind in setup.classes}
    for route in setup.routes.routes:
        if kinds[route.class_name] == "idempotent":
            assert route.methods == {"GET", "HEAD"}
        else:
            assert kinds[route.class_name] == "at_most_once"
            assert not route.methods


def test_the_servers_of_an_upstream(tmp_path: Path) -> None:
    found, setup = imported(
        tmp_path,
        """
        upstream shop { server 127.0.0.1:1 weight=3; server 127.0.0.1:2 down; server 127.0.0.1:3 backup;
            server 127.0.0.1:1; server x.example; server unix:/x; server 127.0.0.1:4 weight=0; ip_hash;
            server 127.0.0.1:5 max_conns=7; }
        upstream shop { server 127.0.0.1:9; }
        """
        + SERVER % "location / { proxy_pass http://shop; }",
    )
    first, backup = setup.pools["shop"], setup.pools["shop-backup"]
    assert [(server.address[1], server.weight, server.drain) for server in first.servers] == [
        (1, 4.0, False),
        (2, 1.0, True),
        (5, 1.0, False),
    ]
    assert [server.address[1] for server in backup.servers] == [3]
    assert setup.routes.routes[0].pools == ("shop", "shop-backup")
    assert first.bounds.connections == 7
    lost = notes(found, "server", X)
    assert len(lost) == 4
    assert sum("left out" in note for note in lost) == 3
    assert "nginx refuses it" in notes(found, "upstream", X)[0]
    assert notes(found, "ip_hash", D)
    assert "added up" in " ".join(notes(found, "server", D))


@pytest.mark.parametrize(
    ("servers", "pools"),
    [
        ("server 127.0.0.1:1 backup;", ("shop-backup",)),
        ("server 127.0.0.1:1 down;", ("shop",)),
        ("", ("shop",)),
    ],
)
def test_upstreams_with_no_server_of_the_usual_kind(
    servers: str, pools: tuple[str, ...], tmp_path: Path
) -> None:
    _, setup = imported(
        tmp_path, f"upstream shop {{ {servers} }}" + SERVER % "location / { proxy_pass http://shop; }"
    )
    assert setup.routes.routes[0].pools == pools


def test_limits_become_limiters(tmp_path: Path) -> None:
    _, setup = imported(
        tmp_path,
        """
        limit_req_zone $binary_remote_addr zone=one:1m rate=30r/m; limit_conn_zone $server_name zone=srv:1m;
        limit_req_zone $http_x_user zone=user:1m rate=5r/s;
        """
        + UP
        + SERVER
        % """limit_conn srv 10; location / { limit_req zone=one burst=5 nodelay;
            limit_req zone=user; proxy_pass http://shop; }""",
    )
    route = setup.routes.routes[0]
    names = setup.limited[route.name]
    made = [setup.limiters[name] for name in names]
    assert [
        (each.keyed_by.value, each.allowance.rate_per_s, each.allowance.burst, each.allowance.concurrent)
        for each in made
    ] == [("client", 0.5, 6, 0), ("tenant", 5.0, 1, 0), ("all", 0.0, 1, 10)]
    assert route.tenant_header == b"x-user"
    assert made[1].unlisted_have_keys


def test_websockets_need_the_upgrade_header(tmp_path: Path) -> None:
    _, setup = imported(
        tmp_path,
        UP
        + "map $http_upgrade $c { default upgrade; '' close; }"
        + SERVER
        % """
        location /live { proxy_set_header Upgrade $http_upgrade; proxy_set_header Connection $c;
            proxy_pass http://shop; } location / { proxy_pass http://shop; }""",
    )
    opened = {route.websocket for route in setup.routes.routes if route.path != "/"}
    assert "nginx" in opened
    assert setup.pools["shop"].max_sockets > 0
    assert all(not route.websocket for route in setup.routes.routes if "else" in route.name)


def test_includes_are_read_in_and_cycles_end(tmp_path: Path) -> None:
    found, setup = imported(
        tmp_path,
        UP + SERVER % "include inner.conf; include *.none;",
        inner="location / { proxy_pass http://shop; }\ninclude inner.conf;",
    )
    assert len(found.report.entries) == 7 + 3
    assert any("includes a file that it is in" in note for note in notes(found, "include", X))
    # what nginx would refuse shuts the server: the file might have held a guard
    assert {
        route.fixed_response.status for route in setup.routes.routes if route.fixed_response is not None
    } == {501}


def test_a_file_that_two_servers_include_is_told_of_once(tmp_path: Path) -> None:
    found, setup = imported(
        tmp_path,
        UP
        + (SERVER % "server_name a.example; include inner.conf;")
        + SERVER % "server_name b.example; include inner.conf;",
        inner="location / { proxy_pass http://shop; }",
    )
    assert len([e for e in found.report.entries.values() if e.directive.file == "inner.conf"]) == 2
    assert {route.hosts for route in setup.routes.routes} == {("a.example", ""), ("b.example",)}


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ("http { server { listen 1; }", "unexpected end of file"),
        ("http { } }", 'unexpected "}"'),
        ("http " + "{ a " * 2000, "nginx.conf"),
        ("http { server { listen 443 ssl; location / { return 200; } } }", "no server block listens"),
        ("", "no server block listens"),
        ("a { " * 60 + "}" * 60, "nested more than"),
    ],
)
def test_what_can_t_be_read_is_told(text: str, told: str, tmp_path: Path) -> None:
    path = tmp_path / "nginx.conf"
    path.write_text(text)
    with pytest.raises((NginxConfigError, NothingToServeError)) as caught:
        Importer(read_tree(str(path))).run()
    assert told in str(caught.value)


def test_what_is_not_utf_8_shuts_its_location(tmp_path: Path) -> None:
    path = tmp_path / "nginx.conf"
    server = SERVER % "location / { proxy_set_header X-A caf#; proxy_pass http://shop; }"
    path.write_bytes(f"http {{ {UP} {server} }}".encode().replace(b"#", b"\xe9"))
    found = Importer(read_tree(str(path))).run()
    assert notes(found, "proxy_set_header", X)
    assert {
        route.fixed_response.status for route in parse(found.text).routes.routes if route.fixed_response
    } == {501}


@settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture, HealthCheck.too_slow],
)
@given(
    text=configurations,
    junk=st.lists(
        st.sampled_from(
            [
                "x;",
                "server 1;",
                "upstream { }",
                "location;",
                "map a;",
                "listen;",
                "server_name;",
                "http { y; }",
                "return;",
                "proxy_pass;",
                "rewrite a;",
                "limit_req;",
                "events { z 1; }",
                "types { a b; }",
                "include;",
                '"" "";',
            ]
        ),
        max_size=4,
    ),
)
def test_every_directive_is_told_of_exactly_once(text: str, junk: list[str], tmp_path: Path) -> None:
    path = tmp_path / "made.conf"
    path.write_text(text.replace("http {\n", f"http {{\n{' '.join(junk[:2])}\n") + " ".join(junk[2:]))
    try:
        tree = read_tree(str(path))
        found = Importer(tree).run()
    except (NginxConfigError, NothingToServeError):
        return
    assert Counter(entry.directive.number for entry in found.report.entries.values()) == Counter(
        range(len(tree.written))
    )
    assert sum(found.report.counts().values()) == len(tree.written)
    lines = found.report.text().splitlines()
    assert len(lines) == 1 + len(tree.written)
    parse(found.text)
