"""Lists of servers in files: JSON, TOML, or an endpoint a line; whole and good, or refused.

Hazard: a file that is being written is a good file at many of its lengths: a TOML file cut between two
tables, lines cut anywhere, a JSON file rewritten in place from the front. Only a checksum tells them all; see
docs/membership.md for what was weighed.
"""

from __future__ import annotations

import hashlib
import ipaddress
import json
import re
import tomllib
from typing import Any

import msgspec

from plovertrail.config.tables import read_table
from plovertrail.decisions.membership import Address, Candidate, Entry

LARGEST = 8 << 20  # bytes of one file
MOST_SERVERS = 50_000
NOT_WHOLE = "half written, changed by hand, or never sealed (plovertrail seal FILE)"
SEAL = re.compile(rb"\n?# sha256: ([0-9a-f]{64})\n\Z")
JSON_SEAL = re.compile(rb'("sha256"\s*:\s*")([0-9a-f]{64})(")')
PAIR = re.compile(r"(zone|cell|weight|id|drain)=(\S+)")


class BadList(Exception):
    """A file that is not whole, or no list; the text says why."""


class Row(msgspec.Struct, kw_only=True):
    """A server as JSON and TOML write it."""

    id: str
    address: str
    zone: str = ""
    cell: str = ""
    weight: float = 1.0
    drain: bool = False


class ListFile(msgspec.Struct, kw_only=True):
    servers: list[Any]
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
    host, _, port = text.rpartition(":")
    try:
        address = str(ipaddress.IPv4Address(host))
    except ValueError:
        raise BadList(f"{text!r} is no address and port") from None
    if not port.isascii() or not port.isdecimal() or not 0 < int(port[:6]) <= 65_535:
        raise BadList(f"{text!r} has no port")
    return address, int(port)


def parse(name: str, data: bytes, source: str, checksum: bool) -> Candidate:
    """The list in a file's bytes; raises BadList. `checksum`: a file without one, or with a wrong one, is not
    whole; without it, a file is taken for whole when it ends with a line's end."""
    if len(data) > LARGEST:
        raise BadList(f"longer than {LARGEST >> 20} MiB")
    try:
        if name.endswith(".json"):
            found = _json(data, checksum)
        else:
            text = _unsealed(data, checksum).decode("utf-8")
            found = tomllib.loads(text) if name.endswith(".toml") else _lines(text)
    except UnicodeDecodeError as error:
        raise BadList(f"byte {error.start} is not UTF-8") from None
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise BadList(f"not {name.rpartition('.')[2].upper()}: {error or 'nested too deeply'}") from None
    return Candidate(source, *_entries(found))


def _unsealed(data: bytes, checksum: bool) -> bytes:
    seal = SEAL.search(data)
    if seal is not None:
        content = data[:seal.start()]
        if hashlib.sha256(content).hexdigest().encode() != seal[1]:
            raise BadList(f"its checksum is not that of its lines: {NOT_WHOLE}")
        return content
    if checksum:
        raise BadList(f"it doesn't end with its checksum: {NOT_WHOLE}")
    if data and not data.endswith(b"\n"):
        raise BadList("it doesn't end with the end of a line")
    return data


def _json(data: bytes, checksum: bool) -> Any:
    try:
        found = json.loads(data.decode("utf-8"))
    except json.JSONDecodeError as error:
        raise BadList(f"not JSON: {error}") from None
    if isinstance(found, dict) and (checksum or "sha256" in found):
        digest = json_digest(data)
        if digest is None or found.get("sha256") != digest.decode():
            raise BadList(f"its sha256 is not that of its bytes: {NOT_WHOLE}")
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
                raise BadList(f"line {number}: {word!r} is no id=, zone=, cell=, weight= or drain=")
            row[pair[1]] = pair[2]
        try:
            row["weight"] = float(row.get("weight", 1.0))
        except ValueError:
            raise BadList(f"line {number}: the weight is no number") from None
        if row.setdefault("drain", "false") not in ("true", "false"):
            raise BadList(f"line {number}: write drain=true or drain=false")
        row["drain"] = row["drain"] == "true"
        rows.append(row)
    return {"servers": rows}


def _entries(found: object) -> tuple[tuple[Entry, ...], int]:
    problems: list[Any] = []
    table = read_table(ListFile, found, "", problems)
    if table is None:
        raise BadList("; ".join(map(str, problems[:5])))
    if len(table.servers) > MOST_SERVERS:
        raise BadList(f"more than {MOST_SERVERS} servers")
    try:
        rows = msgspec.convert(table.servers, list[Row], strict=True)
        extra = {key for row in table.servers for key in row} - set(Row.__struct_fields__)
    except msgspec.ValidationError as error:
        raise BadList(str(error)) from None
    if extra:
        raise BadList(f"unknown keys of a server: {', '.join(sorted(map(str, extra))[:5])}")
    return tuple(Entry(row.id, endpoint(row.address), row.zone, row.cell, row.weight, row.drain)
                 for row in rows), table.version


def sealed(name: str, data: bytes) -> bytes:
    """The file's bytes with its checksum; raises BadList if it is no list."""
    if name.endswith(".json"):
        try:
            found = json.loads(data.decode("utf-8"))
        except ValueError as error:
            raise BadList(f"not JSON: {error}") from None
        if not isinstance(found, dict):
            raise BadList('expected {"servers": [...]}')
        data = json.dumps({**found, "sha256": "0" * 64}, indent=1).encode() + b"\n"
        digest = json_digest(data)
        if digest is None:
            raise BadList("it has two places for a sha256")
        data = JSON_SEAL.sub(lambda match: match[1] + digest + match[3], data)
    else:
        content = SEAL.sub(b"", data)
        data = content + b"\n# sha256: " + hashlib.sha256(content).hexdigest().encode() + b"\n"
    parse(name, data, "", checksum=True)
    return data
