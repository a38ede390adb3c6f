"""Whose request it is: the address of its connection, a header, or what a trusted proxy tells."""

from __future__ import annotations

import pytest

from plovertrail.decisions.requests import client_of, forwarded_address
from plovertrail.decisions.routes import ClientSource, Head, Route

XFF, RFC = b"x-forwarded-for", b"forwarded"


@pytest.mark.parametrize(
    ("header", "value", "address"),
    [
        (XFF, "198.51.100.7", "198.51.100.7"),
        (XFF, "10.0.0.1, 198.51.100.7", "198.51.100.7"),
        (XFF, "198.51.100.7,  2001:DB8::1 ", "2001:db8::1"),
        (XFF, "", ""),
        (XFF, "198.51.100.7,", ""),
        (XFF, "unknown", ""),
        (XFF, "198.51.100.7:80", ""),  # no port in this header
        (RFC, "for=198.51.100.7", "198.51.100.7"),
        (RFC, 'for=10.0.0.1, For="198.51.100.7:4711";proto=http', "198.51.100.7"),
        (RFC, 'for=10.0.0.1;by=203.0.113.60, for="[2001:db8::1]:4711"', "2001:db8::1"),
        (RFC, "for=_hidden", ""),
        (RFC, "proto=http", ""),
    ],
)
def test_the_nearest_proxy_s_word_is_taken(header: bytes, value: str, address: str) -> None:
    assert forwarded_address(header, value) == address


@pytest.mark.parametrize(
    ("source", "trusted", "client"),
    [
        (ClientSource.ADDRESS, XFF, "192.0.2.1"),
        (ClientSource.FORWARDED, XFF, "198.51.100.7"),
        (ClientSource.FORWARDED, b"", "192.0.2.1"),
        (ClientSource.FORWARDED, RFC, "192.0.2.1"),  # the proxy in front didn't write it
        (ClientSource.HEADER, XFF, "app-7"),
    ],
)
def test_a_route_says_whose_its_requests_are(source: ClientSource, trusted: bytes, client: str) -> None:
    route = Route("r", ("main",), "read", client_from=source, client_header=b"x-client")
    head = Head("GET", "", "/", b"", {XFF: b"203.0.113.5, 198.51.100.7", b"x-client": b"app-7"})
    assert client_of(route, head, "192.0.2.1", trusted) == client
