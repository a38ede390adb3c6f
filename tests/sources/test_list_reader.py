"""The list reader delivers changes to their subscribers, whatever other files and their disks do."""

from __future__ import annotations

import asyncio
import os
import shutil
import threading
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from plovertrail.decisions.endpoint_list import EndpointList
from plovertrail.decisions.list_versions import SCAN_PERIOD_US, ReadState, SourceKey
from plovertrail.sources.file_notifications import FolderNotifications
from plovertrail.sources.file_reading import FileSource, LocalFileSystem, Signature
from plovertrail.sources.list_reader import ListReader
from plovertrail.sources.lists import sealed
from plovertrail.sources.read_workers import MAX_STUCK_THREADS, Reading, ReadJob, ReadWorkers
from plovertrail.sources.subscriptions import Subscription
from tests.net import PATIENCE_S, until

LONG_AGO = 1_600_000_000  # Unix time, old enough for a modification time to be trusted


def put(path: Path, port: int, seal: bool = True) -> None:
    """Atomically write a list with one server at this port; a sealed one gets an old, trusted time."""
    data = f"127.0.0.1:{port} id=s\n".encode()
    temporary = path.with_name(f".{path.name}.new")
    temporary.write_bytes(sealed(path.name, data) if seal else data)
    os.utime(temporary, (LONG_AGO + port, LONG_AGO + port) if seal else None)
    os.replace(temporary, path)


class BlockedFiles(LocalFileSystem):
    """The local file system, where reads of some files hang until they are released."""

    def __init__(self) -> None:
        self.gates: dict[str, threading.Event] = {}
        self.reads: dict[str, int] = {}
        self.concurrent: dict[str, int] = {}
        self.max_concurrent = 0
        self.arrived: dict[str, threading.Event] = {}
        self.lock = threading.Lock()

    def block(self, *paths: Path) -> None:
        for path in paths:
            self.gates[str(path)] = threading.Event()
            self.arrived[str(path)] = threading.Event()

    def let_go(self, *paths: Path) -> None:
        for path in paths:
            self.gates.pop(str(path)).set()

    def let_one_go(self, path: Path) -> None:
        """Release the read that hangs; the next one hangs again."""
        gate = self.gates[str(path)]
        self.block(path)
        gate.set()

    def read(self, path: str) -> tuple[bytes, Signature]:
        """Read the bytes before the wait, so that they may be outdated when they are returned."""
        with self.lock:
            self.reads[path] = self.reads.get(path, 0) + 1
            self.concurrent[path] = self.concurrent.get(path, 0) + 1
            self.max_concurrent = max(self.max_concurrent, self.concurrent[path])
        try:
            found = super().read(path)
            gate = self.gates.get(path)
            if gate is not None:
                self.arrived[path].set()
                gate.wait()
            return found
        finally:
            with self.lock:
                self.concurrent[path] -= 1


class RecordingSubscriber:
    """A subscriber that records its deliveries."""

    def __init__(self, name: str = "follower") -> None:
        self.name = name
        self.ports: list[int] = []
        self.problems: list[str] = []
        self.turns: list[int] = []
        self.turn: Callable[[], int] = lambda: 0
        self.gate: asyncio.Event | None = None

    async def on_list(self, listed: EndpointList) -> str:
        if self.gate is not None:
            await self.gate.wait()
        self.ports.append(listed.endpoints[0].address[1])
        self.turns.append(self.turn())
        return ""

    async def on_problem(self, source: str, problem: str) -> None:
        self.problems.append(problem)

    def subscribe(self, reader: ListReader, path: Path, checksum: bool = True) -> Subscription:
        return reader.subscribe(SourceKey(str(path), checksum), self.name, self.on_list, self.on_problem)


@asynccontextmanager
async def running_reader(files: BlockedFiles | None = None) -> AsyncIterator[ListReader]:
    """Run a reader without file notifications."""
    files = files or BlockedFiles()
    reader = ListReader(files, notifications=False)
    try:
        yield reader
    finally:
        reader.stop()
        for gate in files.gates.values():
            gate.set()


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(3 * PATIENCE_S):
            await test()

    asyncio.run(limited())


