"""docs/CAPACITY.md against the code: the limits that it names, and those that no other test reaches."""

from __future__ import annotations

import ast
import importlib
import re
from pathlib import Path

import pytest

from plovertrail.decisions.events import (
    AttemptEnded,
    Endpoint,
    EndpointsUpdated,
    ListKind,
    Outcome,
    RequestArrived,
)
from plovertrail.decisions.load_balancing.balancer import LoadBalancer
from plovertrail.decisions.load_balancing.concurrency_limits import MAX_LIMIT
from plovertrail.decisions.settings import RequestClass, Settings
from plovertrail.sources import lists

ROOT = Path(__file__).resolve().parents[2]
PAGE = ROOT / "docs" / "CAPACITY.md"
LIMIT = re.compile(r"`([A-Z_]+)` = ([0-9.,_]+) \| `([a-z_/0-9]+\.py)`")
SECOND_US = 1_000_000


def limits() -> list[tuple[str, str, str]]:
    """Constant, value and file of each limit in the page's tables."""
    return [(found[1], found[2], found[3]) for found in LIMIT.finditer(PAGE.read_text())]


def test_the_page_names_limits() -> None:
    assert len(limits()) >= 30


@pytest.mark.parametrize(("constant", "value", "path"), limits(), ids=str)
def test_a_limit_is_as_the_page_says(constant: str, value: str, path: str) -> None:
    module = importlib.import_module(path.removesuffix(".py").replace("/", "."))
    assert getattr(module, constant) == ast.literal_eval(value.replace(",", "_"))


def test_no_link_of_the_page_leads_nowhere() -> None:
    for name in re.findall(r"\]\(([a-zA-Z-]+\.md)\)", PAGE.read_text()):
        assert (PAGE.parent / name).exists(), name


def test_no_upstream_has_more_slots_than_the_bound() -> None:
    kind = RequestClass("x", latency_objective_us=SECOND_US, deadline_us=2 * SECOND_US)
    balancer = LoadBalancer(Settings([kind]), 1, 0)
    balancer.handle(0, EndpointsUpdated(ListKind.FULL, [Endpoint(1)]))
    for number in range(1, 200):
        balancer.handle(number * 1_000, RequestArrived(number, SECOND_US))
    for number in range(1, 200):
        ended = AttemptEnded(number, 0, 1, Outcome.OK, 100, True)
        balancer.handle(200_000 + number, ended)
        for more in range(20):  # it is short of slots at each answer
            ident = 1_000 * number + more
            balancer.handle(200_000 + number, RequestArrived(ident, 2 * SECOND_US))
    assert balancer.endpoints[1].in_flight <= MAX_LIMIT
    assert balancer.table.open_slots(balancer.endpoints[1], balancer.now_us) <= MAX_LIMIT


def test_a_list_of_more_servers_than_the_bound_is_refused() -> None:
    lines = [f"10.0.{number >> 8 & 255}.{number & 255}:{80 + (number >> 16)}" for number in range(50_001)]
    assert len(lines) == lists.MAX_ENDPOINTS + 1
    with pytest.raises(lists.InvalidListError, match="more than 50000 servers"):
        lists.parse("servers.txt", "\n".join(lines).encode() + b"\n", "servers.txt", checksum=False)
    assert lists.parse("servers.txt", "\n".join(lines[1:]).encode() + b"\n", "servers.txt", checksum=False)
