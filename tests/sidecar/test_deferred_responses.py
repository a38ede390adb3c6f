"""The real sidecar over loopback sockets: responses that are deferred, as another one may follow."""

from __future__ import annotations

import asyncio

from plovertrail.decisions.response_attribution import MIN_SAMPLES
from tests.net import OK, SETTINGS, Upstream, sidecar
from tests.sidecar.common import WORK_S, open_slots, run

SLOW_S = 1.0
WARM_UP_S = SETTINGS["invariants"]["warm-up"] / 1e6


# Guards against an endpoint that has become fast and has its responses deferred as if it were still slow.
def test_an_endpoint_whose_first_responses_were_slow_is_used_in_full_within_its_warm_up() -> None:
    async def test() -> None:
        async def script(
            _upstream: Upstream, number: int, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(SLOW_S if number < MIN_SAMPLES else WORK_S)
            writer.write(OK)

        async with sidecar(Upstream(script)) as it, asyncio.timeout(WARM_UP_S):
            await open_slots(it, "pay")

    run(test)