def scan(reader: ListReader) -> None:
    """Begin the safety scan now."""
    if reader.scan.timer is not None:
        reader.scan.timer.cancel()
    reader.scan.begin()


async def until_delivered(subscribers: Iterable[RecordingSubscriber], port: int) -> None:
    await until(lambda: all(each.ports and each.ports[-1] == port for each in subscribers))


@asynccontextmanager
async def blocked_read(
    path: Path,
) -> AsyncIterator[tuple[ListReader, BlockedFiles, RecordingSubscriber, Subscription]]:
    """A file that was delivered once and has changed since, while the read of the change hangs."""
    files, subscriber = BlockedFiles(), RecordingSubscriber()
    put(path, 1)
    async with running_reader(files) as reader:
        subscription = subscriber.subscribe(reader, path)
        await until_delivered([subscriber], 1)
        files.block(path)
        put(path, 2)
        scan(reader)
        await asyncio.to_thread(files.arrived[str(path)].wait)
        yield reader, files, subscriber, subscription


def test_a_shared_file_is_read_once_and_delivered_to_its_subscribers_only(tmp_path: Path) -> None:
    async def test() -> None:
        files = BlockedFiles()
        shared, other = tmp_path / "shared.list", tmp_path / "other.list"
        put(shared, 1)
        put(other, 1)
        async with running_reader(files) as reader:
            both, alone = [RecordingSubscriber("a"), RecordingSubscriber("b")], RecordingSubscriber("c")
            for each in both:
                each.subscribe(reader, shared)
            alone.subscribe(reader, other)
            await until_delivered([*both, alone], 1)
            assert files.reads == {str(shared): 1, str(other): 1}
            put(shared, 2)
            scan(reader)
            await until_delivered(both, 2)
            assert files.reads == {str(shared): 2, str(other): 1}
            assert alone.ports == [1]
            assert all(each.ports == [1, 2] for each in both)

    run(test)


def test_200_files_replaced_at_once_are_delivered_one_per_turn_of_the_loop(tmp_path: Path) -> None:
    async def test() -> None:
        turn = 0
        loop = asyncio.get_running_loop()

        def count() -> None:
            nonlocal turn
            turn += 1
            loop.call_soon(count)

        paths = [tmp_path / f"{number}.list" for number in range(200)]
        for path in paths:
            put(path, 1)
        async with running_reader() as reader:
            subscribers = [RecordingSubscriber(str(number)) for number in range(200)]
            for path, each in zip(paths, subscribers, strict=True):
                each.turn = lambda: turn
                each.subscribe(reader, path)
            await until_delivered(subscribers, 1)
            for path in paths:
                put(path, 2)
            for each in subscribers:
                each.turns.clear()
            loop.call_soon(count)
            scan(reader)
            await until_delivered(subscribers, 2)
            turns = [at for each in subscribers for at in each.turns]
            assert len(turns) == len(set(turns)) == 200

    run(test)


def test_a_file_that_keeps_changing_delays_no_other_file(tmp_path: Path) -> None:
    class ChangingFileSystem(BlockedFiles):
        def read(self, path: str) -> tuple[bytes, Signature]:
            data, signature = super().read(path)
            return (
                (data + b"# %d\n" % self.reads[path], signature)
                if path.endswith("x.list")
                else (data, signature)
            )

    async def test() -> None:
        files = ChangingFileSystem()
        changing, stable = tmp_path / "x.list", [tmp_path / f"{number}.list" for number in range(20)]
        for path in (changing, *stable):
            put(path, 1, seal=False)
        async with running_reader(files) as reader:
            unsettled, subscribers = (
                RecordingSubscriber("x"),
                [RecordingSubscriber(path.name) for path in stable],
            )
            unsettled.subscribe(reader, changing, checksum=False)
            for path, each in zip(stable, subscribers, strict=True):
                each.subscribe(reader, path, checksum=False)
            await until_delivered(subscribers, 1)
            assert not unsettled.ports
            reads = files.reads[str(changing)]
            await until(lambda: files.reads[str(changing)] > reads + 2)  # it is reread at intervals
            put(stable[0], 2, seal=False)
            scan(reader)
            await until_delivered(subscribers[:1], 2)
            assert not unsettled.ports
            assert not unsettled.problems

    run(test)


