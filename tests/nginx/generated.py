"""Configurations made at random: servers, nested locations and what stands in them, good and bad."""

from __future__ import annotations

from hypothesis import strategies as st

UPSTREAMS = "upstream a { server 127.0.0.1:9001; }\nupstream b { server 127.0.0.1:9002; }\n"
TEXTS = ["/", "/a", "/a/", "/a/b", "/a/b/", "/ab", "/a/b.png", "/b", "/b/", "/c d", "/a/b/c/"]
REGEXES = [r"\.png$", "^/a", "^/a/b", "b", "^/(a|b)/", r"^/a/(.*)$", "/$", "^/(?!a)", "c", r"B"]
NAMES = ["a.example", "*.example", "a.*", ".b.example", "~^a", "~exam", "b.example", "_", "", "x..y"]
HEADERS = [
    "Host $host",
    "Host $http_host",
    "X-Note fixed",
    'X-Note ""',
    "X-Real-IP $remote_addr",
    "X-Note $nonsense",
    "X-Forwarded-For $proxy_add_x_forwarded_for",
    "Upgrade $http_upgrade",
    'Connection ""',
    "X-Request-Id $request_id",
]
OTHERS = [
    "gzip on;",
    "add_header X-A b;",
    "proxy_read_timeout 5s;",
    "client_max_body_size 2m;",
    "access_log off;",
    "frobnicate;",
    "deny all;",
    "proxy_next_upstream error non_idempotent;",
    "if ($a = b) { return 403; }",
    "error_page 500 /50x.html;",
    "limit_req zone=z burst=5;",
    "limit_conn none 5;",
    "set $x y;",
    "include nothing.conf;",
    "root /srv;",
    "proxy_buffering off;",
    "proxy_connect_timeout abc;",
    "auth_basic off;",
    "expires 1d;",
    "proxy_next_upstream off;",
]
PASSES = [
    "proxy_pass http://a;",
    "proxy_pass http://b;",
    "proxy_pass http://a/;",
    "proxy_pass http://b/x/;",
    "proxy_pass http://a/y;",
    "proxy_pass http://127.0.0.1:9003;",
    "proxy_pass https://a;",
    "proxy_pass http://$host;",
    "proxy_pass http://nowhere.example;",
    "return 404;",
    'return 200 "fine";',
    "return 301 /moved;",
    "return 302 https://$host$request_uri;",
    "return 444;",
    "proxy_pass http://a/$1;",
    "",
]
REWRITES = [
    "rewrite ^/a/(.*)$ /z/$1 break;",
    "rewrite ^/b /moved permanent;",
    "rewrite c /d last;",
    "rewrite ^/a/b$ http://x.example/? redirect;",
    "rewrite ^/(?=a) /q;",
]

headers = st.lists(st.sampled_from(HEADERS), max_size=2).map(
    lambda found: "".join(f"proxy_set_header {each}; " for each in found)
)
others = st.lists(st.sampled_from(OTHERS), max_size=1).map(" ".join)


def mostly(wanted: st.SearchStrategy[str], one_in: int = 6) -> st.SearchStrategy[str]:
    """Nothing but now and then: what shuts a server or location would shut nearly all of them."""
    return st.integers(0, one_in).flatmap(lambda number: wanted if number == 0 else st.just(""))


def unlike(blocks: list[str]) -> list[str]:
    """Each location once: nginx refuses a second one."""
    return list({block.split("{")[0].replace("^~ ", ""): block for block in reversed(blocks)}.values())[::-1]


def location(depth: int) -> st.SearchStrategy[str]:
    inner = st.just("")
    if depth:
        inner = mostly(st.lists(location(depth - 1), max_size=3).map(unlike).map(" ".join), 2)
    head = st.one_of(
        st.tuples(st.sampled_from(["", "", "", "= ", "^~ "]), st.sampled_from(TEXTS)),
        st.tuples(st.sampled_from(["~ ", "~* "]), st.sampled_from(REGEXES)),
    ).map('{0[0]}"{0[1]}"'.format)
    parts = (head, headers, mostly(others), mostly(st.sampled_from(REWRITES)), st.sampled_from(PASSES), inner)
    return st.tuples(*parts).map(lambda made: f"location {made[0]} {{ {' '.join(made[1:])} }}\n")


LISTENS = [
    "listen 127.0.0.1:8001;",
    "listen 127.0.0.1:8002;",
    "listen 127.0.0.1:8001 default_server;",
    "listen 127.0.0.1:8001; listen 127.0.0.1:8002;",
    "listen 127.0.0.1:8443 ssl;",
    "",
]
names = st.lists(st.sampled_from(NAMES), max_size=2).map(
    lambda found: "".join(f'server_name "{each}"; ' for each in found)
)
server = st.tuples(
    st.sampled_from(LISTENS),
    names,
    headers,
    mostly(others),
    mostly(st.sampled_from([*REWRITES, "return 403;"]), 9),
    st.lists(location(2), max_size=6).map(unlike).map(" ".join),
).map(lambda made: "server { " + " ".join(made) + " }\n")
HEAD = "events {}\nhttp {\nlimit_req_zone $remote_addr zone=z:1m rate=100000r/s;\n" + UPSTREAMS

configurations = st.tuples(
    mostly(others),
    headers,
    st.lists(server, min_size=1, max_size=4).map("".join),
).map(lambda made: HEAD + " ".join(made) + "}\n")
