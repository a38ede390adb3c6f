"""Requests for a configuration of nginx, and what the import makes of them beside the reference."""

from __future__ import annotations

import random
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from urllib.parse import quote, unquote

from fakes.nginx_reference import Asked, Block, Outcome, Reference
from plovertrail.config.setup import Setup
from plovertrail.decisions.paths import InvalidTargetError, normalise_path
from plovertrail.decisions.requests import preview_request
from plovertrail.nginx.report import Report, Treatment

ADDRESS = "127.0.0.1"
REGEX_TEXTS = {
    r"\d+": "42",
    r"\.": ".",
    r"(.*)": "x/y",
    r"(.+)": "zz",
    r"[a-z]+": "abc",
    r"[0-9]+": "7",
    r"\w+": "w1",
    r"[^/]+": "seg",
    ".*": "any",
    ".+": "some",
    "$": "",
    "^": "",
    "?": "",
}
OWN_HEADERS = (("X-Forwarded-For", "203.0.113.5"), ("X-Real-IP", "forged"), ("X-Note", "n"))
LETTERS = "abcdeijkmnpqrstuvwxyz/._-"


@dataclass
class Got:
    """What became of a request here."""

    status: int = 0  # 0: it reached a server
    location: str = ""
    body: str = ""
    address: str = ""  # of the server
    addresses: frozenset[str] = frozenset()  # or those that it may reach
    uri: str = ""
    headers: dict[str, str] = field(default_factory=dict)  # as they reach the server, names in lower case


def blocks(block: Block, name: str) -> Iterator[Block]:
    """The blocks of this name within a block, at any depth."""
    for each in block.inner:
        if each.name == name:
            yield each
        yield from blocks(each, name)


def path_of(location: Block, rng: random.Random) -> str:
    """A path that the location may take."""
    kind, text = Reference.modifier(location)
    if kind not in ("~", "~*"):
        return text
    for pattern, plain in REGEX_TEXTS.items():
        text = text.replace(pattern, plain)
    while found := re.search(r"\(\?:([^()]*)\)|\(([^()]*)\)", text):
        choice = rng.choice((found[1] or found[2] or "").split("|"))
        text = text[: found.start()] + choice + text[found.end() :]
    text = re.sub(r"[\\()\[\]*+{}|]", "", text.split("|")[0])
    if kind == "~*" and rng.random() < 0.4:
        text = text.swapcase()
    return text if text.startswith("/") else "/" + rng.choice(("p", "img/", "a/b/")) + text


def requests(reference: Reference, count: int, rng: random.Random) -> Iterator[Asked]:
    """Requests about the names, paths and borders of a configuration."""
    servers = [block for http in reference.https for block in http.own("server")]
    ports = sorted({port for server in servers for port, _ in reference.listens(server)})
    hosts = ["nobody.example", "localhost"]
    for server in servers:
        for names in server.own("server_name"):
            for name in names.args:
                plain = re.sub(r"[~^$\\()+?|\[\]{}<>:]", "", name.replace(r"\d+", "7").replace(".+", "x"))
                plain = plain.strip(".").replace("*", "q") or "x"
                hosts += [plain, plain.upper(), f"w.{plain}", f"a.b.{plain}", f"{plain}.zz"]
    hosts = [host for host in hosts if ".." not in host]  # no Host of a request
    locations = list(blocks(reference.root, "location")) or [Block("location", ["/"], 0)]
    rewrites = [each.args[0] for each in blocks(reference.root, "rewrite")]
    for _ in range(count):
        if rewrites and rng.random() < 0.3:
            path = path_of(Block("location", ["~", rng.choice(rewrites)], 0), rng)
        else:
            path = path_of(rng.choice(locations), rng)
        if path.startswith("/@") or not path.startswith("/"):
            path = "/"
        path = quote(path, safe="/-._~!$&'()*+,;=:@") or "/"
        path = _varied(path, rng)
        yield Asked(
            rng.choice(("GET", "GET", "POST", "HEAD", "PUT")),
            rng.choice(hosts),
            path,
            rng.choice(("", "", "a=1", "q=x%20y&z")),
            rng.choice(ports),
            ADDRESS,
            tuple(rng.sample(OWN_HEADERS, rng.randrange(3))),
        )


def _varied(path: str, rng: random.Random) -> str:
    kind = rng.randrange(12)
    if kind == 0:
        return path.rstrip("/") or "/"
    if kind == 1:
        return path.rstrip("/") + "/"
    if kind == 2:
        return path + rng.choice(LETTERS) + rng.choice(("", "x", "/y", ".png"))
    if kind == 3:
        return path[:-1] or "/"
    if kind == 4:
        return path + "/../" + rng.choice(("", "z"))
    if kind == 5:
        return path.replace("/", "//", 1)
    if kind == 6 and len(path) > 2:
        at = rng.randrange(1, len(path))
        plain = path[at] if path[at].isalpha() and path[at - 1 : at] != "%" else ""
        return path[:at] + f"%{ord(plain):02X}" + path[at + 1 :] if plain and "%" not in path else path
    if kind == 7:
        return path + "%2Fx"
    if kind == 8:
        return path + "a%20b"
    return path


