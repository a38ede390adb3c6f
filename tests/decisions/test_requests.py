"""The client of a request: the address of its connection, a header, or what a trusted proxy reports."""

from __future__ import annotations

import pytest

from plovertrail.decisions.requests import client_of, forwarded_address
from plovertrail.decisions.routes import ClientSource, Head, Route

X_FORWARDED_FOR, FORWARDED = b"x-forwarded-for", b"forwarded"


@pytest.mark.parametrize(
    ("header", "value", "address"),
    [
        (X_FORWARDED_FOR, "198.51.100.7", "198.51.100.7"),
        (X_FORWARDED_FOR, "10.0.0.1, 198.51.100.7", "198.51.100.7"),
        (X_FORWARDED_FOR, "198.51.100.7,  2001:DB8::1 ", "2001:db8::1"),
        (X_FORWARDED_FOR, "", ""),
        (X_FORWARDED_FOR, "198.51.100.7,", ""),
        (X_FORWARDED_FOR, "unknown", ""),
        (X_FORWARDED_FOR, "198.51.100.7:80", ""),  # no port in this header
        (FORWARDED, "for=198.51.100.7", "198.51.100.7"),
        (FORWARDED, 'for=10.0.0.1, For="198.51.100.7:4711";proto=http', "198.51.100.7"),
        (FORWARDED, 'for=10.0.0.1;by=203.0.113.60, for="[2001:db8::1]:4711"', "2001:db8::1"),
        (FORWARDED, "for=_hidden", ""),
        (FORWARDED, "proto=http", ""),
    ],
)
def test_the_address_of_the_nearest_proxy_is_used(header: bytes, value: str, address: str) -> None:
    assert forwarded_address(header, value) == address


@pytest.mark.parametrize(
    ("source", "trusted", "client"),
    [
        (ClientSource.ADDRESS, X_FORWARDED_FOR, "192.0.2.1"),
        (ClientSource.FORWARDED, X_FORWARDED_FOR, "198.51.100.7"),
        (ClientSource.FORWARDED, b"", "192.0.2.1"),
        (ClientSource.FORWARDED, FORWARDED, "192.0.2.1"),  # the request lacks the trusted header
        (ClientSource.HEADER, X_FORWARDED_FOR, "app-7"),
    ],
)
def test_the_client_is_read_from_the_source_of_the_route(
    source: ClientSource, trusted: bytes, client: str
) -> None:
    route = Route("r", ("main",), "read", client_from=source, client_header=b"x-client")
    head = Head("GET", "", "/", b"", {X_FORWARDED_FOR: b"203.0.113.5, 198.51.100.7", b"x-client": b"app-7"})
    assert client_of(route, head, "192.0.2.1", trusted) == client
