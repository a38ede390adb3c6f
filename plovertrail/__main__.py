"""The platform's program, one sidecar: `python -m plovertrail`, configured by its environment."""

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

CONFIGURATION_ERRORS = (OSError, KeyError, TypeError, ValueError, SettingsError)
# The platform's protocol page, "Figures", gives the times of a stop: after SIGTERM new connections come
# for up to NEW_CONNECTIONS_S, and SIGKILL comes 0.7 s after the longest deadline, or after MAX_DEADLINE_S
# if that is earlier. SIGKILL counts from the signal, and all here from its delivery. What is left of the
# 0.7 s is for a late delivery: under a CPU limit a process may be paused for a tenth of a second.
NEW_CONNECTIONS_S = 0.4
ACCEPT_AFTER_STOP_S = 0.5
MAX_DEADLINE_S = 3.0
LAST_RESPONSES_S = 0.1  # for the last responses to be written, within the 0.7 s
FLUSH_S = 0.05  # for clients that are slow to read them
STOP_POLL_S = 0.01


async def follow_configuration(path: str, reload: asyncio.Event, discovery: Discovery) -> None:
    """Read the configuration again on each reload; only discovery's address is taken from it."""
    while True:
        await reload.wait()
        reload.clear()
        try:
            discovery.change_address(config.load(path).discovery)
        except CONFIGURATION_ERRORS as error:
            # a file that is half written or missing must cost neither requests nor the endpoint list
            log.warning("configuration unreadable, the one in force stays error=%r", error)


async def serve(settings: config.Config, stop: asyncio.Event, reload: asyncio.Event) -> None:
    """Serve until `stop` is set, then answer the requests that still come and all open ones."""
    loop = asyncio.get_running_loop()
    connections = ConnectionPool(
        settings.idle_us, settings.settings.connect_timeout_us, max_connections=settings.sockets * 3 // 8
    )
    dispatcher = Dispatcher()
    pool = dispatcher.pools.add("", settings.settings, settings.seed, connections)
    directory = Directory(settings.zones, settings.kinds)
    discovery = Discovery(settings.discovery, directory, partial(dispatcher.pools.update_endpoints, pool))
    dispatcher.discovery = discovery
    if settings.known:
        discovery.load_cached(settings.known)
    dispatcher.start(pool)
    if not settings.settings.endpoints_on_request:
        discovery.hold_open()
    # the other descriptors are for discovery, the listener, the log and connections that are being closed
    listener = PlatformListener(dispatcher, pool, settings.settings, max_clients=settings.sockets // 2)
    following = loop.create_task(follow_configuration(settings.path, reload, discovery))
    listener.listen(settings.listen)
    await stop.wait()
    following.cancel()
    longest_deadline_s = max(kind.deadline_us for kind in settings.settings.classes) / 1e6
    await drain(listener, longest_deadline_s)


async def drain(listener: PlatformListener, longest_deadline_s: float) -> None:
    """Answer the requests that still come and all open ones; none may take longer than its deadline.

    Deadlines may be longer than SIGKILL waits: requests that are open then are answered before it.
    """
    loop = asyncio.get_running_loop()
    left_s = NEW_CONNECTIONS_S + min(longest_deadline_s, MAX_DEADLINE_S)
    ends_at = loop.time() + left_s + LAST_RESPONSES_S
    listener.finish_by(clock_us() + int(left_s * 1e6))
    listener.stop_idle()
    await asyncio.sleep(ACCEPT_AFTER_STOP_S)
    listener.drain_backlog()
    listener.stop_idle()
    while listener.has_pending_responses() and loop.time() < ends_at:
        await asyncio.sleep(STOP_POLL_S)
        listener.stop_idle()
    listener.answer_all()
    ends_at = loop.time() + FLUSH_S
    while listener.has_pending_responses() and loop.time() < ends_at:
        await asyncio.sleep(STOP_POLL_S)


async def run(settings: config.Config) -> None:
    """Serve until SIGTERM; SIGHUP reads the configuration again."""
    stop = asyncio.Event()
    reload = asyncio.Event()
    loop = asyncio.get_running_loop()
    # before the first client, as by default either signal ends the process and loses open requests
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    await serve(settings, stop, reload)
    # the end of the event loop removes the handlers
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGHUP})


def main() -> int:
    """Load the configuration that BALANCER_CONFIG names and serve until stopped; returns the exit code."""
    log_to_stderr()
    try:
        settings = config.load(os.environ["BALANCER_CONFIG"])
    except CONFIGURATION_ERRORS as error:
        print(f"plovertrail: configuration: {error!r}", file=sys.stderr)
        return 2
    asyncio.run(run(settings))
    return 0


if __name__ == "__main__":
    sys.exit(main())
