"""The reference against cases by hand, each with the words of the documentation that decide it."""

from __future__ import annotations

from pathlib import Path

import pytest

from fakes.nginx_reference import Asked, Outcome, Reference, normalised

UPS = "upstream u { server 127.0.0.1:1; } upstream v { server 127.0.0.1:2; }"


def follow(
    folder: Path,
    text: str,
    path: str = "/",
    host: str = "h",
    query: str = "",
    method: str = "GET",
    port: int = 80,
    **headers: str,
) -> Outcome:
    file = folder / "nginx.conf"
    file.write_text(f"http {{ {UPS} {text} }}")
    given = tuple((name.replace("_", "-"), value) for name, value in headers.items())
    return Reference(str(file)).follow(Asked(method, host, path, query, port, headers=given))


def to(name: str) -> str:
    return f"proxy_pass http://{name};"


# the example of the documentation of `location`: configurations A to E
LETTERS = """server { location = / { return 200 A; } location / { return 200 B; }
    location /documents/ { return 200 C; }
    location ^~ /images/ { return 200 D; } location ~* \\.(gif|jpg|jpeg)$ { return 200 E; } }"""


@pytest.mark.parametrize(
    ("path", "letter"),
    [
        # "The “/” request will match configuration A, the “/index.html” request will match configuration B,
        # the “/documents/document.html” request will match configuration C, the “/images/1.gif” request
        # will match configuration D, and the “/documents/1.jpg” request will match configuration E."
        ("/", "A"),
        ("/index.html", "B"),
        ("/documents/document.html", "C"),
        ("/images/1.gif", "D"),
        ("/documents/1.jpg", "E"),
        # "~* modifier (for case-insensitive matching)"
        ("/a.JPG", "E"),
        # "The matching is performed against a normalized URI, after decoding the text encoded in the “%XX”
        # form"
        ("/documents/1%2Ejpg", "E"),
        # "resolving references to relative path components “.” and “..”"
        ("/images/../a", "B"),
        ("/x/../images/./1.gif", "D"),
        # "and possible compression of two or more adjacent slashes into a single slash"
        ("//images//1.gif", "D"),
    ],
)
def test_the_example_of_locations(path: str, letter: str, tmp_path: Path) -> None:
    assert follow(tmp_path, LETTERS, path).body == letter


NAMES = """server { server_name www.example.org; return 200 exact; }
server { server_name *.example.org; return 200 leading; }
server { server_name mail.*; return 200 trailing; }
server { server_name ~^www\\d+; return 200 regex; }
server { server_name ~^www1; return 200 later; }
server { listen 80 default_server; return 200 default; }
server { server_name .dot.example; return 200 dot; }"""


@pytest.mark.parametrize(
    ("host", "body"),
    [
        # "1. the exact name 2. the longest wildcard name starting with an asterisk 3. the longest wildcard
        # name ending with an asterisk 4. the first matching regular expression (in order of appearance)"
        ("www.example.org", "exact"),
        ("a.example.org", "leading"),
        ("mail.example.org", "leading"),
        ("mail.example.com", "trailing"),
        ("www1.example.com", "regex"),
        # "If its value does not match any server name ... route the request to the default server for this
        # port"
        ("nobody", "default"),
        ("example.org", "default"),
        # "A special wildcard name in the form “.example.org” can be used to match both the exact name
        # “example.org” and the wildcard name “*.example.org”"
        ("dot.example", "dot"),
        ("x.dot.example", "dot"),
        # "the port is not a part of the name"
        ("WWW.example.org:8080", "exact"),
    ],
)
def test_the_order_of_server_names(host: str, body: str, tmp_path: Path) -> None:
    assert follow(tmp_path, NAMES, host=host).body == body


def test_without_a_default_server_the_first_one_is_it(tmp_path: Path) -> None:
    # "If no server block has the default_server parameter, the first one for the address:port pair is the
    # default"
    text = "server { server_name a; return 200 first; } server { server_name b; return 200 second; }"
    assert follow(tmp_path, text, host="c").body == "first"


@pytest.mark.parametrize(
    ("location", "path", "query", "uri"),
    [
        # "If the proxy_pass directive is specified with a URI, then ... the part of a normalized request
        # URI matching the location is replaced by a URI specified in the directive"
        ("location /name/ { proxy_pass http://u/remote/; }", "/name/x", "", "/remote/x"),
        ("location /some/path/ { proxy_pass http://u/; }", "/some/path/a/b", "c=d", "/a/b?c=d"),
        ("location /a { proxy_pass http://u/b; }", "/ac", "", "/bc"),
        # "If proxy_pass is specified without a URI, the request URI is passed to the server in the same
        # form as sent by a client when the original request is processed"
        ("location /some/path/ { proxy_pass http://u; }", "/some/path//%41", "q", "/some/path//%41?q"),
        # "or the full normalized request URI is passed when processing the changed URI" / "the URI
        # specified in the directive is ignored and the full changed request URI is passed to the server"
        (
            "location /name/ { rewrite /name/([^/]+) /users?name=$1 break; proxy_pass http://u; }",
            "/name/a",
            "",
            "/users",
        ),
        (
            "location /n/ { rewrite ^/n/(.*)$ /m/$1 break; proxy_pass http://u/ignored/; }",
            "/n/a",
            "q",
            "/m/a?q",
        ),
        # "When variables are used in proxy_pass ... if URI is specified in the directive, it is passed to
        # the server as is, replacing the original request URI"
        ("location ~ ^/p/(.+)$ { proxy_pass http://u/q/$1; }", "/p/x", "lost", "/q/x"),
    ],
)
def test_what_is_passed_to_the_server(location: str, path: str, query: str, uri: str, tmp_path: Path) -> None:
    found = follow(tmp_path, f"server {{ {location} }}", path, query=query)
    assert (found.group, found.uri) == ("u", uri)


