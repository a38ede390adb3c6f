"""Addresses of instances as text."""

from __future__ import annotations

from plovertrail.decisions.membership import Address


def format_address(address: Address) -> str:
    """Return `host:port`, for logs and as the text that digests of addresses are made of."""
    host, port = address
    return f"{host}:{port}"
