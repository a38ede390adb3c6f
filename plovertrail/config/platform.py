"""The configuration of one sidecar: the JSON file that BALANCER_CONFIG names."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from plovertrail.config.settings import settings_from_pairs
from plovertrail.decisions.settings import Settings

MEBIBYTE = 1024 * 1024
DEFAULT_MEMORY_MB = 192
MAX_PORT = 65_535


class ConfigurationError(Exception):
    """A configuration file that is not used; says why in one line."""


@dataclass(slots=True)
class Config:
    """All that a sidecar is told at its start."""

    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int  # file descriptors that it may hold
    settings: Settings
    zones: list[str]
    kinds: list[str]
    idle_us: int  # upstreams close a connection that has been idle for this long
    known: Any  # the upstream list as last had, in discovery's form
    memory_bytes: int = DEFAULT_MEMORY_MB * MEBIBYTE  # over which the platform kills the process
    path: str = ""  # the file, to be read again on SIGHUP


def flatten(value: object, path: str = "") -> dict[str, str]:
    """Nested settings as the path=value pairs of the simulator's first message."""
    if isinstance(value, Mapping):
        items = list(value.items())
    elif isinstance(value, list) and (not value or isinstance(value[0], Mapping)):
        items = [("count", len(value)), *enumerate(value)]
    elif isinstance(value, list):
        return {path: ",".join(map(str, value))}
    else:
        return {path: str(value).lower() if isinstance(value, bool) else str(value)}
    pairs: dict[str, str] = {}
    for key, item in items:
        pairs |= flatten(item, f"{path}.{key}" if path else str(key))
    return pairs


def parse_address(text: str) -> tuple[str, int]:
    """The two parts of `host:port`."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or int(port) > MAX_PORT:
        raise ValueError(f"expected host:port, got {text!r}")
    return host, int(port)


def load(path: str) -> Config:
    """Read and check the file; raises ConfigurationError."""
    try:
        with open(path, encoding="utf-8") as file:
            return _parse(json.load(file), path)
    except Exception as error:  # whatever is wrong with a file, it must not end the process that reads it
        raise ConfigurationError(f"{type(error).__name__}: {error}") from error


def _parse(raw: Any, path: str) -> Config:
    settings = raw["settings"]
    pairs = flatten(settings)
    return Config(
        listen=parse_address(raw["listen"]),
        discovery=parse_address(raw["discovery"]),
        seed=int(raw["seed"], 16),
        sockets=int(raw["limits"]["sockets"]),
        settings=settings_from_pairs(pairs),
        zones=list(settings["areas"]),
        kinds=list(settings["kinds"]),
        idle_us=int(float(pairs["bounds.conn-idle"])),
        known=raw.get("known"),
        memory_bytes=int(float(raw["limits"].get("memory_mb", DEFAULT_MEMORY_MB)) * MEBIBYTE),
        path=path,
    )
