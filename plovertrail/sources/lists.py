"""Parses endpoint lists in files: JSON, TOML, or one endpoint per line. Incomplete files are rejected.

A partly written file can be valid all the same: a TOML file truncated between two tables, lines truncated
anywhere, a JSON file rewritten in place from the front. Only a checksum detects all of these cases;
docs/membership.md has the alternatives.

`Row` and `ListFile` define the keys of the files; `servers` are endpoints, `id` is an endpoint's name.
"""

from __future__ import annotations

import hashlib
import json
import re
import tomllib
from typing import Any

import msgspec

from plovertrail.decisions.endpoint_list import Address, EndpointList, ListedEndpoint

MAX_FILE_BYTES = 8 << 20
MAX_ENDPOINTS = 50_000
NOT_COMPLETE = "half written, changed by hand, or never sealed (plovertrail seal FILE)"
SEAL = re.compile(rb"\n?# sha256: ([0-9a-f]{64})\n\Z")
JSON_SEAL = re.compile(rb'("sha256"\s*:\s*")([0-9a-f]{64})(")')
OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
ENDPOINT = re.compile(rf"({OCTET}(?:\.{OCTET}){{3}}):([0-9]{{1,5}})")  # ten times as fast as `ipaddress`
PAIR = re.compile(r"(zone|cell|weight|id|drain)=(\S+)")


class InvalidListError(Exception):
    """A file is incomplete or not a valid list; the text says why."""


class Row(msgspec.Struct, kw_only=True, forbid_unknown_fields=True, gc=False):
    """An endpoint in a JSON or TOML file."""

    id: str
    address: str
    zone: str = ""
    cell: str = ""
    weight: float = 1.0
    drain: bool = False


class ListFile(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A list in a JSON or TOML file.

    A `version` of 0 means none. `sha256` is the digest of a JSON list in hex, empty if it has none.
    """

    servers: list[Row]
    version: int = 0
    sha256: str = ""


def json_digest(data: bytes) -> bytes | None:
    """Compute the digest of a JSON list's bytes, with zeros in place of the digest that it contains.

    Returns None unless the list has exactly one such place. The bytes are digested as they are, since
    encoding 10,000 endpoints again in a canonical order would hold Python's lock for too long, on any thread.
    """
    found = JSON_SEAL.findall(data)
    if len(found) != 1:
        return None
    blank = JSON_SEAL.sub(lambda match: match[1] + b"0" * 64 + match[3], data)
    return hashlib.sha256(blank).hexdigest().encode()


def parse_address(text: str) -> Address:
    """Parse an IPv4 address and a port; raises InvalidListError, also for host names, which need a lookup."""
    found = ENDPOINT.fullmatch(text)
    if found is None:
        raise InvalidListError(f"{text!r} is no address and port")
    port = int(found[2])
    if not 0 < port <= 65_535:
        raise InvalidListError(f"{text!r} has no port")
    return found[1], port


def parse(name: str, data: bytes, source: str, checksum: bool) -> EndpointList:
    """Parse a file's bytes; raises InvalidListError.

    With `checksum` set, a file with no checksum or a wrong one is incomplete. Otherwise a checksum is
    verified if there is one, and a text file without one is complete if it ends with a line end.
    """
    if len(data) > MAX_FILE_BYTES:
        raise InvalidListError(f"longer than {MAX_FILE_BYTES >> 20} MiB")
    try:
        if name.endswith(".json"):
            table = _json(data, checksum)
        else:
            text = _without_checksum(data, checksum).decode("utf-8")
            found = tomllib.loads(text) if name.endswith(".toml") else _lines(text)
            table = msgspec.convert(found, ListFile, strict=True)
    except UnicodeDecodeError as error:
        raise InvalidListError(f"byte {error.start} is not UTF-8") from None
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise InvalidListError(
            f"not {name.rpartition('.')[2].upper()}: {error or 'nested too deeply'}"
        ) from None
    except msgspec.MsgspecError as error:
        raise InvalidListError(str(error)) from None
    return EndpointList(source, _endpoints(table), table.version)


def _without_checksum(data: bytes, checksum: bool) -> bytes:
    seal = SEAL.search(data)
    if seal is not None:
        content = data[: seal.start()]
        if hashlib.sha256(content).hexdigest().encode() != seal[1]:
            raise InvalidListError(f"its checksum is not that of its lines: {NOT_COMPLETE}")
        return content
    if checksum:
        raise InvalidListError(f"it doesn't end with its checksum: {NOT_COMPLETE}")
    if data and not data.endswith(b"\n"):
        raise InvalidListError("it doesn't end with the end of a line")
    return data


def _json(data: bytes, checksum: bool) -> ListFile:
    """Parse JSON with msgspec, as the standard library's parser holds Python's lock for longer."""
    found = msgspec.json.decode(data, type=ListFile)
    if checksum or found.sha256:
        digest = json_digest(data)
        if digest is None or found.sha256 != digest.decode():
            raise InvalidListError(f"its sha256 is not that of its bytes: {NOT_COMPLETE}")
    return found


def _lines(text: str) -> Any:
    """Parse lines `host:port [id=..] [zone=..] [cell=..] [weight=..] [drain=true]`; # begins a comment."""
    rows = []
    for number, line in enumerate(text.splitlines(), 1):
        words = line.partition("#")[0].split()
        if not words:
            continue
        row: dict[str, Any] = {"address": words[0], "id": words[0]}
        for word in words[1:]:
            pair = PAIR.fullmatch(word)
            if pair is None:
                raise InvalidListError(f"line {number}: {word!r} is no id=, zone=, cell=, weight= or drain=")
            row[pair[1]] = pair[2]
        try:
            row["weight"] = float(row.get("weight", 1.0))
        except ValueError:
            raise InvalidListError(f"line {number}: the weight is no number") from None
        if row.setdefault("drain", "false") not in ("true", "false"):
            raise InvalidListError(f"line {number}: write drain=true or drain=false")
        row["drain"] = row["drain"] == "true"
        rows.append(row)
    return {"servers": rows}


def _endpoints(table: ListFile) -> tuple[ListedEndpoint, ...]:
    if len(table.servers) > MAX_ENDPOINTS:
        raise InvalidListError(f"more than {MAX_ENDPOINTS} servers")
    return tuple(
        [
            ListedEndpoint(row.id, parse_address(row.address), row.zone, row.cell, row.weight, row.drain)
            for row in table.servers
        ]
    )


def sealed(name: str, data: bytes) -> bytes:
    """Add the checksum to a file's bytes; raises InvalidListError if it is no list."""
    if name.endswith(".json"):
        try:
            found = json.loads(data.decode("utf-8"))
        except ValueError as error:
            raise InvalidListError(f"not JSON: {error}") from None
        if not isinstance(found, dict):
            raise InvalidListError('expected {"servers": [...]}')
        data = json.dumps({**found, "sha256": "0" * 64}, indent=1).encode() + b"\n"
        digest = json_digest(data)
        if digest is None:
            raise InvalidListError("it has two places for a sha256")
        data = JSON_SEAL.sub(lambda match: match[1] + digest + match[3], data)
    else:
        content = SEAL.sub(b"", data)
        data = content + b"\n# sha256: " + hashlib.sha256(content).hexdigest().encode() + b"\n"
    parse(name, data, "", checksum=True)
    return data
