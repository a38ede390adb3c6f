"""One real sidecar: `python -m plovertrail`, told by its environment what it is."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from functools import partial

from plovertrail.clock import clock_us
from plovertrail.config import platform as config
from plovertrail.config.settings import SettingsError
from plovertrail.dispatch.dispatcher import Dispatcher
from plovertrail.listeners.platform_listener import PlatformListener
from plovertrail.logs import log_to_stderr
from plovertrail.sources.discovery import Directory, Discovery
from plovertrail.upstreams.connection_pool import ConnectionPool

log = logging.getLogger(__name__)

UNREADABLE = (OSError, KeyError, TypeError, ValueError, SettingsError)
# by the protocol page, "Figures":
LAST_COMES_S = 0.4  # after SIGTERM new connections come for up to so long;
STILL_COMING_S = 0.5  # they are taken for so long
LONGEST_WAIT_S = 3.0  # SIGKILL comes 0.7 s after the longest deadline or, where that is longer, after so much
STOP_SLACK_S = 0.1  # for the last answers to be on their way, within these 0.7 s
FLUSH_S = 0.05  # for what the last answers' clients are slow to take
# hazard: what is left of the 0.7 s is for a signal that is heard late, as under a CPU limit a process stands
# still for a tenth of a second; SIGKILL counts from the signal, and all here from when it was heard


async def follow(path: str, reload: asyncio.Event, discovery: Discovery) -> None:
    """Read the configuration again whenever told to; of what it says only discovery's address is taken."""
    while True:
        await reload.wait()
        reload.clear()
        try:
            discovery.move(config.load(path).discovery)
        except UNREADABLE as error:
            # hazard: a file half written or gone must cost neither requests nor the list
            log.warning("the configuration can't be read and stays as it is: %r", error)


async def serve(settings: config.Config, stop: asyncio.Event, reload: asyncio.Event) -> None:
    """Serve until told to stop, then answer what comes and what is open."""
    loop = asyncio.get_running_loop()
    dial_timeout_us = settings.settings.connect_timeout_us
    pool = ConnectionPool(settings.idle_us, dial_timeout_us, max_connections=settings.sockets * 3 // 8)
    dispatcher = Dispatcher()
    servers = dispatcher.pools.add("", settings.settings, settings.seed, pool)
    directory = Directory(settings.zones, settings.kinds)
    discovery = Discovery(settings.discovery, directory, partial(dispatcher.pools.update_endpoints, servers))
    dispatcher.discovery = discovery
    if settings.known:
        discovery.cached(settings.known)
    dispatcher.start(servers)
    if not settings.settings.endpoints_on_request:
        discovery.hold_open()
    # the rest is for discovery, the listener, the log and what is on its way to be closed
    server = PlatformListener(dispatcher, servers, settings.settings, max_clients=settings.sockets // 2)
    following = loop.create_task(follow(settings.path, reload, discovery))
    server.listen(settings.listen)
    await stop.wait()
    following.cancel()
    await end(server, longest_s=max(kind.deadline_us for kind in settings.settings.classes) / 1e6)


async def end(server: PlatformListener, longest_s: float) -> None:
    """Answer what still comes and all that is open; no request has longer than `longest_s` seconds. Hazard:
    deadlines may be longer than SIGKILL waits; what is open then has its answer before that, and not none."""
    loop = asyncio.get_running_loop()
    left_s = LAST_COMES_S + min(longest_s, LONGEST_WAIT_S)
    ends = loop.time() + left_s + STOP_SLACK_S
    server.finish_by(clock_us() + int(left_s * 1e6))
    server.stop_idle()
    await asyncio.sleep(STILL_COMING_S)
    server.drain_backlog()
    server.stop_idle()
    while server.owes_responses() and loop.time() < ends:
        await asyncio.sleep(0.01)
        server.stop_idle()
    server.answer_all()
    ends = loop.time() + FLUSH_S
    while server.owes_responses() and loop.time() < ends:
        await asyncio.sleep(0.01)


async def run(settings: config.Config) -> None:
    """Serve until SIGTERM; SIGHUP brings a new configuration."""
    stop, reload = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    # hazard: by default either signal ends the process and loses what is open; so before the first client
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    await serve(settings, stop, reload)
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGHUP})  # the loop's end frees them


def main() -> int:
    """Load the configuration that BALANCER_CONFIG names and run until stopped; returns the exit code."""
    log_to_stderr()
    try:
        settings = config.load(os.environ["BALANCER_CONFIG"])
    except UNREADABLE as error:
        print(f"plovertrail: configuration: {error!r}", file=sys.stderr)
        return 2
    asyncio.run(run(settings))
    return 0


if __name__ == "__main__":
    sys.exit(main())
