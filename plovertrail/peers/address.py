"""Addresses of instances as text."""

from __future__ import annotations

from plovertrail.decisions.membership import Address


def format_address(address: Address) -> str:
    """Return `host:port`, as it is logged and as digests of addresses are computed from it."""
    host, port = address
    return f"{host}:{port}"
