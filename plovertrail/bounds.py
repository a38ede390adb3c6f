"""What a setup may hold at most: descriptors, and bytes of messages."""

from __future__ import annotations

import resource

from plovertrail.config.descriptors import LEAST_BY_DEFAULT, OTHER_DESCRIPTORS, descriptors_allowed
from plovertrail.config.problems import ConfigError, Problem
from plovertrail.config.setup import Setup
from plovertrail.listeners.relay import SOCKET_BYTES

PIPELINED = 64 * 1024 + 256 * 1024  # where reading stops, and the loop's last read


def needed_descriptors(setup: Setup) -> int:
    """The most that a setup may hold."""
    listeners = sum(1 + listener.max_connections for listener in setup.listeners)
    servers = sum(pool.max_connections + pool.max_sockets for pool in setup.pools.values())
    return listeners + servers + OTHER_DESCRIPTORS


def needed_memory(setup: Setup) -> int:
    """The most bytes that messages may hold at once: each client's request as it comes, once more as it goes
    on, what is pipelined behind it and an answer that it doesn't read; each server's answer as it comes; what
    a socket's peers don't take."""
    limits = setup.limits
    client = limits.max_head + 2 * limits.max_body + PIPELINED + limits.max_answer
    clients = sum(listener.max_connections for listener in setup.listeners)
    servers = sum(pool.max_connections for pool in setup.pools.values()) * limits.max_answer
    sockets = sum(pool.max_sockets for pool in setup.pools.values()) * SOCKET_BYTES
    hooks = sum(hook.memory for hook in setup.hooks.values())
    return clients * client + servers + sockets + hooks


def even_part(setup: Setup) -> tuple[int, int]:
    """How many pools write no max_connections, and how many connections each of them has."""
    parts = [pool.max_connections for pool in setup.pools.values() if pool.even_part]
    return len(parts), min(parts, default=0)


def too_few(setup: Setup) -> Problem | None:
    """What is wrong where the descriptors leave too little to the pools that write no max_connections."""
    pools, part = even_part(setup)
    if not pools or part >= LEAST_BY_DEFAULT:
        return None
    needed = needed_descriptors(setup) + pools * (LEAST_BY_DEFAULT - part)
    return Problem(
        "pools",
        f"{pools} pools write no max_connections, and the {descriptors_allowed()} descriptors that the "
        f"process may have leave fewer than {LEAST_BY_DEFAULT} to each",
        f"raise the limit (ulimit -n) to {needed} or more, or lower max_connections of listeners "
        "or of the pools that write it",
    )


def check_descriptors(setup: Setup) -> None:
    """Raise the process's own limit as far as needed; raises ConfigError if it can't be."""
    few = too_few(setup)
    if few is not None:
        raise ConfigError(setup.path, [few])
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = needed_descriptors(setup)
    if hard != resource.RLIM_INFINITY and needed > hard:
        raise ConfigError(
            setup.path,
            [
                Problem(
                    "",
                    f"all connections together may take {needed} descriptors,"
                    f" and the process may have {hard}",
                    "lower max_connections of listeners or pools, or raise the limit (ulimit -n)",
                )
            ],
        )
    if soft != resource.RLIM_INFINITY and needed > soft:
        resource.setrlimit(resource.RLIMIT_NOFILE, (needed, hard))
