"""Long endpoint lists are delivered to the load balancer in slices, with drains and removals first."""

from __future__ import annotations

import asyncio

from plovertrail.decisions.events import Endpoint, EndpointStatus, ListKind
from plovertrail.decisions.subsetting import EndpointSubset
from plovertrail.dispatch.endpoint_feed import SLICE_SIZE
from tests.daemons import run
from tests.dispatch.feed_recorder import FeedRecorder, addresses_of


def test_a_long_list_is_delivered_in_slices_and_drains_come_first() -> None:
    async def test() -> None:
        recorder = FeedRecorder()
        entries = [Endpoint(number) for number in range(1, 1_101)]
        recorder.update(ListKind.CACHED, entries)
        assert len(recorder.pool.balancer.endpoints) == SLICE_SIZE
        await asyncio.sleep(0)
        assert len(recorder.pool.balancer.endpoints) == 2 * SLICE_SIZE
        # Before the rest is delivered, a delivered endpoint drains, an undelivered one is removed and another
        # undelivered one changes.
        recorder.update(
            ListKind.DELTA,
            [
                Endpoint(1, EndpointStatus.DRAINING),
                Endpoint(1_000, EndpointStatus.REMOVED),
                Endpoint(1_001, weight=7.0),
            ],
        )
        assert 1 not in recorder.pool.balancer.endpoints
        assert 1 not in recorder.pool.serving
        await recorder.settle()
        endpoints = recorder.pool.balancer.endpoints
        assert endpoints.keys() == set(range(2, 1_101)) - {1_000}
        assert endpoints[1_001].listed.weight == 7.0
        assert recorder.pool.serving == endpoints.keys() == recorder.pool.addresses.keys()
        assert all(len(event.endpoints) <= SLICE_SIZE for event in recorder.lists)
        assert all(endpoint.fast_growth for endpoint in endpoints.values() if endpoint.listed.id != 1_001)

        # A full list without half of the endpoints: their removals are delivered before anything else.
        recorder.update(ListKind.FULL, entries[10:600])
        await asyncio.sleep(0)
        removals = [entry for event in recorder.lists[-2:] for entry in event.endpoints]
        assert len(removals) == 2 * SLICE_SIZE
        assert {entry.state for entry in removals} == {EndpointStatus.REMOVED}
        await recorder.settle()
        assert recorder.pool.serving == set(range(11, 601)) == recorder.pool.balancer.endpoints.keys()
        recorder.update(ListKind.FULL, entries[:3])
        await recorder.settle()
        assert recorder.pool.balancer.endpoints.keys() == {1, 2, 3} == recorder.pool.serving
        assert all(len(event.endpoints) <= SLICE_SIZE for event in recorder.lists)
        recorder.dispatcher.retire(recorder.pool)
        assert not recorder.pool.balancer.endpoints
        assert not recorder.pool.serving

    run(test)


def test_an_endpoint_removed_before_its_slice_is_never_added() -> None:
    async def test() -> None:
        recorder = FeedRecorder()
        recorder.update(ListKind.FULL, [Endpoint(number) for number in range(1, 1_001)])
        recorder.update(ListKind.FULL, [Endpoint(number) for number in range(701, 1_001)])
        await recorder.settle()
        assert recorder.pool.balancer.endpoints.keys() == set(range(701, 1_001)) == recorder.pool.serving
        assert recorder.pool.feed.listed.keys() == recorder.pool.serving

    run(test)


def test_a_failed_poll_or_watch_between_two_slices_loses_no_endpoint() -> None:
    async def test() -> None:
        recorder = FeedRecorder()
        recorder.update(ListKind.FULL, [Endpoint(number) for number in range(1, 1_001)])
        recorder.update(ListKind.FAILED, [])
        await recorder.settle()
        assert len(recorder.pool.balancer.endpoints) == 1_000 == len(recorder.pool.serving)
        kinds = [event.kind for event in recorder.lists]
        assert kinds == [ListKind.FULL, ListKind.FAILED] + [ListKind.FULL] * 3

    run(test)


def test_a_subset_is_selected_once_all_slices_are_known() -> None:
    async def test() -> None:
        recorder = FeedRecorder()
        recorder.pool.use_subset(EndpointSubset(5, 4))
        entries = [Endpoint(number) for number in range(1, 1_101)]
        recorder.update(ListKind.CACHED, entries)
        assert not recorder.pool.serving
        await recorder.settle()
        expected = EndpointSubset(5, 4)
        expected.update(entries, addresses_of(entries))
        assert recorder.pool.serving == expected.selected.keys() == recorder.pool.balancer.endpoints.keys()
        drained = min(expected.selected)
        recorder.update(ListKind.DELTA, [Endpoint(drained, EndpointStatus.DRAINING)])
        assert drained not in recorder.pool.serving
        assert len(recorder.pool.serving) == 4
        recorder.update(ListKind.FULL, entries[:600])
        await recorder.settle()
        assert len(recorder.pool.serving) == 4
        assert max(recorder.pool.serving) <= 600
        recorder.dispatcher.retire(recorder.pool)

    run(test)


def test_a_retired_pool_drops_its_pending_slices() -> None:
    async def test() -> None:
        recorder = FeedRecorder()
        recorder.update(ListKind.FULL, [Endpoint(number) for number in range(1, 1_001)])
        recorder.dispatcher.retire(recorder.pool)
        for _ in range(5):
            await asyncio.sleep(0)
        assert not recorder.pool.balancer.endpoints
        assert not recorder.pool.serving

    run(test)