def test_a_change_without_a_notification_is_found_by_the_next_scan(tmp_path: Path) -> None:
    async def test() -> None:
        path, subscriber = tmp_path / "x.list", RecordingSubscriber()
        put(path, 1)
        async with running_reader() as reader:
            subscriber.subscribe(reader, path)
            await until_delivered([subscriber], 1)
            put(path, 2)
            assert reader.scan.timer is not None
            assert reader.scan.timer.when() - reader.loop.time() <= SCAN_PERIOD_US / 1e6
            await until_delivered([subscriber], 2)  # by the timer itself
            assert reader.scan.schedule.scans or reader.scan.began_us
            assert reader.scan.timer is not None
            assert reader.scan.timer.when() - reader.loop.time() <= SCAN_PERIOD_US / 1e6

    run(test)


def test_recreated_folders_and_replaced_links_are_followed(tmp_path: Path) -> None:
    async def test() -> None:
        folder, swapped = tmp_path / "made", tmp_path / "swapped"
        folder.mkdir()
        put(folder / "x.list", 1)
        for number in (1, 2):
            (swapped / f"..v{number}").mkdir(parents=True)
            put(swapped / f"..v{number}" / "x.list", number)
        (swapped / "..data").symlink_to("..v1")
        (swapped / "x.list").symlink_to("..data/x.list")
        put(swapped / "plain.list", 1)
        files = BlockedFiles()
        async with running_reader(files) as reader:
            recreated, linked, plain = (
                RecordingSubscriber("made"),
                RecordingSubscriber("linked"),
                RecordingSubscriber("plain"),
            )
            recreated.subscribe(reader, folder / "x.list")
            linked.subscribe(reader, swapped / "x.list")
            plain.subscribe(reader, swapped / "plain.list")
            await until_delivered([recreated, linked, plain], 1)
            shutil.rmtree(folder)
            scan(reader)
            await until(lambda: bool(recreated.problems))
            assert recreated.ports == [1]
            assert "No such file" in recreated.problems[0]
            folder.mkdir()
            put(folder / "x.list", 2)
            scan(reader)
            await until_delivered([recreated], 2)
            # the system's notification names the link that was replaced
            (swapped / "..tmp").symlink_to("..v2")
            os.replace(swapped / "..tmp", swapped / "..data")
            requested = {each.version.key.path: each.job.requested for each in reader.sources.by_key.values()}
            reader._notified(frozenset({str(swapped / "..data")}))
            await until_delivered([linked], 2)
            after = {each.version.key.path: each.job.requested for each in reader.sources.by_key.values()}
            assert {path for path in after if after[path] > requested[path]} == {str(swapped / "x.list")}

    run(test)


def test_a_notification_of_one_file_reads_this_file_only(tmp_path: Path) -> None:
    async def test() -> None:
        paths = [tmp_path / f"{number}.list" for number in range(50)]
        for path in paths:
            put(path, 1)
        async with running_reader() as reader:
            subscribers = [RecordingSubscriber(path.name) for path in paths]
            for path, each in zip(paths, subscribers, strict=True):
                each.subscribe(reader, path)
            await until_delivered(subscribers, 1)
            put(paths[7], 2)
            requested = sum(each.job.requested for each in reader.sources.by_key.values())
            reader._notified(frozenset({str(paths[7]), str(tmp_path / ".7.list.new")}))
            assert sum(each.job.requested for each in reader.sources.by_key.values()) == requested + 1
            await until_delivered([subscribers[7]], 2)

    run(test)


class FakeWatch:
    """A watch that reports no changes, so that only the checks of the folders themselves take effect."""

    def __init__(self, checks: threading.Semaphore) -> None:
        self.checks = checks
        self.closed = False

    def watch(self, debounce_ms: int, step_ms: int, timeout_ms: int, stop_event: threading.Event) -> str:
        self.checks.acquire()
        return "timeout"

    def close(self) -> None:
        self.closed = True


