"""In whatever order endpoint lists and slices cross, the last update of each endpoint holds."""

from __future__ import annotations

import asyncio
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from plovertrail.decisions.events import Endpoint, EndpointStatus, ListKind
from plovertrail.decisions.subsetting import EndpointSubset
from tests.daemons import run
from tests.dispatch.feed_recorder import FeedRecorder, addresses_of

READY, DRAINING, GONE = EndpointStatus.READY, EndpointStatus.DRAINING, EndpointStatus.REMOVED
STATES = (READY, READY, DRAINING, GONE)
SERVERS = 16
STEP = st.tuples(
    st.sampled_from(["change", "whole", "cached", "failed", "turn", "turn", "short"]),
    st.lists(st.tuples(st.integers(1, SERVERS), st.integers(0, 3), st.integers(1, 3)), max_size=12),
)


def play(steps: list[tuple[str, list[tuple[int, int, int]]]], subset: bool) -> None:
    """Tell lists in slices of three, with turns of the loop between them or without."""

    async def test() -> None:
        recorder = FeedRecorder()
        truth: dict[int, Endpoint] = {}
        if subset:
            recorder.pool.use_subset(EndpointSubset(1, 4))
        for what, rows in steps:
            entries = {
                number: Endpoint(number, STATES[state], weight=float(weight))
                for number, state, weight in rows
            }
            if what == "change":
                recorder.update(ListKind.DELTA, list(entries.values()))
                truth |= entries
            elif what in ("whole", "cached"):
                listed = {n: e for n, e in entries.items() if e.state is not GONE}
                kind = ListKind.FULL if what == "whole" else ListKind.CACHED
                recorder.update(kind, list(listed.values()))
                truth = listed
            elif what == "failed":
                recorder.update(ListKind.FAILED, [])
            elif what == "short" and recorder.pool.subset is not None:
                recorder.pool.feed.widen_subset(recorder.pool.balancer.now_us)
            else:
                await asyncio.sleep(0)
            if what in ("change", "whole", "cached") and len(rows) <= 3:
                # no word of an end waits behind what is new
                ends = {n for n, e in truth.items() if e.state is not READY}
                assert recorder.pool.feed.pending_removals or recorder.pool.serving.isdisjoint(ends)
        await recorder.settle()
        ready = {n: e for n, e in truth.items() if e.state is READY}
        servers = recorder.pool.balancer.endpoints
        assert servers.keys() == recorder.pool.serving == recorder.pool.addresses.keys()
        if subset:
            assert servers.keys() <= ready.keys()
            assert len(servers) >= min(4, len(ready))
        else:
            assert servers.keys() == ready.keys()
        assert all(servers[number].listed.weight == ready[number].weight for number in servers)
        assert recorder.pool.feed.listed == addresses_of([e for e in truth.values() if e.state is not GONE])
        recorder.dispatcher.retire(recorder.pool)

    with patch("plovertrail.dispatch.endpoint_feed.SLICE_SIZE", 3):
        run(test)


@settings(max_examples=150, deadline=None)
@given(st.lists(STEP, max_size=12), st.booleans())
def test_the_last_update_of_each_endpoint_holds_once_all_slices_are_given(
    steps: list[tuple[str, list[tuple[int, int, int]]]], subset: bool
) -> None:
    play(steps, subset)
