"""The configuration of one sidecar: the JSON file that BALANCER_CONFIG names."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from plovertrail.config.settings import settings_from_pairs
from plovertrail.decisions.settings import Settings

MEBIBYTE = 1024 * 1024
DEFAULT_MEMORY_MB = 192
MAX_PORT = 65_535
# which the platform may leave out of a complete file
OPTIONAL_KEYS = frozenset(("known", "aim-stretch", "passes-deadline", "warm-keys", "fleet"))


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
    document: Mapping[str, Any] = field(default_factory=dict)  # the file's content, without the known list
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


def parse_remote_address(text: str) -> tuple[str, int]:
    """The two parts of `host:port` to connect to."""
    host, port = parse_address(text)
    if port == 0:
        raise ValueError(f"expected a port to connect to, got {text!r}")
    return host, port


def kind_of(value: object) -> type:
    """The kind of a JSON value; whole and other numbers are one kind."""
    if isinstance(value, int | float) and not isinstance(value, bool):
        return float
    return type(value)


def missing_keys(expected: object, given: object, path: str = "") -> list[str]:
    """The paths of the keys that one part of a file has and the same part of another lacks.

    A key or an item of a list is lacking too if its value is null or of another kind. Each object of a list
    needs the keys that all objects of the expected list have; the lengths of the lists may differ.
    """
    if kind_of(given) is not kind_of(expected):
        return [path]
    if isinstance(expected, Mapping):
        return _missing_of_object(expected, given, path)
    if not isinstance(expected, list) or not isinstance(given, list):
        return []
    if not all(isinstance(item, Mapping) for item in expected):
        kinds = {kind_of(item) for item in expected}
        return [f"{path}[{index}]" for index, item in enumerate(given) if kind_of(item) not in kinds]
    if not expected:
        return []
    common = {key: value for key, value in expected[0].items() if all(key in item for item in expected)}
    return [
        missing
        for index, item in enumerate(given)
        for missing in _missing_of_object(common, item, f"{path}[{index}]")
    ]


def _missing_of_object(expected: Mapping[str, Any], given: object, path: str) -> list[str]:
    if not isinstance(given, Mapping):
        return [path]
    missing: list[str] = []
    for key, value in expected.items():
        key_path = f"{path}.{key}" if path else key
        if key in OPTIONAL_KEYS or value is None:
            continue
        if given.get(key) is None:
            missing.append(key_path)
        else:
            missing += missing_keys(value, given[key], key_path)
    return missing


def load(path: str) -> Config:
    """Read and check the file; raises ConfigurationError."""
    try:
        with open(path, encoding="utf-8") as file:
            return _parse(json.load(file), path)
    except Exception as error:  # whatever is wrong with a file, it must not end the process that reads it
        raise ConfigurationError(f"{type(error).__name__}: {error}") from error


def load_successor(path: str, current: Config) -> Config:
    """Read and check a file that is to replace the one in force; raises ConfigurationError.

    What the file in force has and the new one lacks was cut off, or never written: with defaults in its
    place, a part of a file would be applied.
    """
    successor = load(path)
    if missing := missing_keys(current.document, successor.document):
        raise ConfigurationError(f"keys are missing or of another kind: {', '.join(missing)}")
    return successor


def _parse(raw: Any, path: str) -> Config:
    settings = raw["settings"]
    pairs = flatten(settings)
    return Config(
        listen=parse_address(raw["listen"]),
        discovery=parse_remote_address(raw["discovery"]),
        seed=int(raw["seed"], 16),
        sockets=int(raw["limits"]["sockets"]),
        settings=settings_from_pairs(pairs),
        zones=list(settings["areas"]),
        kinds=list(settings["kinds"]),
        idle_us=int(float(pairs["bounds.conn-idle"])),
        known=raw.get("known"),
        memory_bytes=int(float(raw["limits"].get("memory_mb", DEFAULT_MEMORY_MB)) * MEBIBYTE),
        document={key: value for key, value in raw.items() if key != "known"},
        path=path,
    )
