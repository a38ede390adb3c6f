"""Prepares HTTP requests for the dispatcher: finds the route, runs its hooks and builds the headers."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass

from plovertrail.clock import clock_us
from plovertrail.config.setup import ListenerSetup
from plovertrail.decisions.requests import (
    IDENTIFIER,
    Routed,
    checked_key,
    client_of,
    deadline_us,
    read_head,
    route_request,
    template_values,
    tenant_of,
)
from plovertrail.decisions.routes import FixedResponse, Head
from plovertrail.dispatch.types import ProxyRequest
from plovertrail.generation import Generation, RoutePlan, headers_replaced_by
from plovertrail.hooks.chain import Seen, Trail
from plovertrail.http1.heads import Headers, end_to_end
from plovertrail.listeners.http_exchange import HttpExchange, LocalResponse
from plovertrail.listeners.websocket_service import HandshakeContext, WebSocketService
from plovertrail.websocket.handshake import (
    HANDSHAKE_HEADERS,
    check_origin,
    check_request,
    is_websocket_upgrade,
)

STATUSES_WITHOUT_BODY = (204, 304)
REQUEST_ID_BYTES = 16
KEY_HASH_MASK = 0xFFFF_FFFF_FFFF_FFFF


@dataclass(frozen=True, slots=True)
class ClientContext:
    """The client of a request: its address, and when the last byte of the request arrived."""

    address: str
    arrived_us: int
    is_disconnected: Callable[[], bool]


@dataclass(frozen=True, slots=True)
class _RoutedRequest:
    """A request whose route is known."""

    exchange: HttpExchange
    client: ClientContext
    headers: dict[bytes, bytes]  # by lower-case name; repeated ones are joined with commas
    head: Head
    path: str  # as it is forwarded
    authority: bytes
    routed: Routed


class RequestForwarder:
    """Prepares the requests of one listener."""

    def __init__(self, listener: ListenerSetup, websockets: WebSocketService) -> None:
        self.websockets = websockets
        self.configure(listener)

    def configure(self, listener: ListenerSetup) -> None:
        """Apply a new configuration of the listener."""
        self.listener = listener
        self.replaced_headers = headers_replaced_by(listener)
        # the header in which a trusted proxy in front passes client addresses; empty if none is trusted
        self.trusted_header = listener.forwarded.encode() if listener.trust_forwarded else b""

    def prepare(
        self, exchange: HttpExchange, generation: Generation, client: ClientContext
    ) -> ProxyRequest | LocalResponse:
        """Find the route of an exchange; return the request to forward, or the route's fixed response.

        Fills in the plan, hooks and handshake of the exchange. Raises RequestRejectedError, HandshakeError,
        HandshakeRejectedError or RequestRefusedError.
        """
        request = self._route(exchange, generation, client)
        route = request.routed.route
        if route.fixed_response is not None:
            values = self._template_values(request, b"", client.address)
            return fixed_response(route.fixed_response, values)
        plan = generation.plans[route.name]
        wait_us = deadline_us(request.headers.get(self.listener.deadline_header), plan.deadline_us)
        tenant_name = tenant_of(route, request.head, client.address)
        if plan.hook_chain is not None:
            hooks = self._run_hooks(request, plan, wait_us, tenant_name)
            tenant_name = hooks.changes.tenant
            plan = plan.by_class.get(hooks.changes.class_name, plan)
            wait_us = min(wait_us, plan.deadline_us)
        key = checked_key(request.headers.get(plan.key_header)) if plan.key_header else b""
        request_id = self._request_id(request)
        client_name = client_of(route, request.head, client.address, self.trusted_header)
        headers, host = self._forwarded_headers(request, plan, request_id, client_name)
        exchange.plan = plan
        if plan.websocket is not None and is_websocket_upgrade(exchange.message.headers):
            headers = [header for header in headers if header[0].lower() not in HANDSHAKE_HEADERS]
            self._request_session(exchange, plan, request_id, tenant_name)
        return ProxyRequest(
            exchange.message.method,
            request.routed.target,
            headers,
            exchange.message.body,
            client.arrived_us,
            wait_us,
            plan.class_index,
            request_id,
            generation.tenants.get(tenant_name, len(generation.tenants)),
            hash(key) & KEY_HASH_MASK if key else 0,
            host=host,
            handshake=exchange.handshake,
            tenant_name=tenant_name.decode("latin-1"),
            client=client_name,
            client_disconnected=client.is_disconnected,
        )

    def _route(self, exchange: HttpExchange, generation: Generation, client: ClientContext) -> _RoutedRequest:
        message = exchange.message
        headers: dict[bytes, bytes] = {}
        hosts: list[bytes] = []
        for name, value in message.headers:
            lower_name = name.lower()
            if lower_name == b"host":
                hosts.append(value)
            headers[lower_name] = headers[lower_name] + b", " + value if lower_name in headers else value
        head, path, authority = read_head(
            message.method, message.target, message.version, hosts, headers, self.listener.name
        )
        routed = route_request(generation.setup.routes, head, path, authority, len(message.body))
        return _RoutedRequest(exchange, client, headers, head, path, authority, routed)

    def _request_id(self, request: _RoutedRequest) -> bytes:
        """Return the request id that the client sent, or a new one if that is missing or invalid."""
        request_id = request.headers.get(self.listener.request_id_header.lower(), b"")
        if IDENTIFIER.fullmatch(request_id):
            return request_id
        return os.urandom(REQUEST_ID_BYTES).hex().encode()

    @staticmethod
    def _run_hooks(request: _RoutedRequest, plan: RoutePlan, wait_us: int, tenant_name: bytes) -> Trail:
        """Run the hooks of a route on a request; raises RequestRefusedError."""
        assert plan.hook_chain is not None
        head = request.head
        message = request.exchange.message
        client = request.client
        seen = Seen(
            message.method,
            head.path,
            head.query,
            head.host,
            client.address,
            message.headers,
            message.body,
            tenant_name,
        )
        hooks = Trail(plan.hook_chain, seen, client.arrived_us + wait_us, clock_us)
        # set before the hooks run, because they are also told the end of a request that they refuse
        request.exchange.hooks = hooks
        hooks.request()
        return hooks

    def _forwarded_headers(
        self, request: _RoutedRequest, plan: RoutePlan, request_id: bytes, client_name: str
    ) -> tuple[Headers, bytes]:
        """Return the headers and the host to send to an endpoint."""
        exchange = request.exchange
        headers = end_to_end(exchange.message.headers, plan.removed_headers | self.replaced_headers)
        if exchange.hooks is not None:
            headers = exchange.hooks.changes.apply(headers)
        headers.extend(plan.set_headers)
        headers.append((self.listener.request_id_header, request_id))
        if self.listener.forwarded != "off":
            headers.append(self._forwarded_header(request))
        host = plan.host or request.authority
        if plan.templated_headers or plan.host_template is not None:
            values = self._template_values(request, request_id, client_name)
            headers.extend(
                (name, value.render(values).encode("latin-1")) for name, value in plan.templated_headers
            )
            if plan.host_template is not None:
                host = plan.host_template.render(values).encode("latin-1")
        return headers, host

    def _forwarded_header(self, request: _RoutedRequest) -> tuple[bytes, bytes]:
        """Return the header with the client address (RFC 7239), appended to the value of a trusted proxy."""
        listener = self.listener
        element = request.client.address.encode()
        if listener.forwarded == "forwarded":
            element = b"for=" + element + b";proto=http"
            if request.authority:
                element += b';host="' + request.authority.replace(b'"', b"") + b'"'
        received = request.headers.get(listener.forwarded.encode(), b"") if listener.trust_forwarded else b""
        name = b"Forwarded" if listener.forwarded == "forwarded" else b"X-Forwarded-For"
        return name, received + b", " + element if received else element

    def _template_values(
        self, request: _RoutedRequest, request_id: bytes, client_name: str
    ) -> dict[str, str]:
        """Return the values for the variables of the route's templates."""
        routed = request.routed
        return template_values(
            routed.head,
            request.path,
            routed.host,
            request.exchange.message.target,
            request.client.address,
            client_name,
            request_id,
            self.listener.address[1],
            routed.route,
        )

    def _request_session(
        self, exchange: HttpExchange, plan: RoutePlan, request_id: bytes, tenant_name: bytes
    ) -> None:
        """Request a WebSocket session; raises HandshakeError or HandshakeRejectedError."""
        message = exchange.message
        assert plan.websocket is not None
        check_origin(message.headers, plan.websocket.origins)
        client_key, offered = check_request(message.method, message.version, message.headers)
        context = HandshakeContext(request_id, tenant_name, self.listener.name, plan)
        exchange.handshake = self.websockets.request(context, client_key, offered)


def fixed_response(fixed: FixedResponse, values: dict[str, str]) -> LocalResponse:
    """Return the response of a route that has a fixed response."""
    body = fixed.body.render(values).encode() if fixed.body is not None else b""
    headers: Headers = [(b"Content-Type", fixed.content_type.encode("latin-1"))] if body else []
    if fixed.location is not None:
        headers.append((b"Location", fixed.location.render(values).encode("latin-1")))
    has_length = fixed.status not in STATUSES_WITHOUT_BODY
    return LocalResponse(fixed.status, body, headers, has_length=has_length)
