"""A changed list at many list readers at once: the real reader with its threads, and no daemon around it.

Each process runs many readers on one event loop. None of them has notifications, so that a change is found
by their scans alone, which is the slowest way. What is measured is when the last reader has told its
subscriber of the change.
"""

from __future__ import annotations

import asyncio
import itertools
import multiprocessing
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from multiprocessing.connection import Connection
from pathlib import Path

from benchmarks.capacity.process_slopes import figure, has_slope, slope
from benchmarks.capacity.roles import RoleResult
from benchmarks.capacity.service_site import ServiceSite
from benchmarks.capacity.slopes import Axis, Situation, Slope, Unit
from benchmarks.capacity.target import BUDGET, TARGET
from benchmarks.report import Bar
from plovertrail.decisions.endpoint_list import EndpointList
from plovertrail.decisions.list_versions import SourceKey
from plovertrail.sources.list_reader import ListReader

READERS = (25, 50, 100, 200)
SHORT_READERS = (1, 2, 3, 4)
SHORT_SERVICES = 5
PROCESSES = 4
OLD_S = 4.0  # files that changed within 3 s are looked at more often
PATIENCE_S = 60.0
GAP_S = 0.37  # between two changes, so that they come at different moments of the scans


class ReaderTimeoutError(Exception):
    """Not all readers were told in time."""


@dataclass
class Followers:
    """The subscribers of one process: each reader follows all lists, and tells versions of the first."""

    keys: list[SourceKey]
    readers: int
    told: dict[int, int] = field(default_factory=dict)  # readers that were told of each version
    last_s: dict[int, float] = field(default_factory=dict)  # when the last one was, by time.monotonic
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def follow(self) -> list[ListReader]:
        """Make the readers, and let each follow all lists."""
        made = [ListReader(notifications=False) for _ in range(self.readers)]
        for number, reader in enumerate(made):
            for key in self.keys:
                taken = self.taken_first if key is self.keys[0] else self.taken
                reader.subscribe(key, f"reader {number}", taken, self.refused)
        return made

    async def taken(self, candidate: EndpointList) -> str:
        """Another list."""
        return ""

    async def taken_first(self, candidate: EndpointList) -> str:
        """A version of the first list."""
        self.told[candidate.version] = self.told.get(candidate.version, 0) + 1
        self.last_s[candidate.version] = time.monotonic()
        self.changed.set()
        return ""

    async def refused(self, source: str, why: str) -> None:
        """A list can't be read; its reader is missing in the count."""

    async def all_told(self, version: int) -> float:
        """When the last reader was told of a version."""
        while self.told.get(version, 0) < self.readers:
            self.changed.clear()
            await asyncio.wait_for(self.changed.wait(), PATIENCE_S)
        return self.last_s[version]


async def follow_lists(paths: list[str], readers: int, parent: Connection) -> None:
    """Read until the parent has no further version to wait for."""
    followers = Followers([SourceKey(path) for path in paths], readers)
    made = followers.follow()
    for version in itertools.count(1):
        try:
            parent.send(await followers.all_told(version))
        except TimeoutError:
            parent.send(None)
        if not await asyncio.to_thread(parent.recv):
            break
    for reader in made:
        reader.stop()


def run_process(paths: list[str], readers: int, parent: Connection) -> None:
    """The whole of one process."""
    asyncio.run(follow_lists(paths, readers, parent))


@contextmanager
def reading_processes(paths: list[str], readers: int, processes: int) -> Iterator[list[Connection]]:
    """So many readers, spread over processes; each connection tells when its readers were told."""
    context = multiprocessing.get_context("spawn")
    shares = [readers // processes + (number < readers % processes) for number in range(processes)]
    started = []
    for share in filter(None, shares):
        ours, theirs = context.Pipe()
        process = context.Process(target=run_process, args=(paths, share, theirs))
        process.start()
        started.append((process, ours))
    try:
        yield [connection for _, connection in started]
    finally:
        for process, _ in started:
            process.join(PATIENCE_S)
            if process.exitcode is None:
                process.kill()


def last_told(connections: list[Connection]) -> float:
    """When the last reader of all was told; raises ReaderTimeoutError."""
    times = []
    for connection in connections:
        at_s: float | None = connection.recv()
        if at_s is None:
            raise ReaderTimeoutError(f"not all readers were told within {PATIENCE_S:g} s")
        times.append(at_s)
    return max(times)


def change_times(readers: int, services: int, changes: int, processes: int, old_s: float) -> list[float]:
    """Seconds until a change of one list has been told by the last of so many readers."""
    took = []
    with tempfile.TemporaryDirectory() as folder:
        site = ServiceSite(Path(folder), services, TARGET.servers_per_service)
        site.write_lists()
        first = site.service_names()[0]
        paths = [str(site.list_path(service)) for service in site.service_names()]
        with reading_processes(paths, readers, processes) as connections:
            last_told(connections)
            for number in range(changes):
                time.sleep(old_s + GAP_S * number)
                replacement = site.prepare(first, number + 2)
                for connection in connections:
                    connection.send(True)
                began_s = time.monotonic()
                replacement.apply()
                took.append(last_told(connections) - began_s)
            for connection in connections:
                connection.send(False)
    return took


class HollowReaders:
    """A change of one list at many readers at once."""

    name = "hollow-readers"

    def measure(self, short: bool, repeats: int) -> RoleResult:
        """The time of the last reader against their number."""
        sizes = SHORT_READERS if short else READERS
        services = SHORT_SERVICES if short else TARGET.services
        found = {
            size: change_times(size, services, repeats, 1 if short else PROCESSES, 0.1 if short else OLD_S)
            for size in sizes
        }
        line = self._slope(found, services)
        most = max(found[max(sizes)])
        return RoleResult(
            slopes=(line,) if has_slope(found) else (),
            figures=tuple(
                figure(f"{size} readers of {services} lists: the last is told", values, "s")
                for size, values in found.items()
            ),
            bars=(Bar(f"a change in force at {max(sizes)} hollow readers, s", most, BUDGET.in_force_s),),
        )

    def _slope(self, found: dict[int, list[float]], services: int) -> Slope:
        return slope(
            self.name,
            Axis.SIDECARS,
            Unit.SECONDS,
            found,
            Situation.ORDINARY_DAY,
            f"readers of {services} lists on this machine at once, by scans alone, the last is told",
        )
