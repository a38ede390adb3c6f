"""Responses that are longer than they say, and good ones with more behind them, over loopback sockets."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest

from plovertrail.clock import clock_us
from plovertrail.decisions import response_excess
from plovertrail.decisions.events import Outcome
from plovertrail.decisions.response_attribution import REUSE_DELAY_FACTOR
from plovertrail.decisions.response_excess import REMAINDER_WAIT_US
from plovertrail.upstreams.response_reader import ResponseRules
from tests.daemons import run
from tests.net import OK, Script, Upstream
from tests.upstreams.test_response_attribution import TIMEOUT_US, WORK_US, ask, experienced_pool

RECEIPT = '{"title": "Ang Niño", "price": "₱150", "booked": true}'
NOISE = bytes(range(128, 176))
LONG_WAIT_US = TIMEOUT_US // 2 - WORK_US  # about the most that an attempt may wait for a remainder
GAP_S = 0.03
UNFINISHED = b"[INFO] done"  # begins as a document, and is none
JSON_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 0\r\n\r\n"


def head(length: int) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length


@pytest.fixture
def long_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    """Wait for remainders for so long that they come in time though the machine holds the process up."""
    monkeypatch.setattr(response_excess, "REMAINDER_WAIT_US", TIMEOUT_US)


def written(*pieces: bytes, gap_s: float = 0.005) -> Script:
    """Write the pieces of a response one after the other, once the request has been worked on."""

    async def script(
        _upstream: Upstream, _number: int, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(WORK_US / 1e6)
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(gap_s)

    return script


def written_and_closed(response: bytes, reset: bool = False) -> Script:
    """Write a response once the request has been worked on, and end the connection soon after."""

    async def script(
        _upstream: Upstream, _number: int, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(WORK_US / 1e6)
        writer.write(response)
        await asyncio.sleep(0.005)
        if reset:
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        writer.close()

    return script


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


# Guards against clients that are served a body cut off at a length that is too small, as a good one.
@pytest.mark.parametrize(
    "pieces",
    [
        (head(len(RECEIPT)) + RECEIPT.encode(),),  # characters were counted, not bytes
        (head(len(RECEIPT)), RECEIPT.encode()),
        (head(len(RECEIPT)) + RECEIPT[:5].encode(), RECEIPT[5:].encode()),
        (head(0) + RECEIPT.encode(),),
        (head(4) + b"done\n",),
        (head(3) + bytes(range(256)),),
        (CHUNKED + b"2\r\nab\r\n0\r\n\r\n2\r\ncd\r\n0\r\n\r\n",),
        (head(len(RECEIPT)) + RECEIPT.encode()[: len(RECEIPT)], RECEIPT.encode()[len(RECEIPT) :]),
        (head(4), b'{"a"', b":1}"),
        (JSON_HEAD, RECEIPT.encode()),
        (head(2) + "₱1".encode()[:2], "₱1".encode()[2:]),
        (CHUNKED + b"3\r\n[1,\r\n0\r\n\r\n", b"2\r\n2]\r\n0\r\n\r\n"),
        # what is left out looks like the end of a head, like noise, or like a message
        (head(9) + b"receipt 9\r\nthank you\r\n\r\n",),
        (head(9) + b"receipt 9\r\n\r\n",),
        (head(16) + b"receipt 9, paid " + NOISE,),
        (head(7) + b"it said" + head(0),),
        (head(7) + b"it said" + head(0)[:9],),
        (head(7) + b"it said" + head(0)[:9], head(0)[9:] + b" to me"),
        (2 * (head(7) + b"it said" + b" this\r\n\r\n"),),
    ],
)
@pytest.mark.usefixtures("long_wait")
def test_a_response_longer_than_its_length_ends_as_one_that_may_have_run(pieces: tuple[bytes, ...]) -> None:
    async def test() -> None:
        upstream = Upstream(written(*pieces))
        await upstream.start()
        pool = experienced_pool()
        result = await ask(pool, upstream)
        assert (result.outcome, result.body) == (Outcome.MALFORMED, b"")
        assert pool.count == 0
        assert pool.problems.counts["response_longer_than_told"] == 1
        upstream.stop()

    run(test)


# Guards against good responses that fail because their endpoints send them twice.
@pytest.mark.parametrize(
    "response", [OK, head(len(RECEIPT.encode())) + RECEIPT.encode(), CHUNKED + b"4\r\ndone\r\n0\r\n\r\n"]
)
@pytest.mark.parametrize("cut", [None, 1, 17, -1])
@pytest.mark.usefixtures("long_wait")
def test_a_good_response_with_a_copy_behind_it_is_accepted(response: bytes, cut: int | None) -> None:
    async def test() -> None:
        pieces = (2 * response,) if cut is None else (response + response[:cut], response[cut:])
        upstream = Upstream(written(*pieces))
        await upstream.start()
        pool = experienced_pool()
        result = await ask(pool, upstream)
        assert result.outcome is Outcome.OK
        assert result.body in (b"done", RECEIPT.encode())
        assert result.deferred_us < LONG_WAIT_US
        assert pool.count == 0  # the connection is not used again
        upstream.stop()

    run(test)


def test_a_response_with_a_part_of_a_copy_behind_it_ends_soon_as_one_that_may_have_run() -> None:
    async def test() -> None:
        upstream = Upstream(written(OK + OK[:9], gap_s=1.0))
        await upstream.start()
        began_us = clock_us()
        result = await ask(experienced_pool(), upstream)
        assert result.outcome is Outcome.MALFORMED
        assert clock_us() - began_us >= REMAINDER_WAIT_US
        upstream.stop()

    run(test)


# Guards against good responses that fail because their bodies look cut off.
def test_a_body_that_looks_cut_off_is_served_if_nothing_follows() -> None:
    async def test() -> None:
        upstream = Upstream(written(head(len(UNFINISHED)) + UNFINISHED))
        await upstream.start()
        pool = experienced_pool()
        result = await ask(pool, upstream)
        assert (result.outcome, result.body) == (Outcome.OK, UNFINISHED)
        assert result.deferred_us >= REMAINDER_WAIT_US
        assert pool.count == 1
        upstream.stop()

    run(test)


@pytest.mark.usefixtures("long_wait")
def test_a_body_that_looks_cut_off_is_served_if_a_copy_follows() -> None:
    async def test() -> None:
        response = head(len(UNFINISHED)) + UNFINISHED
        upstream = Upstream(written(response, response))
        await upstream.start()
        pool = experienced_pool()
        result = await ask(pool, upstream)
        assert (result.outcome, result.body) == (Outcome.OK, UNFINISHED)
        assert 0 < result.deferred_us < LONG_WAIT_US
        assert pool.count == 0
        upstream.stop()

    run(test)


# Guards against responses without a body that fail or wait, as their heads are those of one with a body.
@pytest.mark.parametrize("status", [b"204 No Content", b"304 Not Modified"])
@pytest.mark.parametrize("behind", [b"", RECEIPT.encode()])
def test_a_status_without_a_body_has_no_remainder(status: bytes, behind: bytes) -> None:
    async def test() -> None:
        response = JSON_HEAD.replace(b"200 OK", status).replace(b"Length: 0", b"Length: %d" % len(RECEIPT))
        upstream = Upstream(written(response + behind))
        await upstream.start()
        result = await ask(experienced_pool(ResponseRules(error_statuses=frozenset())), upstream)
        assert (result.outcome, result.body, result.deferred_us) == (Outcome.OK, b"", 0)
        upstream.stop()

    run(test)


# Guards against a late second message that counts as one at once: connections are used again too soon.
@pytest.mark.usefixtures("long_wait")
def test_a_message_in_the_wait_for_a_remainder_counts_with_its_delay() -> None:
    async def test() -> None:
        response = head(len(UNFINISHED)) + UNFINISHED
        upstream = Upstream(written(response, response, gap_s=GAP_S))
        await upstream.start()
        pool = experienced_pool()
        assert (await ask(pool, upstream)).outcome is Outcome.OK
        assert pool.attribution.reuse_delay_us(clock_us()) > 0.9 * REUSE_DELAY_FACTOR * GAP_S * 1e6
        upstream.stop()

    run(test)


@pytest.mark.usefixtures("long_wait")
def test_the_end_of_the_stream_ends_the_wait_for_a_remainder() -> None:
    async def test() -> None:
        upstream = Upstream(written_and_closed(head(len(UNFINISHED)) + UNFINISHED))
        await upstream.start()
        result = await ask(experienced_pool(), upstream)
        assert (result.outcome, result.body) == (Outcome.OK, UNFINISHED)
        assert result.deferred_us < LONG_WAIT_US
        upstream.stop()

    run(test)


# Guards against a body that was cut off and is served, as its connection was reset before the remainder.
@pytest.mark.usefixtures("long_wait")
def test_a_reset_in_the_wait_for_a_remainder_ends_the_attempt_as_one_that_may_have_run() -> None:
    async def test() -> None:
        upstream = Upstream(written_and_closed(head(len(UNFINISHED)) + UNFINISHED, reset=True))
        await upstream.start()
        pool = experienced_pool()
        result = await ask(pool, upstream)
        assert result.outcome is Outcome.RESET
        assert pool.count == 0
        upstream.stop()

    run(test)