def decided(setup: Setup, asked: Asked) -> Got:
    """What the imported setup decides, with no sockets."""
    listener = next(each for each in setup.listeners if each.address[1] == asked.port)
    target = asked.path + (f"?{asked.query}" if asked.query else "")
    found = preview_request(
        setup.routes,
        asked.method,
        asked.host,
        target,
        asked.headers,
        listener.name,
        asked.port,
        asked.address,
    )
    if found.status or found.routed is None:
        return Got(found.status, found.location, found.body)
    addresses = frozenset(
        "{}:{}".format(*server.address)
        for name in found.routed.route.pools
        for server in setup.pools[name].servers
        if not server.drain
    )
    return Got(
        addresses=addresses, uri=found.routed.target.decode("latin-1"), headers=found.forwarded_headers
    )


def servers_of(reference: Reference, group: str) -> frozenset[str]:
    """The addresses behind an upstream, or the one that its name is."""
    block = reference.upstreams.get(group)
    if block is None:
        return frozenset((group if ":" in group else f"{group}:80",))
    return frozenset(
        each.args[0] if ":" in each.args[0] else f"{each.args[0]}:80"
        for each in block.own("server")
        if "down" not in each.args
    )


def normal(uri: str) -> str:
    """A target with its path in one form; what the import says of every proxy_pass."""
    path, question, query = uri.partition("?")
    try:
        return normalise_path(path.encode("latin-1"))[0] + question + query
    except InvalidTargetError:
        return uri


def shut_for(got: Got) -> str:
    """The place that an answer 501 of the import names."""
    found = re.match(r"not imported from nginx: (\S+?:\d+)", got.body)
    return found[1] if found and got.status == 501 else ""


def told(report: Report, directive: str, treatment: Treatment, first: str = "") -> bool:
    """Whether the report tells so of a directive of this name, and of this first argument."""
    return any(
        entry.treatment is treatment
        and entry.directive.name == directive
        and (not first or entry.directive.args[0].lower() == first)
        for entry in report.entries.values()
    )


def difference(
    reference: Reference, report: Report, asked: Asked, wanted: Outcome, got: Got
) -> tuple[str, bool]:
    """What differs, and whether the report tells of it; an empty text if nothing does."""
    place = shut_for(got)
    if place:
        lost = any(
            entry.directive.place == place and entry.treatment is Treatment.NOT_MAPPED
            for entry in report.entries.values()
        )
        return f"501 for {place}", lost
    if got.status == 400:
        try:
            normalise_path(asked.path.encode())
        except InvalidTargetError as bad:
            return f"400: {bad}", True  # told of every proxy_pass
    if wanted.unknown:
        # what the reference doesn't follow must be shut here, or be nothing (files)
        nothing = wanted.unknown == "files" and got.status == 404
        if wanted.unknown == "444" and got.status == 404:
            return "404 for 444", told(report, "return", Treatment.DIFFERS)
        return "" if nothing else f"the reference says {wanted.unknown}, and here {got}", False
    if wanted.status:
        same = (got.status, got.location) == (wanted.status, wanted.location)
        # the documentation doesn't say how nginx escapes what it decoded
        same = same or (got.status == wanted.status and unquote(got.location) == unquote(wanted.location))
        same = same and (asked.method == "HEAD" or wanted.location != "" or got.body == wanted.body)
        return "" if same else f"{wanted.status} {wanted.location} {wanted.body}, and here {got}", False
    allowed = servers_of(reference, wanted.group)
    if got.status and not (got.status == 503 and not allowed):
        return f"to {wanted.group}, and here {got.status} {got.body}", False
    reached = frozenset((got.address,)) if got.address else got.addresses
    if not got.status and not reached <= allowed:
        return f"to {wanted.group} {sorted(allowed)}, and here {sorted(reached)}", False
    if not got.status and normal(got.uri) != normal(quote(wanted.uri, safe="/%-._~!$&'()*+,;=:@?")):
        return f"URI {wanted.uri}, and here {got.uri}", False
    for name, value in wanted.headers.items():
        if not got.status and got.headers.get(name, "") != value:
            if name == "x-request-id":
                return "a request id", told(report, "proxy_set_header", Treatment.DIFFERS, name)
            marked = told(report, "proxy_set_header", Treatment.NOT_MAPPED, name) and name not in got.headers
            return f"{name}: {value}, and here {got.headers.get(name, '')}", marked
    return "", False
