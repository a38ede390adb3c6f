"""What nginx would do with a request, by its public documentation: server, location, upstream, URI, headers.

Written apart from the importer, as its yardstick: nothing is shared with it but crossplane, which parses. It
follows a configuration request by request as the documentation of ngx_http_core_module, ngx_http_proxy_module
and ngx_http_rewrite_module tells, and says so where it doesn't know.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import unquote_to_bytes

import crossplane

UNKNOWN_VALUE = "\0"  # of a header: it depends on what the reference doesn't follow
MOST_CYCLES = 10  # rewrite: "if this cycle is repeated more than 10 times, nginx returns an error (500)"


@dataclass(eq=False)
class Block:
    """A directive with its block, and the block around it."""

    name: str
    args: list[str]
    line: int
    inner: list[Block] = field(default_factory=list)
    outer: Block | None = None

    def own(self, name: str) -> list[Block]:
        """The directives of this name in the block."""
        return [each for each in self.inner if each.name == name]

    def nearest(self, name: str) -> list[Block]:
        """Inherited from the previous level if and only if there are none on the current level."""
        block: Block | None = self
        while block is not None:
            found = block.own(name)
            if found:
                return found
            block = block.outer
        return []


@dataclass(frozen=True)
class Asked:
    """One request."""

    method: str
    host: str  # as the Host header has it
    path: str  # as sent, with no query
    query: str = ""
    port: int = 80
    address: str = "127.0.0.1"
    headers: tuple[tuple[str, str], ...] = ()


@dataclass
class Outcome:
    """What is answered, or where the request goes and as what."""

    status: int = 0  # 0: it is passed on
    location: str = ""
    body: str = ""
    group: str = ""  # the upstream, or the address
    uri: str = ""
    headers: dict[str, str] = field(default_factory=dict)  # set on the request, Host among them; names lower
    unknown: str = ""  # what the reference doesn't follow
    line: int = 0  # of the location


class UnmodelledError(Exception):
    """Something that this reference does not model; the text names it."""


def read(path: str) -> Block:
    """Read a configuration with its includes; returns the main block."""
    payload = crossplane.parse(path, check_ctx=False, check_args=False, combine=True)
    root = Block("main", [], 0)

    def build(raws: list[dict[str, Any]], outer: Block) -> None:
        for raw in raws:
            made = Block(raw["directive"], raw["args"], raw["line"], outer=outer)
            outer.inner.append(made)
            build(raw.get("block", []), made)

    build(payload["config"][0]["parsed"], root)
    return root


def normalised(path: str) -> str:
    """Decoding the text encoded in the "%XX" form, resolving references to relative path components "." and
    "..", and possible compression of two or more adjacent slashes into a single slash (location)."""
    text = unquote_to_bytes(path.encode("latin-1")).decode("latin-1")
    parts: list[str] = []
    for part in re.sub("/+", "/", text).split("/")[1:]:
        if part == "..":
            parts = parts[:-1]
        elif part != ".":
            parts.append(part)
    closed = text.endswith(("/", "/.", "/..")) and parts and parts[-1] != ""
    return "/" + "/".join(parts) + ("/" if closed else "")


class Reference:
    """What nginx does with a request under a configuration, as its documentation says."""

    def __init__(self, path: str) -> None:
        self.root = read(path)
        self.https = self.root.own("http")
        self.upstreams = {block.args[0]: block for http in self.https for block in http.own("upstream")}
        self.maps = {block.args[1]: block for http in self.https for block in http.own("map")}
        self.set: dict[str, str] = {}  # by `set`, in the request that is followed

    # Which server

    def server(self, asked: Asked) -> Block | None:
        """ngx_http_core_module, server_name: the exact name, the longest wildcard name starting with an
        asterisk, the longest ending with one, the first matching regular expression; else the default server
        of the port."""
        here = [
            server
            for http in self.https
            for server in http.own("server")
            if asked.port in [port for port, _ in self.listens(server)]
        ]
        host = re.sub(r":\d+$", "", asked.host).lower().rstrip(".")
        found: dict[str, list[tuple[int, Block]]] = {}
        for server in here:
            for names in server.own("server_name"):
                for name in names.args:
                    self._named(name.lower() if not name.startswith("~") else name, host, server, found)
        for kind in ("exact", "leading", "trailing"):
            if kind in found:
                return max(found[kind], key=lambda pair: pair[0])[1]
        if "regex" in found:
            return found["regex"][0][1]
        for server in here:
            if any(port == asked.port and default for port, default in self.listens(server)):
                return server
        return here[0] if here else None

    @staticmethod
    def _named(name: str, host: str, server: Block, found: dict[str, list[tuple[int, Block]]]) -> None:
        def add(kind: str, long: int) -> None:
            # of two servers with one name the first is taken: nginx ignores the other
            if all(known != long for known, _ in found.setdefault(kind, [])):
                found[kind].append((long, server))

        if not host:
            return
        if name.startswith("~"):
            if re.search(name[1:], host, re.I):
                found.setdefault("regex", []).append((0, server))
        elif name.startswith("."):
            if host == name[1:]:
                add("exact", 0)
            elif host.endswith(name):
                add("leading", len(name))
        elif name.startswith("*."):
            if host.endswith(name[1:]) and len(host) > len(name) - 1:
                add("leading", len(name))
        elif name.endswith(".*"):
            if host.startswith(name[:-1]):
                add("trailing", len(name))
        elif host == name:
            add("exact", 0)

    @staticmethod
    def listens(server: Block) -> Iterator[tuple[int, bool]]:
        """The ports that a server listens on, each with whether it is the default there."""
        listens = server.own("listen")
        for listen in listens:
            port = listen.args[0].rpartition(":")[2]
            default = bool({"default_server", "default"} & set(listen.args))
            yield int(port) if port.isdecimal() else 80, default
        if not listens:
            yield 80, False

    # Which location

    @staticmethod
    def modifier(location: Block) -> tuple[str, str]:
        """The modifier and the text of a location; the modifier may stand without a space."""
        if len(location.args) == 2:
            return location.args[0], location.args[1]
        for tight in ("^~", "~*", "=", "~"):
            if location.args[0].startswith(tight):
                return tight, location.args[0].removeprefix(tight)
        return "", location.args[0]

    def beginning(self, level: Block) -> str:
        """What prefixes at this level begin with: nginx refuses those outside the location around them."""
        kind, text = self.modifier(level) if level.name == "location" else ("~", "")
        return text if kind in ("", "^~") else "/"

    def location(self, level: Block, path: str) -> tuple[Block | None, bool]:
        """ngx_http_core_module, location: first prefix locations, the longest match remembered; then regular
        expressions in the order of their appearance; the first match ends the search. `=` ends it at once,
        `^~` on the longest prefix leaves regular expressions out. Whether what was found ends the search of
        the level around it too. Locations can be nested."""
        longest: Block | None = None
        for each in level.own("location"):
            kind, text = self.modifier(each)
            if kind == "=" and text == path and text.startswith(self.beginning(level)):
                return each, True
            if (
                kind in ("", "^~")
                and text.startswith(self.beginning(level))
                and path.startswith(text)
                and (longest is None or len(text) > len(self.modifier(longest)[1]))
            ):
                longest = each
        remembered = longest
        if longest is not None:
            inner, final = self.location(longest, path)
            if final:
                return inner, True
            remembered = inner or longest
        if longest is None or self.modifier(longest)[0] != "^~":
            for each in level.own("location"):
                kind, text = self.modifier(each)
                if kind in ("~", "~*") and re.search(text, path, re.I if kind == "~*" else 0):
                    inner, _ = self.location(each, path)
                    return inner or each, True
        return remembered, False

    def slash(self, level: Block, path: str) -> Block | None:
        """If a location is defined by a prefix string that ends with the slash character, and requests are
        processed by proxy_pass: in response to a request with URI equal to this string, but without the
        trailing slash, a permanent redirect with the code 301 will be returned to the requested URI with the
        slash appended. If this is not desired, an exact match could be defined."""
        plain = [
            (*self.modifier(each), each)
            for each in level.own("location")
            if self.modifier(each)[0] in ("", "^~", "=")
            and self.modifier(each)[1].startswith(self.beginning(level))
        ]
        if any(kind == "=" and text == path for kind, text, _ in plain):
            return None
        if all(text != path for _, text, _ in plain):
            for kind, text, each in plain:
                if kind != "=" and text == path + "/" and each.own("proxy_pass"):
                    return each
        within = [(text, each) for kind, text, each in plain if kind != "=" and path.startswith(text)]
        return self.slash(max(within, key=lambda pair: len(pair[0]))[1], path) if within else None

    # What becomes of it

    def follow(self, asked: Asked) -> Outcome:
        """What becomes of a request; one that leaves what is modelled has the reason in `unknown`."""
        try:
            return self._follow(asked)
        except UnmodelledError as why:
            return Outcome(unknown=str(why))

    def _follow(self, asked: Asked) -> Outcome:
        server = self.server(asked)
        if server is None:
            raise UnmodelledError("no server listens there")
        path = normalised(asked.path)
        changed = False
        self.set = {}
        for _ in range(MOST_CYCLES):
            done, path, flag = self._rewritten(server, path, asked, [])
            changed |= flag != ""
            if done is not None:
                return done
            slash = self.slash(server, path)
            if slash is not None:
                args = f"?{asked.query}" if asked.query else ""
                return Outcome(301, self._absolute(path + "/", asked) + args, line=slash.line)
            location, _ = self.location(server, path)
            if location is None:
                raise UnmodelledError("files")
            self._refuse_unknown(location)
            kind, text = self.modifier(location)
            found = re.search(text, path, re.I if kind == "~*" else 0) if kind in ("~", "~*") else None
            groups = [group or "" for group in found.groups()] if found else []
            done, new, flag = self._rewritten(location, path, asked, groups)
            if done is not None:
                done.line = location.line
                return done
            if flag in ("", "last") and new != path:
                path, changed = new, True
                continue
            return self._passed(location, new, asked, groups, changed or flag == "break")
        return Outcome(500)

    def _refuse_unknown(self, location: Block) -> None:
        block: Block | None = location
        while block is not None:
            for each in block.inner:
                if (each.name, each.args) in (("allow", ["all"]), ("auth_basic", ["off"])):
                    continue
                if each.name in (
                    "if",
                    "try_files",
                    "auth_basic",
                    "allow",
                    "deny",
                    "internal",
                    "auth_request",
                    "limit_except",
                ):
                    raise UnmodelledError(each.name)
            block = block.outer

    def _rewritten(
        self, block: Block, path: str, asked: Asked, groups: list[str]
    ) -> tuple[Outcome | None, str, str]:
        """The directives of the rewrite module of one level, in their order."""
        for each in block.inner:
            if each.name == "return":
                return self._returned(each.args, path, asked, groups), path, ""
            if each.name == "set":
                self.set[each.args[0].removeprefix("$")] = self.value(each.args[1], path, asked, groups)
            if each.name != "rewrite":
                continue
            found = re.search(each.args[0], path)
            if found is None:
                continue
            flag = each.args[2] if len(each.args) == 3 else ""
            text = each.args[1]
            parts = [group or "" for group in found.groups()]
            if flag in ("redirect", "permanent") or re.match(r"https?://|\$scheme", text):
                # previous request arguments are appended, unless a question mark ends the replacement
                where = self.value(text.removesuffix("?"), path, asked, parts)
                args = f"?{asked.query}" if asked.query and not text.endswith("?") else ""
                where = self._absolute(where, asked) if where.startswith("/") else where
                return Outcome(301 if flag == "permanent" else 302, where + args), path, ""
            path = self.value(text.partition("?")[0], path, asked, parts)
            if flag in ("last", "break"):
                return None, path, flag
        return None, path, ""

    def _returned(self, args: list[str], path: str, asked: Asked, groups: list[str]) -> Outcome:
        if not args[0].isdecimal():
            return Outcome(302, self._where(args[0], path, asked, groups))
        status, text = int(args[0]), args[1] if len(args) > 1 else ""
        if status == 444:
            raise UnmodelledError("444")
        if status in (301, 302, 303, 307, 308):
            return Outcome(status, self._where(text, path, asked, groups))
        return Outcome(status, body=self.value(text, path, asked, groups))

    def _where(self, text: str, path: str, asked: Asked, groups: list[str]) -> str:
        where = self.value(text, path, asked, groups)
        return self._absolute(where, asked) if where.startswith("/") else where

    @staticmethod
    def _absolute(path: str, asked: Asked) -> str:
        """absolute_redirect on, server_name_in_redirect off, port_in_redirect on."""
        host = re.sub(r":\d+$", "", asked.host).lower()
        return f"http://{host}{f':{asked.port}' if asked.port != 80 else ''}{path}"

    def value(self, text: str, path: str, asked: Asked, groups: list[str]) -> str:
        """A text with its variables filled in; raises UnmodelledError on an unknown one."""
        given = {name.lower(): value for name, value in asked.headers}
        before = given.get("x-forwarded-for", "")
        names = {
            "host": re.sub(r":\d+$", "", asked.host).lower(),
            "http_host": asked.host,
            "scheme": "http",
            "remote_addr": asked.address,
            "request_method": asked.method,
            "args": asked.query,
            "query_string": asked.query,
            "is_args": "?" if asked.query else "",
            "uri": path,
            "document_uri": path,
            "server_port": str(asked.port),
            "request_uri": asked.path + (f"?{asked.query}" if asked.query else ""),
            "proxy_add_x_forwarded_for": f"{before}, {asked.address}" if before else asked.address,
            **{str(number): group for number, group in enumerate(groups, 1)},
        }

        def one(found: re.Match[str]) -> str:
            name = found[1] or found[2]
            if name in names:
                return names[name]
            if name in self.set:
                return self.set[name]
            block = self.maps.get(f"${name}")
            if block is not None and [each.name for each in block.inner] == ["default"]:
                return self.value(block.inner[0].args[0], path, asked, groups)
            if name.startswith("http_"):
                return given.get(name[5:].replace("_", "-"), "")
            raise UnmodelledError(f"${name}")

        return re.sub(r"\$(?:\{(\w+)\}|([1-9]|[A-Za-z_]\w*))", one, text)

    def _settled(self, part: re.Match[str], path: str, asked: Asked) -> str:
        name = part[1] or part[2]
        if name in self.set or f"${name}" in self.maps:
            return self.value(part[0], path, asked, [])
        return part[0]

    def _passed(self, location: Block, path: str, asked: Asked, groups: list[str], changed: bool) -> Outcome:
        """ngx_http_proxy_module, proxy_pass: with a URI, the part of the normalised request URI that matches
        the location is replaced by it; without, the request URI goes on as the client sent it, or, when it
        was changed, in full as changed."""
        passes = location.own("proxy_pass")
        if not passes:
            raise UnmodelledError("files")
        written = passes[-1].args[0]
        # variables of `set` and maps are known by now; those of the request are kept for what follows
        known = re.sub(
            r"\$(?:\{(\w+)\}|([A-Za-z_]\w*))", lambda part: self._settled(part, path, asked), written
        )
        found = re.fullmatch(r"http://([^/]+)(/.*)?", known)
        if found is None or "$" in found[1]:
            raise UnmodelledError(written)
        group, uri = found[1], found[2] or ""
        query = f"?{asked.query}" if asked.query else ""
        kind, text = self.modifier(location)
        if uri and "$" in written:
            sent = self.value(uri, path, asked, groups)  # passed to the server as is
        elif changed or not uri:
            sent = (path if changed else asked.path) + query
        elif kind in ("~", "~*"):
            raise UnmodelledError("a URI under a regular expression")
        else:
            sent = uri + path[len(text) :] + query
        headers = {"host": group}
        for directive in location.nearest("proxy_set_header"):
            name, value = directive.args[0].lower(), directive.args[1]
            if name in ("connection", "upgrade"):
                continue  # of the connection
            # if the value of a header field is an empty string then this field will not be passed
            try:
                headers[name] = self.value(value.replace("$proxy_host", group), path, asked, groups)
            except UnmodelledError:
                headers[name] = UNKNOWN_VALUE
        return Outcome(group=group, uri=sent, headers=headers, line=location.line)
