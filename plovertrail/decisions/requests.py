"""Routes parsed requests, and reads the tenant, client, deadline and key that a route asks for. No I/O."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from plovertrail.decisions.paths import InvalidTargetError, normalise_host, normalise_path, split_target
from plovertrail.decisions.routes import (
    ClientSource,
    Head,
    Route,
    RouteTable,
    TenantSource,
    regex_groups,
    rewritten_path,
)

IDENTIFIER = re.compile(rb"[!-~]{1,128}")


class RequestRejectedError(Exception):
    """A request has to be answered with an error status.

    `why` is the text for the client, `allowed` has the methods that would be accepted if the status is 405.
    """

    def __init__(self, status: int, why: str, allowed: frozenset[str] = frozenset()) -> None:
        super().__init__(why)
        self.status = status
        self.why = why
        self.allowed = allowed


@dataclass(slots=True)
class Routed:
    """A request with its route."""

    route: Route
    head: Head
    target: bytes  # as it is forwarded
    host: bytes  # as the client sent it


def read_head(
    method: bytes,
    target: bytes,
    version: str,
    hosts: list[bytes],
    headers: Mapping[bytes, bytes],
    listener: str = "",
) -> tuple[Head, str, bytes]:
    """Return the head to match, the path to forward, and the host as the client sent it.

    `hosts` has the values of all Host headers. Raises RequestRejectedError (RFC 9112, section 3.2).
    """
    try:
        url_host, raw_path, query = split_target(target)
        if len(hosts) > 1:
            raise InvalidTargetError("more than one Host")
        if not hosts and version != "1.0":
            raise InvalidTargetError("no Host")
        authority = url_host or (hosts[0] if hosts else b"")
        host = normalise_host(authority) if authority else ""
        path, matching_path = normalise_path(raw_path)
    except InvalidTargetError as error:
        raise RequestRejectedError(400, str(error)) from None
    return Head(method.decode("ascii"), host, matching_path, query, headers, listener), path, authority


def route_request(table: RouteTable, head: Head, path: str, host: bytes, body_size: int = 0) -> Routed:
    """Return a request with its route; raises RequestRejectedError."""
    match = table.lookup(head)
    if match.route is None:
        if match.allowed:
            raise RequestRejectedError(405, "no route takes this method here", match.allowed)
        raise RequestRejectedError(404, "no route")
    if match.route.max_body is not None and body_size > match.route.max_body:
        raise RequestRejectedError(413, "the body is longer than this route takes")
    try:
        target = rewritten_path(match.route, path).encode("latin-1")
    except InvalidTargetError as error:
        raise RequestRejectedError(400, str(error)) from None
    if head.query and match.route.keep_query:
        target += b"?" + head.query
    return Routed(match.route, head, target, host)


def template_values(
    head: Head,
    path: str,
    authority: bytes,
    target: bytes,
    address: str,
    client: str,
    request_id: bytes,
    port: int,
    route: Route,
) -> dict[str, str]:
    """Return the values of all placeholders of templates.

    `path` is the path to forward before a rewrite, `target` the target as received. The values have no
    control characters, because the head of a request has none.
    """
    query = head.query.decode("latin-1")
    earlier = head.headers.get(b"x-forwarded-for", b"").decode("latin-1")
    values = {
        "host": head.host,
        "authority": authority.decode("latin-1"),
        "address": address,
        "client": client,
        "forwarded_for": f"{earlier}, {address}" if earlier else address,
        "method": head.method,
        "path": path,
        "query": query,
        "args": f"?{query}" if query else "",
        "uri": target.decode("latin-1") if target.startswith(b"/") else path + (f"?{query}" if query else ""),
        "request_id": request_id.decode("latin-1"),
        "port": str(port),
    }
    return values | {str(number): text for number, text in enumerate(regex_groups(route, head.path), 1)}


@dataclass(slots=True)
class RequestPreview:
    """What routing alone decides for a request, without hooks, limits and endpoints."""

    status: int = 0  # of the response without an endpoint; 0: the request is forwarded
    body: str = ""
    location: str = ""
    head: Head | None = None  # None: the request is malformed
    routed: Routed | None = None
    tenant: str = ""
    forwarded_headers: dict[str, str] = field(default_factory=dict)  # names in lower case


def preview_request(
    table: RouteTable,
    method: str,
    host: str,
    target: str,
    headers: Sequence[tuple[str, str]],
    listener: str,
    port: int,
    address: str,
) -> RequestPreview:
    """Route an HTTP/1.1 request from a client at `address` to a listener, without forwarding it."""
    joined: dict[bytes, bytes] = {}
    for name, value in headers:
        lower_name, raw_value = name.lower().encode("latin-1"), value.encode("latin-1")
        joined[lower_name] = joined[lower_name] + b", " + raw_value if lower_name in joined else raw_value
    raw_target, head = target.encode("latin-1"), None
    try:
        head, path, authority = read_head(
            method.encode(), raw_target, "1.1", [host.encode("latin-1")], joined, listener
        )
        routed = route_request(table, head, path, authority)
    except RequestRejectedError as rejection:
        return RequestPreview(rejection.status, rejection.why, head=head)
    route = routed.route
    values = template_values(head, path, authority, raw_target, address, address, b"", port, route)
    if route.fixed_response is not None:
        fixed = route.fixed_response
        return RequestPreview(
            fixed.status,
            fixed.body.render(values) if fixed.body is not None else "",
            fixed.location.render(values) if fixed.location is not None else "",
            head,
            routed,
        )
    forwarded_headers = {
        name.decode("latin-1"): value.decode("latin-1")
        for name, value in joined.items()
        if name not in route.remove_headers
    }
    forwarded_headers["host"] = host
    forwarded_headers |= {name.decode().lower(): value.decode("latin-1") for name, value in route.set_headers}
    forwarded_headers |= {
        name.decode().lower(): value.render(values) for name, value in route.templated_headers
    }
    return RequestPreview(
        0, "", "", head, routed, tenant_of(route, head, address).decode("latin-1"), forwarded_headers
    )


def tenant_of(route: Route, head: Head, address: str) -> bytes:
    """Return the name of a request's tenant; empty if its route reads none."""
    if route.tenant_from is TenantSource.HEADER:
        return head.headers.get(route.tenant_header, b"")
    if route.tenant_from is TenantSource.HOST:
        return head.host.encode("latin-1")
    if route.tenant_from is TenantSource.ADDRESS:
        return address.encode("ascii")
    return b""