def test_headers_are_inherited_only_where_a_level_has_none(tmp_path: Path) -> None:
    # "These directives are inherited from the previous configuration level if and only if there are no
    # proxy_set_header directives defined on the current level."
    text = (
        "proxy_set_header X-A outer; server { location / { proxy_pass http://u; } "
        "location /b { proxy_set_header X-B $host; proxy_pass http://u; } }"
    )
    assert follow(tmp_path, text).headers == {"host": "u", "x-a": "outer"}
    assert follow(tmp_path, text, "/b", host="H.x:8").headers == {"host": "u", "x-b": "h.x"}


def test_the_forwarded_address_is_appended(tmp_path: Path) -> None:
    # "$proxy_add_x_forwarded_for: the “X-Forwarded-For” client request header field with the $remote_addr
    # variable appended to it, separated by a comma"
    text = "server { location / { proxy_set_header X-F $proxy_add_x_forwarded_for; proxy_pass http://u; } }"
    assert follow(tmp_path, text, X_Forwarded_For="1.2.3.4").headers["x-f"] == "1.2.3.4, 127.0.0.1"
    assert follow(tmp_path, text).headers["x-f"] == "127.0.0.1"


@pytest.mark.parametrize(("path", "status"), [("/user", 301), ("/user/", 0), ("/user/x", 0), ("/exact", 0)])
def test_a_missing_slash_is_a_redirect_unless_there_is_an_exact_match(
    path: str, status: int, tmp_path: Path
) -> None:
    # "a permanent redirect with the code 301 will be returned to the requested URI with the slash appended.
    # If this is not desired, an exact match of the URI and location could be defined"
    text = (
        f"server {{ location /user/ {{ {to('u')} }} location /exact/ {{ {to('u')} }} "
        f"location = /exact {{ {to('v')} }} }}"
    )
    found = follow(tmp_path, text, path, query="q")
    assert found.status == status
    if status:
        assert found.location == "http://h/user/?q"


@pytest.mark.parametrize(
    ("rewrite", "status", "location"),
    [
        # "redirect: returns a temporary redirect with the 302 code", "permanent: ... with the 301 code"
        ("rewrite ^/a/(.*)$ /b/$1 redirect;", 302, "http://h/b/x?q"),
        ("rewrite ^/a/(.*)$ /b/$1 permanent;", 301, "http://h/b/x?q"),
        # "If a replacement string starts with “http://”, ... the processing stops and the redirect is
        # returned"
        ("rewrite ^/a/(.*)$ http://o/$1;", 302, "http://o/x?q"),
        # "If this is undesired, putting a question mark at the end of a replacement string avoids having
        # them appended"
        ("rewrite ^/a/(.*)$ /b/$1? permanent;", 301, "http://h/b/x"),
    ],
)
def test_rewrites_that_redirect(rewrite: str, status: int, location: str, tmp_path: Path) -> None:
    found = follow(tmp_path, f"server {{ {rewrite} location / {{ {to('u')} }} }}", "/a/x", query="q")
    assert (found.status, found.location) == (status, location)


def test_a_rewrite_that_looks_for_a_location_again(tmp_path: Path) -> None:
    # "last: stops processing the current set of ngx_http_rewrite_module directives and starts a search for
    # a new location matching the changed URI"; "if this cycle is repeated 10 times, nginx will return the
    # 500 error"
    text = f"server {{ location /a/ {{ rewrite ^/a(.*)$ /b$1 last; }} location /b/ {{ {to('v')} }} }}"
    found = follow(tmp_path, text, "/a/x")
    assert (found.group, found.uri) == ("v", "/b/x")
    loop = "server { location /a { rewrite ^/a(.*)$ /a/x$1 last; } }"
    assert follow(tmp_path, loop, "/a").status == 500


def test_what_it_does_not_follow_it_says(tmp_path: Path) -> None:
    for inner, why in [
        ("deny all; return 200;", "deny"),
        ("try_files $uri /x;", "try_files"),
        ("", "files"),
        ("proxy_pass http://$x;", "http://$x"),
        ("return 444;", "444"),
    ]:
        assert follow(tmp_path, f"server {{ location / {{ {inner} }} }}").unknown == why


@pytest.mark.parametrize(
    ("path", "seen"),
    [
        ("/", "/"),
        ("/a//b", "/a/b"),
        ("/a/./b/../c", "/a/c"),
        ("/a/..", "/"),
        ("/%61%2e", "/a."),
        ("/a/", "/a/"),
    ],
)
def test_paths_are_normalised(path: str, seen: str) -> None:
    assert normalised(path) == seen