def test_the_watch_is_reopened_when_a_folder_is_recreated(tmp_path: Path) -> None:
    checks, made = threading.Semaphore(0), list[FakeWatch]()
    opened, reported = threading.Semaphore(0), list[frozenset[str]]()

    def open_watch(folders: list[str]) -> FakeWatch:
        made.append(FakeWatch(checks))
        opened.release()
        return made[-1]

    folder = tmp_path / "lists"
    folder.mkdir()
    watch = FolderNotifications(reported.append, open_watch)
    watch.follow(frozenset({str(folder)}))
    assert opened.acquire(timeout=PATIENCE_S)
    checks.release()  # the folder is unchanged
    (tmp_path / "kept").mkdir()  # so that the new folder does not get the same inode
    folder.rename(tmp_path / "old")
    folder.mkdir()
    checks.release()
    assert opened.acquire(timeout=PATIENCE_S)
    assert made[0].closed
    # changes between the two watches are reported by neither, so all files have to be read
    assert reported[:1] == [frozenset()]
    watch.stop()
    checks.release(2)
    assert watch.thread is not None
    watch.thread.join(PATIENCE_S)
    assert not watch.thread.is_alive()
    assert len(reported) == len(made) == 2


def test_the_first_read_waits_one_settling_time_for_all_files(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    slept: list[float] = []
    sleep = time.sleep

    def count(seconds: float) -> None:
        slept.append(seconds)
        sleep(seconds)

    async def test() -> None:
        paths = [tmp_path / f"{number}.list" for number in range(200)]
        for path in paths:
            put(path, 1, seal=False)
        paths[100].write_bytes(b"127.0.0.1:1 id=s\n127.0.0")  # half written
        async with running_reader() as reader:
            monkeypatch.setattr(time, "sleep", count)
            found = await reader.first_read(SourceKey(str(path), False) for path in paths)
            monkeypatch.undo()
            lists = [each for each in found.values() if isinstance(each, EndpointList)]
            assert len(lists) == 199
            assert len(slept) == 1
            wrong = found[SourceKey(str(paths[100]), False)]
            assert isinstance(wrong, str)
            assert "end of a line" in wrong

    run(test)


def test_a_read_that_hangs_blocks_no_other_and_can_recover(tmp_path: Path) -> None:
    async def test() -> None:
        files = BlockedFiles()
        hangs, fine = tmp_path / "hangs.list", tmp_path / "fine.list"
        for path in (hangs, fine):
            put(path, 1)
        async with running_reader(files) as reader:
            stuck, free = RecordingSubscriber("stuck"), RecordingSubscriber("free")
            for path, each in ((hangs, stuck), (fine, free)):
                each.subscribe(reader, path)
            await until_delivered([stuck, free], 1)
            files.block(hangs)
            put(hangs, 2)
            scan(reader)
            await until(lambda: bool(stuck.problems))
            assert stuck.problems == ["a read of it hangs"]
            assert stuck.ports == [1]
            # it doesn't prolong this scan
            assert reader.sources.by_key[SourceKey(str(hangs))].job not in reader.scan.pending
            assert reader.status()["hung"] == [str(hangs)]
            put(fine, 2)
            scan(reader)
            await until_delivered([free], 2)
            assert files.reads[str(hangs)] == 2  # no second read beside the one that hangs
            await until(lambda: not reader.scan.pending)  # nor does it prolong a later scan
            scan(reader)
            assert not reader.scan.schedule.too_slow
            files.let_go(hangs)
            await until_delivered([stuck], 2)
            assert reader.status()["hung"] == []
            assert files.max_concurrent == 1

    run(test)


def test_hanging_threads_are_limited_and_other_files_reported_as_untried(tmp_path: Path) -> None:
    async def test() -> None:
        files = BlockedFiles()
        paths = [tmp_path / f"{number:02}.list" for number in range(MAX_STUCK_THREADS + 4)]
        for path in paths:
            put(path, 1)
        async with running_reader(files) as reader:
            subscribers = [RecordingSubscriber(path.name) for path in paths]
            for path, each in zip(paths, subscribers, strict=True):
                each.subscribe(reader, path)
            await until_delivered(subscribers, 1)
            files.block(*paths)
            for path in paths:
                put(path, 2)
            scan(reader)
            while any(not each.problems for each in subscribers):
                reader.watchdog.check()  # instead of its timer
                await asyncio.sleep(0.01)
            states = [each.version.state for each in reader.sources.by_key.values()]
            assert states.count(ReadState.HUNG) == MAX_STUCK_THREADS
            assert states.count(ReadState.UNTRIED) == 4
            assert len(reader.workers.stuck) == MAX_STUCK_THREADS
            assert reader.workers.started == MAX_STUCK_THREADS
            assert any("reads hang" in problem for problem in reader.status()["problems"])
            files.let_go(*paths)
            await until_delivered(subscribers, 2)
            await until(lambda: not reader.status()["problems"] and not reader.status()["hung"])
            assert files.max_concurrent == 1

    run(test)


def test_a_pause_of_the_process_is_not_taken_for_a_hanging_read(tmp_path: Path) -> None:
    """After a pause of any length the watchdog's timer fires once, while the read continues."""

    async def test() -> None:
        path = tmp_path / "x.list"
        async with blocked_read(path) as (reader, files, subscriber, _):
            assert reader.watchdog.timer is not None
            reader.watchdog.timer.cancel()
            reader.watchdog.check()  # the first check of this read; then a pause of 5 s
            assert reader.watchdog.timer is not None
            reader.watchdog.timer.cancel()
            reader.loop.time = lambda: time.monotonic() + 5.0  # type: ignore[method-assign]
            reader.watchdog.check()
            assert reader.sources.by_key[SourceKey(str(path))].version.state is ReadState.GOOD
            files.let_go(path)
            await until_delivered([subscriber], 2)
            assert not subscriber.problems

    run(test)


def test_two_changes_of_one_file_are_never_delivered_in_reverse(tmp_path: Path) -> None:
    """The read of the first change hangs; meanwhile the file changes and another read is requested."""

    async def test() -> None:
        path = tmp_path / "x.list"
        async with blocked_read(path) as (reader, files, subscriber, subscription):
            put(path, 3)
            await until(lambda: bool(subscriber.problems))  # another thread has taken over
            scan(reader)
            again = asyncio.ensure_future(subscription.read_now())
            await asyncio.sleep(0)
            files.let_go(path)
            await until_delivered([subscriber], 3)
            await again
            assert subscriber.ports in ([1, 2, 3], [1, 3])
            assert files.max_concurrent == 1

    run(test)


def test_a_slow_subscriber_gets_the_latest_list_last(tmp_path: Path) -> None:
    async def test() -> None:
        path, subscriber, other = (
            tmp_path / "x.list",
            RecordingSubscriber("slow"),
            RecordingSubscriber("other"),
        )
        put(path, 1)
        async with running_reader() as reader:
            subscription = subscriber.subscribe(reader, path)
            other.subscribe(reader, path)
            await until_delivered([subscriber, other], 1)
            subscriber.gate = asyncio.Event()
            for port in (2, 3, 4):
                put(path, port)
                await reader.read_now(subscription.followed)
            subscriber.gate.set()
            await until_delivered([subscriber, other], 4)
            await asyncio.sleep(0)
            assert subscriber.ports == sorted(set(subscriber.ports))
            assert other.ports[-1] == 4

    run(test)


def test_an_awaited_read_begins_after_its_request(tmp_path: Path) -> None:
    """Needed after a pause of the process: a read in progress may have seen what held before the pause."""

    async def test() -> None:
        path = tmp_path / "x.list"
        async with blocked_read(path) as (reader, files, subscriber, subscription):
            put(path, 3)
            read = asyncio.ensure_future(subscription.read_now())
            await asyncio.sleep(0)
            assert reader.scan.timer is not None
            reader.scan.timer.cancel()  # only the awaited read causes the second one
            files.let_one_go(path)
            await until_delivered([subscriber], 2)
            await asyncio.to_thread(files.arrived[str(path)].wait, PATIENCE_S)
            assert not read.done()
            files.let_go(path)
            assert await read
            assert subscriber.ports[-1] == 3

    run(test)


def test_a_source_without_subscriptions_is_removed_and_delivered_to_nobody(tmp_path: Path) -> None:
    async def test() -> None:
        files = BlockedFiles()
        gone, stays = tmp_path / "gone.list", tmp_path / "stays.list"
        for path in (gone, stays):
            put(path, 1)
        async with running_reader(files) as reader:
            first, second = RecordingSubscriber("first"), RecordingSubscriber("second")
            subscription = first.subscribe(reader, gone)
            second.subscribe(reader, stays)
            await until_delivered([first, second], 1)
            files.block(gone)
            put(gone, 2)
            os.utime(gone)
            scan(reader)
            await asyncio.to_thread(files.arrived[str(gone)].wait)
            read = asyncio.ensure_future(subscription.read_now())
            await asyncio.sleep(0)
            subscription.stop()
            await read  # a caller that waits for a read is woken
            files.let_go(gone)
            await until(lambda: not subscription.followed.job.in_flight)
            # a reading that reaches the loop late
            late = Reading(None, "torn", True, True, True, False, False, "", 0.0)
            reader._apply_reading(subscription.followed, late, 1)
            assert not reader.quick_looks.sources  # although it may change again
            put(stays, 2)
            scan(reader)
            await until_delivered([second], 2)
            assert first.ports == [1]
            assert list(reader.sources.by_key) == [SourceKey(str(stays))]
            assert len(reader.sources.by_path) == 1
            assert len(reader.in_force.accepted) == 1

    run(test)


def test_a_subscriber_after_the_first_read_gets_later_changes(tmp_path: Path) -> None:
    async def test() -> None:
        path, subscriber = tmp_path / "x.list", RecordingSubscriber()
        put(path, 1)
        key = SourceKey(str(path))
        async with running_reader() as reader:
            found = (await reader.first_read([key]))[key]
            assert isinstance(found, EndpointList)
            assert found.endpoints[0].address[1] == 1
            put(path, 2)
            await reader.read_now(reader.sources.by_key[key])
            subscriber.subscribe(reader, path)
            await until_delivered([subscriber], 2)

    run(test)


def test_untried_files_are_read_once_a_thread_recovers(tmp_path: Path) -> None:
    files, ended = BlockedFiles(), threading.Semaphore(0)
    paths = [tmp_path / f"{number:02}.list" for number in range(MAX_STUCK_THREADS + 1)]
    for path in paths:
        put(path, 1)
    files.block(*paths[:MAX_STUCK_THREADS])
    read: list[str] = []

    def note(job: ReadJob, found: Reading, begun: int, awaited: bool) -> None:
        read.append(job.source.path)
        ended.release()

    workers = ReadWorkers(note, time.monotonic)
    jobs = [ReadJob(FileSource(str(path), files=files)) for path in paths]
    workers.submit_all(jobs)
    for path in paths[:MAX_STUCK_THREADS]:
        assert files.arrived[str(path)].wait(PATIENCE_S)
        busy = workers.busy()
        assert busy is not None
        workers.hand_over(*busy)
    assert workers.untried() == jobs[MAX_STUCK_THREADS:]
    assert not read
    files.let_go(paths[3])
    assert ended.acquire(timeout=PATIENCE_S)
    assert ended.acquire(timeout=PATIENCE_S)
    assert read == [str(paths[3]), str(paths[MAX_STUCK_THREADS])]
    files.let_go(*paths[:3], *paths[4:MAX_STUCK_THREADS])
    workers.close()


def test_the_generation_and_digest_show_whether_a_change_is_in_force(tmp_path: Path) -> None:
    async def test() -> None:
        paths = [tmp_path / name for name in ("a.list", "b.list")]
        for path in paths:
            put(path, 1)

        async def subscribed(order: list[Path]) -> tuple[ListReader, list[RecordingSubscriber]]:
            reader = ListReader(notifications=False)
            subscribers = [RecordingSubscriber(path.name) for path in order]
            for path, each in zip(order, subscribers, strict=True):
                each.subscribe(reader, path)
            await until_delivered(subscribers, 1)
            return reader, subscribers

        one, subscribers = await subscribed(paths)
        other, others = await subscribed(paths[::-1])
        await until(lambda: one.in_force.generation == other.in_force.generation == 2)
        assert one.in_force.digest() == other.in_force.digest()
        put(paths[0], 2)
        scan(one)
        await until_delivered(subscribers[:1], 2)
        await until(lambda: one.in_force.generation == 3)
        assert one.in_force.digest() != other.in_force.digest()
        scan(other)
        await until_delivered(others[1:], 2)
        await until(lambda: one.in_force.digest() == other.in_force.digest())
        one.stop()
        other.stop()

    run(test)
