"""What a daemon is built from: the values of a checked operator's file."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from plovertrail.config.fellows import FellowsSetup
from plovertrail.config.hooks import HookSetup
from plovertrail.config.peers import PeersSetup
from plovertrail.decisions import sockets
from plovertrail.decisions.affinity import Affinity
from plovertrail.decisions.endpoint_list import Entry, Guards
from plovertrail.decisions.fairness import DoorSettings
from plovertrail.decisions.interface import RequestClass, Settings, Tenant
from plovertrail.decisions.limits import LimiterSettings
from plovertrail.decisions.routes import RouteTable
from plovertrail.decisions.share import Bounds, Fleet


@dataclass(frozen=True, slots=True)
class MessageLimits:
    """Bounds of a message, in bytes."""

    max_head: int
    max_body: int
    max_answer: int


@dataclass(frozen=True, slots=True)
class ListenerSetup:
    """A checked `[listeners.NAME]` table: the address that clients connect to, and what is read from them."""

    name: str
    address: tuple[str, int]
    max_connections: int
    read_us: int  # to send one request
    idle_us: int
    forwarded: str
    trust_forwarded: bool
    request_id_header: bytes
    deadline_header: bytes


@dataclass(frozen=True, slots=True)
class PoolSetup:
    """A checked `[pools.NAME]` table: its servers, the lists with more of them, and the bounds on their
    use."""

    name: str
    settings: Settings
    idle_us: int
    max_connections: int
    servers: tuple[Entry, ...]
    home_zone: str
    files: tuple[str, ...]  # paths of further lists, the one that wins first
    checksum: bool  # these must carry one
    guards: Guards
    max_sockets: int  # beside its connections for requests; 0 = none
    max_sockets_per_server: int
    bounds: Bounds  # what one of its servers bears from all instances
    door: DoorSettings | None  # None: requests take slots as they come
    affinity: Affinity | None  # None: requests prefer no server
    even_part: bool = False  # max_connections is not written, and may change with the other pools

    @property
    def lists(self) -> list[tuple[str, bool]]:
        """Each further list's path, and whether it must carry a checksum."""
        return [(path, self.checksum) for path in self.files]


@dataclass(frozen=True, slots=True)
class WebSocketSetup:
    """What a route's sockets may do, and who may open them."""

    origins: frozenset[str]  # in lower case; empty: any
    limits: sockets.Limits


@dataclass(frozen=True, slots=True)
class FleetSetup:
    """The instances that share the pools' servers."""

    fleet: Fleet
    list_path: str  # the file that lists them, and so tells their number; empty: none
    name: str = ""  # of this instance, as the list has it
    slow_start: bool = True  # lets in more as answers come, after a start or a gap


@dataclass(frozen=True, slots=True)
class HookedRoute:
    """The hooks that a route's requests go through, and what these may choose."""

    hooks: tuple[str, ...]  # in their order
    passes: bool  # without a hook that can't be asked; else the request fails
    classes: tuple[str, ...]  # that may take the place of the route's own


@dataclass(frozen=True, slots=True)
class Setup:
    """A whole file, checked."""

    path: str
    limits: MessageLimits
    listeners: tuple[ListenerSetup, ...]
    pools: Mapping[str, PoolSetup]
    classes: tuple[RequestClass, ...]
    key_headers: tuple[bytes, ...]  # of each class; empty where it has none
    tenants: tuple[Tenant, ...]
    routes: RouteTable
    state_file: str  # empty: none
    control_socket: str
    socket_log: str  # empty: standard error
    websockets: Mapping[str, WebSocketSetup]
    fleet: FleetSetup
    hooks: Mapping[str, HookSetup]
    hooked: Mapping[str, HookedRoute]  # by the routes' names; those that have hooks
    limiters: Mapping[str, LimiterSettings]
    limited: Mapping[str, tuple[str, ...]]  # the limiters of routes, by the routes' names
    peers: PeersSetup | None  # None: this instance counts alone
    fleet_tenants: frozenset[int]  # the tenants whose allowance is for all instances
    fellows: FellowsSetup | None  # None: instances don't know one another
    watched: bool = False  # the file is read again when it changes, and not on SIGHUP alone
    digest: str = ""  # SHA-256 of the file's bytes, in hex; empty: they were given as a text

    def classes_at(self, pool: str) -> list[RequestClass]:
        """Those whose requests may go to a pool."""
        names = {
            name
            for route in self.routes.routes
            if pool in route.pools
            for name in (route.class_name, *self.chosen_classes(route.name))
        }
        return [kind for kind in self.classes if kind.name in names]

    def chosen_classes(self, route: str) -> tuple[str, ...]:
        """The classes that hooks may choose for a route's requests."""
        return self.hooked[route].classes if route in self.hooked else ()

    def class_index(self, name: str) -> int:
        """The position of a class in `classes`, by its name; raises StopIteration if no class has that
        name."""
        return next(i for i, kind in enumerate(self.classes) if kind.name == name)