def client_of(route: Route, head: Head, address: str, trusted_header: bytes) -> str:
    """Return the client of a request: the address of its connection, or what its route reads instead.

    `trusted_header` is the header, in lower case, in which the proxy in front reports addresses; empty if no
    proxy is trusted.
    """
    if route.client_from is ClientSource.HEADER:
        return head.headers.get(route.client_header, b"").decode("latin-1")
    if route.client_from is ClientSource.FORWARDED and trusted_header:
        return (
            forwarded_address(trusted_header, head.headers.get(trusted_header, b"").decode("latin-1"))
            or address
        )
    return address


def forwarded_address(header: bytes, value: str) -> str:
    """Return the last address of a Forwarded or X-Forwarded-For header; empty if that is no address.

    The nearest proxy wrote the last one (RFC 7239, section 4); the client may have forged those before it.
    """
    last = value.rpartition(",")[2].strip()
    if header == b"forwarded":
        pairs = (pair.partition("=") for pair in last.split(";"))
        last = next((text.strip() for name, _, text in pairs if name.strip().lower() == "for"), "").strip('"')
        if last.startswith("["):
            last = last[1:].partition("]")[0]
        elif last.count(":") == 1:
            last = last.partition(":")[0]
    try:
        return str(ipaddress.ip_address(last))
    except ValueError:
        return ""


def deadline_us(requested_ms: bytes | None, max_us: int) -> int:
    """Return the deadline of a request; a client may shorten that of its route but not extend it.

    `requested_ms` is the client's header, in whole milliseconds. Raises RequestRejectedError.
    """
    if requested_ms is None:
        return max_us
    if not requested_ms.isdigit() or len(requested_ms) > 9 or int(requested_ms) == 0:
        raise RequestRejectedError(400, "the deadline is no whole number of milliseconds above 0")
    return min(int(requested_ms) * 1000, max_us)


def checked_key(key: bytes | None) -> bytes:
    """Return the idempotency key of a request; raises RequestRejectedError.

    A missing key is rejected because servers could not recognise a duplicate without it.
    """
    if key is None or not IDENTIFIER.fullmatch(key):
        raise RequestRejectedError(400, "this route needs a key header of 1 to 128 printable characters")
    return key
