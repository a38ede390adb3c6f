"""One real sidecar: `python -m plovertrail`, told by its environment what it is."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys

from glenkeel.wire import WireError
from plovertrail import config
from plovertrail.discovery import Directory, Discovery
from plovertrail.host import Host
from plovertrail.server import Server
from plovertrail.upstreams import Pool

STILL_COMING_S = 0.5  # after SIGTERM new connections come for up to 0.4 s
LONGEST_STOP_S = 3.6  # SIGKILL comes 0.7 s after the longest deadline, of 3 s, at the soonest


async def serve(settings: config.Config) -> None:
    """Serve until SIGTERM, then answer what comes and what is open."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    pool = Pool(settings.idle_us, settings.settings.connect_timeout_us)
    host = Host(settings.settings, settings.seed, pool)
    directory = Directory(settings.zones, settings.kinds)
    discovery = Discovery(settings.discovery, directory, host.list_changed)
    host.subscribe = discovery.subscribe
    if settings.known:
        discovery.cached(settings.known)
    host.start()
    server = Server(host, settings.settings)
    await server.listen(settings.listen)
    await stop.wait()
    started = loop.time()
    server.stop_idle()
    await asyncio.sleep(STILL_COMING_S)
    server.stop_listening()
    server.stop_idle()
    while server.clients and loop.time() < started + LONGEST_STOP_S:
        await asyncio.sleep(0.01)
        server.stop_idle()


def main() -> int:
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(message)s", stream=sys.stderr)
    try:
        settings = config.load(os.environ["BALANCER_CONFIG"])
    except (OSError, KeyError, TypeError, ValueError, WireError) as error:
        print(f"plovertrail: configuration: {error!r}", file=sys.stderr)
        return 2
    asyncio.run(serve(settings))
    return 0


if __name__ == "__main__":
    sys.exit(main())
