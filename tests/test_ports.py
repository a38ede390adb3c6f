"""The loopback ports of the tests' processes."""

from __future__ import annotations

from pathlib import Path

from fakes.ports import MAX_RESERVED, free_port
from tests.own_process import in_own_process

EPHEMERAL_PORTS = Path("/proc/sys/net/ipv4/ip_local_port_range")


def free_ports(count: int) -> set[int]:
    return {free_port() for _ in range(count)}


# Guards against a process that can't listen on its port, since a connection or another process has taken it.
def test_a_port_is_given_to_one_process_and_to_no_connection() -> None:
    own = free_ports(MAX_RESERVED)
    assert len(own) == MAX_RESERVED
    assert max(own) < int(EPHEMERAL_PORTS.read_text().split()[0])
    assert not own & in_own_process(free_ports, MAX_RESERVED)
