"""Normalises hosts and paths, so that no route can be bypassed by writing a path in another way.

A path has two forms with the same segments (RFC 3986, sections 6.2.2 and 5.2.4). In the form that is
forwarded only the unreserved characters are decoded; in the form for matching all other characters of a
segment are decoded too. Servers differ in whether they decode once more, merge slashes or read `..;` as
`..`, so a path that could mean another one to a server is rejected.
"""

from __future__ import annotations

import functools
import re

UNRESERVED = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
SEGMENT_CHARACTERS = UNRESERVED | frozenset(b"!$&'()*+,;=:@")
NORMAL_PATH = re.compile(r"(?:/(?!\.|/)[A-Za-z0-9\-_~][A-Za-z0-9\-._~]*)+/?|/")  # the same in both forms
ESCAPE = re.compile(rb"%([0-9A-Fa-f]{2})")
HOST = re.compile(r"[a-z0-9_](?:[a-z0-9_.-]*[a-z0-9_-])?|\[[0-9a-f:.]+\]")
MAX_HOST_LENGTH = 255
HOST_AND_PORT = re.compile(r"(.*?)(?::([0-9]{0,5}))?", re.S)


class InvalidTargetError(ValueError):
    """A request target or host cannot be routed; the message says why."""


def _unescape(raw: bytes, decodable: frozenset[int]) -> str:
    """Decode the escapes of the characters in `decodable`, and write all other escapes in upper case."""
    parts: list[str] = []
    index = 0
    while index < len(raw):
        byte = raw[index]
        if byte == 0x25:
            found = ESCAPE.match(raw, index)
            if found is None:
                raise InvalidTargetError("a % that begins no escape")
            byte, index = int(found[1], 16), index + 3
            if byte in b"/\\":
                raise InvalidTargetError("an encoded slash or backslash")
            parts.append(chr(byte) if byte in decodable else f"%{byte:02X}")
        else:
            index += 1
            if byte == 0x5C:
                raise InvalidTargetError("a backslash")
            # characters that are not allowed in a path are escaped, the others stay
            parts.append(chr(byte) if byte in SEGMENT_CHARACTERS or byte == 0x2F else f"%{byte:02X}")
        if byte < 0x20 or byte == 0x7F:
            raise InvalidTargetError("a control character")
    return "".join(parts)


def _resolve_dots(path: str) -> str:
    """Merge repeated slashes, then remove dot segments."""
    resolved: list[str] = []
    segments = [segment for segment in path.split("/") if segment]
    for segment in segments:
        if segment.startswith((".;", "..;", ".%3B", "..%3B")):
            raise InvalidTargetError("a dot segment with parameters")
        if segment == "..":
            if resolved:
                resolved.pop()
        elif segment != ".":
            resolved.append(segment)
    trailing_slash = path.endswith("/") or (bool(segments) and segments[-1] in (".", ".."))
    return "/" + "/".join(resolved) + ("/" if trailing_slash and resolved else "")


def normalise_path(raw: bytes) -> tuple[str, str]:
    """Return a path in the form to forward and in the form for matching; raises InvalidTargetError."""
    if not raw.startswith(b"/"):
        raise InvalidTargetError("a path that does not begin with /")
    text = raw.decode("latin-1")
    if NORMAL_PATH.fullmatch(text):
        return text, text
    return _resolve_dots(_unescape(raw, UNRESERVED)), _resolve_dots(_unescape(raw, SEGMENT_CHARACTERS))


def split_target(target: bytes) -> tuple[bytes, bytes, bytes]:
    """Return the host, path and query of a request target; raises InvalidTargetError.

    The host is empty except in the absolute form (RFC 9112, section 3.2.2).
    """
    if b"#" in target:
        raise InvalidTargetError("a fragment")
    host = b""
    if not target.startswith(b"/"):
        scheme, separator, rest = target.partition(b"://")
        if not separator or scheme.lower() not in (b"http", b"https"):
            raise InvalidTargetError("neither a path nor an http URL")
        end = min((at for at in (rest.find(b"/"), rest.find(b"?")) if at >= 0), default=len(rest))
        host, target = rest[:end], rest[end:]
        if not host or b"@" in host:
            raise InvalidTargetError("a URL with no host, or with a user")
        if not target.startswith(b"/"):
            target = b"/" + target
    path, _, query = target.partition(b"?")
    return host, path, query


@functools.lru_cache(maxsize=1024)
def normalise_host(raw: bytes) -> str:
    """Return a host in lower case, without its port and a trailing dot; raises InvalidTargetError."""
    text = raw.decode("latin-1").strip(" \t").lower()
    found = HOST_AND_PORT.fullmatch(text)
    host = found[1] if found is not None else text
    host = host.removesuffix(".")
    if len(host) > MAX_HOST_LENGTH or not HOST.fullmatch(host) or ".." in host:
        raise InvalidTargetError("a Host that is no host")
    return host
