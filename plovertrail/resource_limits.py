"""The most that a configuration may use: file descriptors, and bytes of buffered messages."""

from __future__ import annotations

import resource
from typing import NamedTuple

from plovertrail.config.descriptors import LEAST_BY_DEFAULT, OTHER_DESCRIPTORS, descriptors_allowed
from plovertrail.config.problems import ConfigError, Problem
from plovertrail.config.setup import Setup
from plovertrail.listeners.websocket_relay import SESSION_BYTES

PIPELINE_LIMIT_BYTES = 64 * 1024  # of pipelined requests, at which reading pauses
LOOP_READ_BYTES = 256 * 1024  # what the event loop may read at once before the pause takes effect
PIPELINED_BYTES = PIPELINE_LIMIT_BYTES + LOOP_READ_BYTES


class DefaultConnections(NamedTuple):
    """The default of max_connections in pools that don't set it."""

    pools: int  # how many don't set it
    per_pool: int


def required_descriptors(setup: Setup) -> int:
    """The highest number of descriptors that a configuration may use."""
    listeners = sum(1 + listener.max_connections for listener in setup.listeners)
    pools = sum(pool.max_connections + pool.max_sockets for pool in setup.pools.values())
    return listeners + pools + OTHER_DESCRIPTORS


def max_message_bytes(setup: Setup) -> int:
    """The highest number of bytes of messages that may be buffered at once.

    Each client connection may buffer a request being received, within the limit of its listener, its body
    again while it is forwarded, the requests pipelined after it, and a response that the client doesn't read.
    Each endpoint connection may buffer a response being received, and each WebSocket the messages that its
    two ends don't read.
    """
    limits = setup.limits
    per_client = limits.max_body + PIPELINED_BYTES + limits.max_answer
    clients = sum(listener.max_connections for listener in setup.listeners) * per_client
    clients += sum(
        min(listener.max_connections * (limits.max_head + limits.max_body), limits.max_incomplete)
        for listener in setup.listeners
    )
    endpoints = sum(pool.max_connections for pool in setup.pools.values()) * limits.max_answer
    websockets = sum(pool.max_sockets for pool in setup.pools.values()) * SESSION_BYTES
    hooks = sum(hook.memory for hook in setup.hooks.values())
    return clients + endpoints + websockets + hooks


def default_pool_connections(setup: Setup) -> DefaultConnections:
    """How many pools don't set max_connections, and how many connections each of them gets."""
    per_pool = [pool.max_connections for pool in setup.pools.values() if pool.even_part]
    return DefaultConnections(len(per_pool), min(per_pool, default=0))


def descriptor_shortage(setup: Setup) -> Problem | None:
    """Return a problem if a setup leaves too few descriptors to pools that don't set max_connections."""
    default = default_pool_connections(setup)
    if not default.pools or default.per_pool >= LEAST_BY_DEFAULT:
        return None
    required = required_descriptors(setup) + default.pools * (LEAST_BY_DEFAULT - default.per_pool)
    return Problem(
        "pools",
        f"{default.pools} pools write no max_connections, and the {descriptors_allowed()} descriptors that "
        f"the process may have leave fewer than {LEAST_BY_DEFAULT} to each",
        f"raise the limit (ulimit -n) to {required} or more, or lower max_connections of listeners "
        "or of the pools that write it",
    )


def raise_descriptor_limit(setup: Setup) -> None:
    """Raise the soft limit to what a configuration needs; raises ConfigError if the hard limit is lower."""
    shortage = descriptor_shortage(setup)
    if shortage is not None:
        raise ConfigError(setup.path, [shortage])
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    required = required_descriptors(setup)
    if hard != resource.RLIM_INFINITY and required > hard:
        raise ConfigError(setup.path, [_limit_problem(required, hard)])
    if soft != resource.RLIM_INFINITY and required > soft:
        resource.setrlimit(resource.RLIMIT_NOFILE, (required, hard))


def _limit_problem(required: int, hard: int) -> Problem:
    return Problem(
        "",
        f"all connections together may take {required} descriptors, and the process may have {hard}",
        "lower max_connections of listeners or pools, or raise the limit (ulimit -n)",
    )
