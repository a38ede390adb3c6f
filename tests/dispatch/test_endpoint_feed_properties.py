"""However endpoint lists and the slices of earlier ones interleave, the last update of each endpoint wins."""

from __future__ import annotations

import asyncio
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from plovertrail.decisions.events import Endpoint, EndpointStatus, ListKind
from plovertrail.decisions.subsetting import EndpointSubset
from tests.daemons import run
from tests.dispatch.feed_recorder import FeedRecorder, addresses_of

READY, DRAINING, REMOVED = EndpointStatus.READY, EndpointStatus.DRAINING, EndpointStatus.REMOVED
STATES = (READY, READY, DRAINING, REMOVED)
ENDPOINTS = 16
STEP = st.tuples(
    st.sampled_from(["delta", "full", "cached", "failed", "iterate", "iterate", "widen"]),
    st.lists(st.tuples(st.integers(1, ENDPOINTS), st.integers(0, 3), st.integers(1, 3)), max_size=12),
)


def run_steps(steps: list[tuple[str, list[tuple[int, int, int]]]], subset: bool) -> None:
    """Apply endpoint lists in slices of three, with or without iterations of the event loop in between."""

    async def test() -> None:
        recorder = FeedRecorder()
        expected: dict[int, Endpoint] = {}
        if subset:
            recorder.pool.use_subset(EndpointSubset(1, 4))
        for step, rows in steps:
            entries = {
                number: Endpoint(number, STATES[state], weight=float(weight))
                for number, state, weight in rows
            }
            if step == "delta":
                recorder.update(ListKind.DELTA, list(entries.values()))
                expected |= entries
            elif step in ("full", "cached"):
                listed = {n: e for n, e in entries.items() if e.state is not REMOVED}
                kind = ListKind.FULL if step == "full" else ListKind.CACHED
                recorder.update(kind, list(listed.values()))
                expected = listed
            elif step == "failed":
                recorder.update(ListKind.FAILED, [])
            elif step == "widen" and recorder.pool.subset is not None:
                recorder.pool.feed.widen_subset(recorder.pool.balancer.now_us)
            else:
                await asyncio.sleep(0)
            if step in ("delta", "full", "cached") and len(rows) <= 3:
                # drains and removals are delivered before other updates
                not_ready = {n for n, e in expected.items() if e.state is not READY}
                assert recorder.pool.feed.pending_removals or recorder.pool.serving.isdisjoint(not_ready)
        await recorder.settle()
        ready = {n: e for n, e in expected.items() if e.state is READY}
        endpoints = recorder.pool.balancer.endpoints
        assert endpoints.keys() == recorder.pool.serving == recorder.pool.addresses.keys()
        if subset:
            assert endpoints.keys() <= ready.keys()
            assert len(endpoints) >= min(4, len(ready))
        else:
            assert endpoints.keys() == ready.keys()
        assert all(endpoints[number].listed.weight == ready[number].weight for number in endpoints)
        assert recorder.pool.feed.listed == addresses_of(
            [e for e in expected.values() if e.state is not REMOVED]
        )
        recorder.dispatcher.retire(recorder.pool)

    with patch("plovertrail.dispatch.endpoint_feed.SLICE_SIZE", 3):
        run(test)


@settings(max_examples=150, deadline=None)
@given(st.lists(STEP, max_size=12), st.booleans())
def test_the_last_update_of_each_endpoint_wins_once_all_slices_are_delivered(
    steps: list[tuple[str, list[tuple[int, int, int]]]], subset: bool
) -> None:
    run_steps(steps, subset)
