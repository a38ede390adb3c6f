"""The sidecar program of the platform: `python -m plovertrail`, configured by its environment."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
import sys
import time
from functools import partial

from plovertrail.clock import clock_us
from plovertrail.config import platform as config
from plovertrail.dispatch.dispatcher import Dispatcher
from plovertrail.dispatch.server_pool import ServerPool
from plovertrail.listeners.platform_listener import PlatformListener
from plovertrail.logs import log_to_stderr
from plovertrail.problem_log import ProblemLog, counters_line
from plovertrail.sources.directory import Directory
from plovertrail.sources.discovery import Discovery
from plovertrail.startup import RETRY_INTERVAL_S, StartRetries
from plovertrail.upstreams.connection_pool import ConnectionPool

log = logging.getLogger(__name__)

# The shutdown times are given in "Figures" on the platform's protocol page. After SIGTERM new connections
# arrive for up to NEW_CONNECTIONS_S. SIGKILL follows 0.7 s after the longest deadline, or 0.7 s after
# MAX_DEADLINE_S if that is shorter. The platform counts from sending SIGTERM, this program from receiving
# it. The rest of the 0.7 s covers late delivery: a CPU limit may pause a process for a tenth of a second.
NEW_CONNECTIONS_S = 0.4
ACCEPT_AFTER_STOP_S = 0.5
MAX_DEADLINE_S = 3.0
LAST_RESPONSES_S = 0.1  # to write the last responses; part of the 0.7 s
FLUSH_S = 0.05  # for clients that are slow to read the last responses
STOP_POLL_S = 0.01
COUNTERS_INTERVAL_S = 10.0
INCOMPLETE_REQUESTS_SHARE = 1 / 8  # of the memory limit, for bytes of requests that are not complete


async def follow_configuration(
    current: config.Config, reload: asyncio.Event, discovery: Discovery, problems: ProblemLog
) -> None:
    """Read the configuration again on each reload; only the address of discovery is applied."""
    while True:
        await reload.wait()
        reload.clear()
        try:
            current = config.load_successor(current.path, current)
        except config.ConfigurationError as error:
            # a missing or partly written file must not affect requests or the endpoint list
            problems.count("configurations_rejected")
            log.warning("configuration rejected, the one in force stays error=%.500s", error)
            continue
        problems.count("configurations_applied")
        log.info("configuration applied discovery=%s:%d", *current.discovery)
        discovery.change_address(current.discovery)


async def log_counters(*logs: ProblemLog) -> None:
    """Log the counters of attempts, responses and connections at intervals, if they have changed."""
    logged = ""
    while True:
        await asyncio.sleep(COUNTERS_INTERVAL_S)
        line = counters_line(*logs)
        if line != logged:
            log.info("counters %s", line)
            logged = line


async def listen(listener: PlatformListener, address: tuple[str, int], stop: asyncio.Event) -> None:
    """Listen as soon as that is possible; raises OSError if it is not, or not for too long."""
    retries = StartRetries()
    while not stop.is_set():
        try:
            listener.listen(address)
            return
        except OSError as error:
            if not retries.may_retry("listen", error):
                raise
        await asyncio.sleep(RETRY_INTERVAL_S)


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Create the event loop as soon as that is possible; raises OSError if it is not for too long."""
    retries = StartRetries()
    while True:
        try:
            return asyncio.new_event_loop()
        except OSError as error:
            if not retries.may_retry("event_loop", error):
                raise
        time.sleep(RETRY_INTERVAL_S)


async def serve(settings: config.Config, stop: asyncio.Event, reload: asyncio.Event) -> None:
    """Serve until `stop` is set, then answer the open requests and those that still arrive."""
    with contextlib.ExitStack() as stack:
        await _serve(settings, stop, reload, stack)


async def _serve(
    settings: config.Config, stop: asyncio.Event, reload: asyncio.Event, stack: contextlib.ExitStack
) -> None:
    loop = asyncio.get_running_loop()
    connections = ConnectionPool(
        settings.idle_us, settings.settings.connect_timeout_us, max_connections=settings.sockets * 3 // 8
    )
    dispatcher = Dispatcher()
    pool = dispatcher.pools.add("", settings.settings, settings.seed, connections)
    discovery = start_pool(settings, dispatcher, pool)
    stack.callback(discovery.close)
    # the remaining descriptors are for discovery, the listener, the log and connections being closed
    listener = PlatformListener(
        dispatcher,
        pool,
        settings.settings,
        max_clients=settings.sockets // 2,
        max_incomplete_bytes=int(settings.memory_bytes * INCOMPLETE_REQUESTS_SHARE),
    )
    reload_task = loop.create_task(follow_configuration(settings, reload, discovery, dispatcher.problems))
    stack.callback(reload_task.cancel)
    counters_task = loop.create_task(log_counters(dispatcher.problems, connections.problems))
    stack.callback(counters_task.cancel)
    await listen(listener, settings.listen, stop)
    await stop.wait()
    log.info("stop requested open=%d connections=%d", len(dispatcher.requests), listener.count())
    reload_task.cancel()
    counters_task.cancel()
    longest_deadline_s = max(request_class.deadline_us for request_class in settings.settings.classes) / 1e6
    await drain(listener, longest_deadline_s)
    discovery.close()
    log.info(
        "stopped open=%d %s",
        len(dispatcher.requests),
        counters_line(dispatcher.problems, connections.problems),
    )


def start_pool(settings: config.Config, dispatcher: Dispatcher, pool: ServerPool) -> Discovery:
    """Start a pool with the list that was last known, and return the discovery that it follows."""
    directory = Directory(settings.zones, settings.kinds)
    discovery = Discovery(settings.discovery, directory, partial(dispatcher.pools.update_endpoints, pool))
    dispatcher.discovery = discovery
    if settings.known:
        discovery.load_cached(settings.known)
    dispatcher.start(pool)
    if not settings.settings.endpoints_on_request:
        discovery.hold_open()
    return discovery


async def drain(listener: PlatformListener, longest_deadline_s: float) -> None:
    """Answer the open requests and those that still arrive, each within its deadline.

    Deadlines may end after SIGKILL: requests that are still open shortly before it are answered with an
    error.
    """
    loop = asyncio.get_running_loop()
    remaining_s = NEW_CONNECTIONS_S + min(longest_deadline_s, MAX_DEADLINE_S)
    ends_at = loop.time() + remaining_s + LAST_RESPONSES_S
    listener.finish_by(clock_us() + int(remaining_s * 1e6))
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
    # before the first client connects: by default either signal kills the process with its open requests
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    await serve(settings, stop, reload)
    # closing the event loop removes the handlers; a later signal must not kill the process
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGHUP})


def main() -> int:
    """Load the file named by BALANCER_CONFIG and serve until stopped; returns the exit code."""
    log_to_stderr()
    try:
        settings = config.load(os.environ["BALANCER_CONFIG"])
    except KeyError:
        print("plovertrail: configuration: BALANCER_CONFIG is not set", file=sys.stderr)
        return 2
    except config.ConfigurationError as error:
        print(f"plovertrail: configuration: {error}", file=sys.stderr)
        return 2
    try:
        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(run(settings))
    except OSError as error:
        print(f"plovertrail: start: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
