"""An operator's file with many services, each with a list of servers in a file of its own."""

from __future__ import annotations

import json
import os
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from fakes.ports import free_port
from plovertrail.sources.lists import sealed

PROBE_PATH = "/probe"
CONFIGURATION_PATH = "/configuration"
LISTENER_CONNECTIONS = 200
# of one pool: the sum over all services must stay below the descriptors of a process
POOL_CONNECTIONS = 48
UNUSED_PORT = 9

SITE = """\
[daemon]
control_socket = "{folder}/{name}.control"
{state_file}{reload}
[listeners.web]
address = "127.0.0.1:{port}"
max_connections = {listener_connections}
[classes.read]
effect = "safe"
aim = "400ms"
deadline = "1200ms"
[[routes]]
name = "probe"
path_exact = "{probe_path}"
respond = {{ status = 200, body = "up" }}
[[routes]]
name = "configuration"
path_exact = "{configuration_path}"
respond = {{ status = 200, body = "{configuration}" }}
"""
SERVICE = """\
[pools.{service}]
servers_from = ["{path}"]
whole = "{whole}"
max_connections = {connections}
{idle_timeout}[pools.{service}.guards]
most_dropped = 1.0
damping = false
[[routes]]
name = "{service}"
path = "/{service}"
class = "read"
pools = ["{service}"]
"""


@dataclass(frozen=True, slots=True)
class ListedServer:
    """One entry of a list."""

    id: str
    address: str
    weight: float = 1.0
    drain: bool = False


@dataclass(frozen=True, slots=True)
class Replacement:
    """A list that lies beside the one that it takes the place of."""

    beside: Path
    path: Path

    def apply(self) -> None:
        """Rename it into place."""
        os.replace(self.beside, self.path)


@dataclass
class ServiceSite:
    """The files of one daemon. `addresses` are shared by all services; with fewer than `servers` of them the
    rest are addresses where nothing listens. With `linked` each list is a link to a file in another folder:
    no notification on the list's own folder tells of a change. Without `checksums` a list is taken once it
    has stayed as it is for a while. `idle_timeout`, if any, is that of all pools."""

    folder: Path
    services: int
    servers: int
    addresses: Sequence[str] = ()
    name: str = "site"
    linked: bool = False
    state: bool = False
    checksums: bool = True
    reload: str = ""
    idle_timeout: str = ""
    port: int = field(default_factory=free_port)
    configuration: int = 1

    @property
    def path(self) -> Path:
        """The operator's file."""
        return self.folder / f"{self.name}.toml"

    @property
    def control_socket(self) -> Path:
        """Where the daemon answers `plovertrail status`."""
        return self.folder / f"{self.name}.control"

    @property
    def state_file(self) -> Path:
        """What the daemon keeps over a restart."""
        return self.folder / f"{self.name}.state"

    def service_names(self) -> list[str]:
        """The pools, and the first parts of their paths."""
        return [f"service-{number}" for number in range(self.services)]

    def list_path(self, service: str) -> Path:
        """The list's name in the operator's file."""
        return self.folder / "lists" / f"{service}.json"

    def write(self) -> None:
        """Write the operator's file and all lists."""
        self.write_lists()
        self.write_configuration()

    def write_lists(self) -> None:
        """Write all lists, in version 1."""
        (self.folder / "lists").mkdir(exist_ok=True)
        if self.linked:
            (self.folder / "targets").mkdir(exist_ok=True)
        for service in self.service_names():
            target = self._target(service)
            target.write_bytes(list_bytes(self.listed(), 1, self.checksums))
            if self.linked:
                self.list_path(service).symlink_to(target)

    def write_configuration(self) -> None:
        """Replace the operator's file as a whole."""
        head = SITE.format(
            folder=self.folder,
            name=self.name,
            state_file=f'state_file = "{self.state_file}"\n' if self.state else "",
            reload=f'reload = "{self.reload}"\n' if self.reload else "",
            port=self.port,
            listener_connections=LISTENER_CONNECTIONS,
            probe_path=PROBE_PATH,
            configuration_path=CONFIGURATION_PATH,
            configuration=self.configuration,
        )
        services = [
            SERVICE.format(
                service=service,
                path=self.list_path(service),
                whole="checksum" if self.checksums else "settled",
                connections=POOL_CONNECTIONS,
                idle_timeout=f'idle_timeout = "{self.idle_timeout}"\n' if self.idle_timeout else "",
            )
            for service in self.service_names()
        ]
        beside = self.path.with_suffix(".tmp")
        beside.write_text(head + "".join(services))
        os.replace(beside, self.path)

    def listed(self, first_weight: float = 1.0, first_drains: bool = False) -> list[ListedServer]:
        """The servers of any service; a change is one of its first server."""
        rows = [ListedServer(f"s{number}", self._address(number)) for number in range(self.servers)]
        first = ListedServer(rows[0].id, rows[0].address, first_weight, first_drains)
        return [first, *rows[1:]]

    def prepare(self, service: str, version: int, first_drains: bool = False) -> Replacement:
        """A list of this version beside the one in force; its first server's weight differs from that of the
        version before."""
        weight = 2.0 - version % 2
        target = self._target(service)
        beside = target.with_suffix(".tmp")
        beside.write_bytes(list_bytes(self.listed(weight, first_drains), version, self.checksums))
        return Replacement(beside, target)

    def _target(self, service: str) -> Path:
        if self.linked:
            return self.folder / "targets" / f"{service}.json"
        return self.list_path(service)

    def _address(self, number: int) -> str:
        if number < len(self.addresses):
            return self.addresses[number]
        return f"127.100.{number // 250}.{number % 250 + 1}:{UNUSED_PORT}"


def list_bytes(servers: Sequence[ListedServer], version: int, checksum: bool = True) -> bytes:
    """A list as it lies in a file, with its checksum or without."""
    rows = [
        {"id": each.id, "address": each.address, "weight": each.weight, "drain": each.drain}
        for each in servers
    ]
    data = json.dumps({"version": version, "servers": rows}).encode()
    return sealed("list.json", data) if checksum else data
