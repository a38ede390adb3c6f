"""Lists of servers in files: JSON, TOML, or an endpoint a line; whole and good, or refused.

Hazard: a file that is being written is a good file at many of its lengths: a TOML file cut between two
tables, lines cut anywhere, a JSON file rewritten in place from the front. Only a checksum tells them all; see
docs/membership.md for what was weighed.
"""

from __future__ import annotations

import hashlib
import json
import re
import tomllib
from typing import Any

import msgspec

from plovertrail.decisions.endpoint_list import Address, EndpointList, ListedEndpoint

LARGEST = 8 << 20  # bytes of one file
MOST_SERVERS = 50_000
NOT_WHOLE = "half written, changed by hand, or never sealed (plovertrail seal FILE)"
SEAL = re.compile(rb"\n?# sha256: ([0-9a-f]{64})\n\Z")
JSON_SEAL = re.compile(rb'("sha256"\s*:\s*")([0-9a-f]{64})(")')
OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
ENDPOINT = re.compile(rf"({OCTET}(?:\.{OCTET}){{3}}):([0-9]{{1,5}})")  # ten times as fast as ipaddress
PAIR = re.compile(r"(zone|cell|weight|id|drain)=(\S+)")


class InvalidListError(Exception):
    """A file that is not whole, or no list; the text says why."""


class Row(msgspec.Struct, kw_only=True, forbid_unknown_fields=True, gc=False):
    """A server as JSON and TOML write it."""

    id: str
    address: str
    zone: str = ""
    cell: str = ""
    weight: float = 1.0
    drain: bool = False


class ListFile(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A whole list as JSON and TOML write it; `version` 0 means none, and `sha256` is the digest
    of a JSON list in hex, empty if it has none."""

    servers: list[Row]
    version: int = 0
    sha256: str = ""


def json_digest(data: bytes) -> bytes | None:
    """Of a JSON list: of all its bytes, with zeros in the digest's place. None: it has no place, or two.
    Hazard: to write 10,000 servers anew, in one order, would hold up the loop though on another thread."""
    found = JSON_SEAL.findall(data)
    if len(found) != 1:
        return None
    blank = JSON_SEAL.sub(lambda match: match[1] + b"0" * 64 + match[3], data)
    return hashlib.sha256(blank).hexdigest().encode()


def endpoint(text: str) -> Address:
    """An IPv4 address and a port. Hazard: a name would be looked up."""
    found = ENDPOINT.fullmatch(text)
    if found is None:
        raise InvalidListError(f"{text!r} is no address and port")
    port = int(found[2])
    if not 0 < port <= 65_535:
        raise InvalidListError(f"{text!r} has no port")
    return found[1], port


def parse(name: str, data: bytes, source: str, checksum: bool) -> EndpointList:
    """The list in a file's bytes; raises InvalidListError. `checksum`: a file without one, or with a wrong
    one, is not whole; without it, a file is taken for whole when it ends with a line's end."""
    if len(data) > LARGEST:
        raise InvalidListError(f"longer than {LARGEST >> 20} MiB")
    try:
        if name.endswith(".json"):
            table = _json(data, checksum)
        else:
            text = _unsealed(data, checksum).decode("utf-8")
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
    return EndpointList(source, _entries(table), table.version)


def _unsealed(data: bytes, checksum: bool) -> bytes:
    seal = SEAL.search(data)
    if seal is not None:
        content = data[: seal.start()]
        if hashlib.sha256(content).hexdigest().encode() != seal[1]:
            raise InvalidListError(f"its checksum is not that of its lines: {NOT_WHOLE}")
        return content
    if checksum:
        raise InvalidListError(f"it doesn't end with its checksum: {NOT_WHOLE}")
    if data and not data.endswith(b"\n"):
        raise InvalidListError("it doesn't end with the end of a line")
    return data


def _json(data: bytes, checksum: bool) -> ListFile:
    """Straight from the bytes. Hazard: the standard library's reader holds all threads up for longer."""
    found = msgspec.json.decode(data, type=ListFile)
    if checksum or found.sha256:
        digest = json_digest(data)
        if digest is None or found.sha256 != digest.decode():
            raise InvalidListError(f"its sha256 is not that of its bytes: {NOT_WHOLE}")
    return found


def _lines(text: str) -> Any:
    """`host:port [id=..] [zone=..] [cell=..] [weight=..] [drain=true]`; # begins a comment."""
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


def _entries(table: ListFile) -> tuple[ListedEndpoint, ...]:
    if len(table.servers) > MOST_SERVERS:
        raise InvalidListError(f"more than {MOST_SERVERS} servers")
    return tuple(
        [
            ListedEndpoint(row.id, endpoint(row.address), row.zone, row.cell, row.weight, row.drain)
            for row in table.servers
        ]
    )


def sealed(name: str, data: bytes) -> bytes:
    """The file's bytes with its checksum; raises InvalidListError if it is no list."""
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
