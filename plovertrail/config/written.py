"""The operator's file as it is written, table by table. The defaults are told, with their reasons, in
docs/operator.md."""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec

Whole = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Share = Annotated[float, msgspec.Meta(gt=0, le=1)]
Worth = Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]


class LimitsTable(msgspec.Struct, kw_only=True):
    """`[limits]`: the largest messages as sizes with a unit, and where this instance stands among others."""

    max_head: str = "16KiB"
    max_body: str = "1MiB"
    max_answer: str = "1MiB"
    instances: Whole = 1
    zone: str = ""


class ListenerTable(msgspec.Struct, kw_only=True):
    """`[listeners.NAME]`: an IPv4 address and port to accept clients on, with its bounds and headers."""

    address: str
    max_connections: Whole = 1000
    read_timeout: str = "30s"
    idle_timeout: str = "60s"
    forwarded: Literal["off", "x-forwarded-for", "forwarded"] = "off"
    trust_forwarded: bool = False
    request_id_header: str = "X-Request-Id"
    deadline_header: str = "X-Deadline-Ms"


class TenantTable(msgspec.Struct, kw_only=True):
    """`[tenants.NAME]`: the requests a second within the tenant's share, and its weight in a shortage."""

    allowance_per_s: Annotated[float, msgspec.Meta(ge=0)]
    weight: Annotated[float, msgspec.Meta(ge=0, le=1000)] = 1.0
    scope: Literal["instance", "fleet"] = "instance"


class ClassTable(msgspec.Struct, kw_only=True):
    """`[classes.NAME]`: whether requests may be repeated, and what an answer is worth by when it comes."""

    effect: Literal["safe", "keyed", "unsafe"]
    aim: str
    deadline: str
    worth: Worth = 1.0
    late_worth: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.5
    key_header: str | None = None
    group: Literal["all", "zone", "cell"] | None = None
    memory: str | None = None


class OverrideTable(msgspec.Struct, kw_only=True):
    """`[pools.NAME.classes.CLASS]`: values that replace those of the class in this pool; None keeps the
    class's."""

    aim: str | None = None
    worth: Worth | None = None
    late_worth: Annotated[float, msgspec.Meta(ge=0, le=1)] | None = None


class ServerTable(msgspec.Struct, kw_only=True):
    """One row of a pool's `servers`; `id` is unique within the pool, `address` is an IPv4 address and
    port."""

    id: str
    address: str
    zone: str = ""
    cell: str = ""
    weight: Annotated[float, msgspec.Meta(gt=0, le=1000)] = 1.0
    drain: bool = False


class GuardsTable(msgspec.Struct, kw_only=True):
    """`[pools.NAME.guards]`: the checks that a list has to pass before it replaces the last good one."""

    allow_empty: bool = False
    most_dropped: Share = 0.5
    judged_from: Whole = 4
    allow_older: bool = False
    largest_weight: Annotated[float, msgspec.Meta(gt=0, le=1_000_000)] = 1000.0
    zones: list[str] = []
    damping: bool = True


class ShareTable(msgspec.Struct, kw_only=True):
    """`[pools.NAME.share]`: what one server bears from all instances together; 0 means no limit."""

    servers: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 0
    connections: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 0
    dials_per_s: Annotated[float, msgspec.Meta(ge=0, le=1_000_000)] = 0.0


class FairTable(msgspec.Struct, kw_only=True):
    """`[pools.NAME.fair]`: how tenants share the pool's slots by weight, and the bounds of the queue for
    them."""

    default_weight: Annotated[float, msgspec.Meta(ge=0, le=1000)] = 1.0
    max_waiting: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 256
    max_wait: str = "200ms"


class FleetTable(msgspec.Struct, kw_only=True):
    """`[fleet]`: the name of this instance, and the list of all instances that share the servers."""

    name: str = ""
    instances_from: str = ""
    slow_start: bool = True


class PoolTable(msgspec.Struct, kw_only=True):
    """`[pools.NAME]`: the servers and how requests are sent to them. Nested tables are left raw, and are
    checked one by one, so that all problems are reported together."""

    servers: list[Any] = []
    servers_from: list[str] = []
    whole: Literal["checksum", "settled"] = "checksum"
    guards: dict[str, Any] = {}
    attempts: Annotated[int, msgspec.Meta(ge=1, le=10)] = 3
    connect_timeout: str = "500ms"
    idle_timeout: str = "4s"
    max_connections: Whole | None = None  # an even part of the descriptors, 256 at most
    retry_after: str = "2s"
    warm_up: str = "10s"
    cold_share: Share = 0.3
    overload_factor: Annotated[float, msgspec.Meta(gt=0, le=100)] = 2.0
    fall: str = "2s"
    second_copies: bool = False
    cross_zone_cost: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    max_sockets: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 0
    max_sockets_per_server: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 0
    share: dict[str, Any] = {}
    fair: dict[str, Any] | None = None
    affinity: str | None = None
    classes: dict[str, Any] = {}


class WebSocketTable(msgspec.Struct, kw_only=True):
    """`[websockets.NAME]`: who may open WebSockets on a route, and the bounds on their messages and times."""

    origins: list[str] = []
    max_message: str = "64KiB"
    messages_per_s: Annotated[float, msgspec.Meta(ge=0, le=1_000_000)] = 100.0
    burst: Whole = 200
    max_per_tenant: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 0
    lifetime: str = "0s"
    idle_timeout: str = "5m"
    ping_interval: str = "20s"
    ping_timeout: str = "10s"
    slow_timeout: str = "10s"
    drain_grace: str = "5s"
    drain_spread: str = "10s"
    close_timeout: str = "5s"


class RespondTable(msgspec.Struct, kw_only=True):
    """`respond` of a route: the fixed answer that it gives in place of a server's."""

    status: Annotated[int, msgspec.Meta(ge=200, le=599)]
    location: str | None = None
    body: str | None = None
    content_type: str = "text/plain"


class RouteTableRow(msgspec.Struct, kw_only=True, rename={"class_name": "class"}):
    """One of `[[routes]]`: the conditions on a request, and what happens to the requests that meet them."""

    name: str
    pools: Annotated[list[str], msgspec.Meta(max_length=8)] = []
    class_name: str = ""
    respond: dict[str, Any] | None = None
    listeners: list[str] = []
    hosts: list[str] = []
    path: str | None = None
    path_exact: str | None = None
    path_regex: str | None = None
    path_within: str = ""
    path_except: list[str] = []
    methods: list[str] = []
    headers: dict[str, str | bool] = {}
    query: dict[str, str | bool] = {}
    priority: Annotated[int, msgspec.Meta(ge=-1_000_000, le=1_000_000)] = 0
    deadline: str | None = None
    max_body: str | None = None
    rewrite: str | None = None
    keep_query: bool = True
    set_headers: dict[str, str] = {}
    remove_headers: list[str] = []
    tenant: str | None = None
    client: str = "address"
    limiters: list[str] = []
    websocket: str | None = None
    hooks: list[str] = []
    on_hook_fault: Literal["fail", "pass"] = "fail"
    hook_classes: list[str] = []


class DaemonTable(msgspec.Struct, kw_only=True):
    """`[daemon]`: paths of the state file, the control socket and the socket log, and when the file is read
    again."""

    state_file: str = ""
    control_socket: str = ""
    socket_log: str = ""
    reload: Literal["signal", "watch"] = "signal"


class FileTable(msgspec.Struct, kw_only=True):
    """The whole file by its top-level keys. Nested tables are left raw, and are checked one by one, so that
    all problems are reported together."""

    listeners: dict[str, Any]
    pools: dict[str, Any]
    classes: dict[str, Any]
    routes: list[Any]
    limits: dict[str, Any] = {}
    tenants: dict[str, Any] = {}
    daemon: dict[str, Any] = {}
    websockets: dict[str, Any] = {}
    fleet: dict[str, Any] = {}
    hooks: dict[str, Any] = {}
    limiters: dict[str, Any] = {}
    peers: dict[str, Any] = {}
    fellows: dict[str, Any] | None = None
