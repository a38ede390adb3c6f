"""The one reader of lists: what changes reaches those concerned, whatever other files and their disks do."""

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

LONG_AGO = 1_600_000_000  # as Unix time: times that are trusted


def put(path: Path, port: int, seal: bool = True) -> None:
    """A list of one server at this port, in one rename, with times that are trusted."""
    data = f"127.0.0.1:{port} id=s\n".encode()
    beside = path.with_name(f".{path.name}.new")
    beside.write_bytes(sealed(path.name, data) if seal else data)
    os.utime(beside, (LONG_AGO + port, LONG_AGO + port) if seal else None)
    os.replace(beside, path)


class BlockedFiles(LocalFileSystem):
    """The system's files, some of which hang until they are let go."""

    def __init__(self) -> None:
        self.gates: dict[str, threading.Event] = {}
        self.reads: dict[str, int] = {}
        self.at_once: dict[str, int] = {}
        self.most_at_once = 0
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
        """The read that hangs; the next one hangs again."""
        gate = self.gates[str(path)]
        self.block(path)
        gate.set()

    def read(self, path: str) -> tuple[bytes, Signature]:
        """Hazard for a reader: the bytes are those of before the wait."""
        with self.lock:
            self.reads[path] = self.reads.get(path, 0) + 1
            self.at_once[path] = self.at_once.get(path, 0) + 1
            self.most_at_once = max(self.most_at_once, self.at_once[path])
        try:
            found = super().read(path)
            gate = self.gates.get(path)
            if gate is not None:
                self.arrived[path].set()
                gate.wait()
            return found
        finally:
            with self.lock:
                self.at_once[path] -= 1


class Follower:
    """A subscriber that keeps what it is told."""

    def __init__(self, name: str = "follower") -> None:
        self.name = name
        self.ports: list[int] = []
        self.wrong: list[str] = []
        self.turns: list[int] = []
        self.turn: Callable[[], int] = lambda: 0
        self.gate: asyncio.Event | None = None

    async def taken(self, candidate: EndpointList) -> str:
        if self.gate is not None:
            await self.gate.wait()
        self.ports.append(candidate.endpoints[0].address[1])
        self.turns.append(self.turn())
        return ""

    async def refused(self, source: str, why: str) -> None:
        self.wrong.append(why)

    def follow(self, reader: ListReader, path: Path, checksum: bool = True) -> Subscription:
        return reader.subscribe(SourceKey(str(path), checksum), self.name, self.taken, self.refused)


@asynccontextmanager
async def reading(files: BlockedFiles | None = None) -> AsyncIterator[ListReader]:
    """A reader with no notifications, and no scan but those that the test asks for."""
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
    """The safety scan, now."""
    if reader.scan.timer is not None:
        reader.scan.timer.cancel()
    reader.scan.begin()


async def told(followers: Iterable[Follower], port: int) -> None:
    await until(lambda: all(each.ports and each.ports[-1] == port for each in followers))


@asynccontextmanager
async def blocked_read(
    path: Path,
) -> AsyncIterator[tuple[ListReader, BlockedFiles, Follower, Subscription]]:
    """A file that was told once and has changed since, while the read of the change is held up."""
    files, follower = BlockedFiles(), Follower()
    put(path, 1)
    async with reading(files) as reader:
        subscription = follower.follow(reader, path)
        await told([follower], 1)
        files.block(path)
        put(path, 2)
        scan(reader)
        await asyncio.to_thread(files.arrived[str(path)].wait)
        yield reader, files, follower, subscription


def test_a_file_that_several_follow_is_read_once_and_only_they_are_told(tmp_path: Path) -> None:
    async def test() -> None:
        files = BlockedFiles()
        shared, other = tmp_path / "shared.list", tmp_path / "other.list"
        put(shared, 1)
        put(other, 1)
        async with reading(files) as reader:
            both, alone = [Follower("a"), Follower("b")], Follower("c")
            for each in both:
                each.follow(reader, shared)
            alone.follow(reader, other)
            await told([*both, alone], 1)
            assert files.reads == {str(shared): 1, str(other): 1}
            put(shared, 2)
            scan(reader)
            await told(both, 2)
            assert files.reads == {str(shared): 2, str(other): 1}
            assert alone.ports == [1]
            assert all(each.ports == [1, 2] for each in both)

    run(test)


def test_200_files_replaced_in_one_moment_are_told_one_a_turn_of_the_loop(tmp_path: Path) -> None:
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
        async with reading() as reader:
            followers = [Follower(str(number)) for number in range(200)]
            for path, each in zip(paths, followers, strict=True):
                each.turn = lambda: turn
                each.follow(reader, path)
            await told(followers, 1)
            for path in paths:
                put(path, 2)
            for each in followers:
                each.turns.clear()
            loop.call_soon(count)
            scan(reader)
            await told(followers, 2)
            turns = [at for each in followers for at in each.turns]
            assert len(turns) == len(set(turns)) == 200

    run(test)


def test_a_file_that_keeps_changing_holds_up_no_other(tmp_path: Path) -> None:
    class Restless(BlockedFiles):
        def read(self, path: str) -> tuple[bytes, Signature]:
            data, signature = super().read(path)
            return (
                (data + b"# %d\n" % self.reads[path], signature)
                if path.endswith("x.list")
                else (data, signature)
            )

    async def test() -> None:
        files = Restless()
        restless, calm = tmp_path / "x.list", [tmp_path / f"{number}.list" for number in range(20)]
        for path in (restless, *calm):
            put(path, 1, seal=False)
        async with reading(files) as reader:
            never, followers = Follower("x"), [Follower(path.name) for path in calm]
            never.follow(reader, restless, checksum=False)
            for path, each in zip(calm, followers, strict=True):
                each.follow(reader, path, checksum=False)
            await told(followers, 1)
            assert not never.ports
            read = files.reads[str(restless)]
            await until(lambda: files.reads[str(restless)] > read + 2)  # it is looked at again and again
            put(calm[0], 2, seal=False)
            scan(reader)
            await told(followers[:1], 2)
            assert not never.ports
            assert not never.wrong

    run(test)


def test_a_change_that_no_notification_tells_is_found_by_the_next_scan(tmp_path: Path) -> None:
    async def test() -> None:
        path, follower = tmp_path / "x.list", Follower()
        put(path, 1)
        async with reading() as reader:
            follower.follow(reader, path)
            await told([follower], 1)
            put(path, 2)
            assert reader.scan.timer is not None
            assert reader.scan.timer.when() - reader.loop.time() <= SCAN_PERIOD_US / 1e6
            await told([follower], 2)  # by the timer itself
            assert reader.scan.schedule.scans or reader.scan.began_us
            assert reader.scan.timer is not None
            assert reader.scan.timer.when() - reader.loop.time() <= SCAN_PERIOD_US / 1e6

    run(test)


def test_a_folder_that_is_made_again_and_links_that_are_swapped_are_followed(tmp_path: Path) -> None:
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
        async with reading(files) as reader:
            made, linked, plain = Follower("made"), Follower("linked"), Follower("plain")
            made.follow(reader, folder / "x.list")
            linked.follow(reader, swapped / "x.list")
            plain.follow(reader, swapped / "plain.list")
            await told([made, linked, plain], 1)
            shutil.rmtree(folder)
            scan(reader)
            await until(lambda: bool(made.wrong))
            assert made.ports == [1]
            assert "No such file" in made.wrong[0]
            folder.mkdir()
            put(folder / "x.list", 2)
            scan(reader)
            await told([made], 2)
            # what the system tells of a swap is the link in between
            (swapped / "..tmp").symlink_to("..v2")
            os.replace(swapped / "..tmp", swapped / "..data")
            requested = {each.version.key.path: each.job.requested for each in reader.sources.by_key.values()}
            reader._notified(frozenset({str(swapped / "..data")}))
            await told([linked], 2)
            after = {each.version.key.path: each.job.requested for each in reader.sources.by_key.values()}
            assert {path for path in after if after[path] > requested[path]} == {str(swapped / "x.list")}

    run(test)


def test_a_notification_of_one_file_costs_a_look_at_this_file_alone(tmp_path: Path) -> None:
    async def test() -> None:
        paths = [tmp_path / f"{number}.list" for number in range(50)]
        for path in paths:
            put(path, 1)
        async with reading() as reader:
            followers = [Follower(path.name) for path in paths]
            for path, each in zip(paths, followers, strict=True):
                each.follow(reader, path)
            await told(followers, 1)
            put(paths[7], 2)
            requested = sum(each.job.requested for each in reader.sources.by_key.values())
            reader._notified(frozenset({str(paths[7]), str(tmp_path / ".7.list.new")}))
            assert sum(each.job.requested for each in reader.sources.by_key.values()) == requested + 1
            await told([followers[7]], 2)

    run(test)


class FakeWatch:
    """Notifications that tell nothing, so that only the folders themselves are looked at."""

    def __init__(self, looks: threading.Semaphore) -> None:
        self.looks = looks
        self.closed = False

    def watch(self, debounce_ms: int, step_ms: int, timeout_ms: int, stop_event: threading.Event) -> str:
        self.looks.acquire()
        return "timeout"

    def close(self) -> None:
        self.closed = True


def test_the_watch_is_made_anew_when_a_folder_is_another_one(tmp_path: Path) -> None:
    looks, made = threading.Semaphore(0), list[FakeWatch]()
    opened, told_of = threading.Semaphore(0), list[frozenset[str]]()

    def open_watch(folders: list[str]) -> FakeWatch:
        made.append(FakeWatch(looks))
        opened.release()
        return made[-1]

    folder = tmp_path / "lists"
    folder.mkdir()
    watch = FolderNotifications(told_of.append, open_watch)
    watch.follow(frozenset({str(folder)}))
    assert opened.acquire(timeout=PATIENCE_S)
    looks.release()  # the folder is as it was
    (tmp_path / "kept").mkdir()  # so that its inode is not used again
    folder.rename(tmp_path / "old")
    folder.mkdir()
    looks.release()
    assert opened.acquire(timeout=PATIENCE_S)
    assert made[0].closed
    # what changed between the two watches was told by neither: all is to be looked at
    assert told_of[:1] == [frozenset()]
    watch.stop()
    looks.release(2)
    assert watch.thread is not None
    watch.thread.join(PATIENCE_S)
    assert not watch.thread.is_alive()
    assert len(told_of) == len(made) == 2


def test_the_first_read_waits_out_one_settling_time_for_all(
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
        paths[100].write_bytes(b"127.0.0.1:1 id=s\n127.0.0")  # its writer is half way
        async with reading() as reader:
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


def test_a_read_that_hangs_holds_up_no_other_and_comes_back(tmp_path: Path) -> None:
    async def test() -> None:
        files = BlockedFiles()
        hangs, fine = tmp_path / "hangs.list", tmp_path / "fine.list"
        for path in (hangs, fine):
            put(path, 1)
        async with reading(files) as reader:
            stuck, free = Follower("stuck"), Follower("free")
            for path, each in ((hangs, stuck), (fine, free)):
                each.follow(reader, path)
            await told([stuck, free], 1)
            files.block(hangs)
            put(hangs, 2)
            scan(reader)
            await until(lambda: bool(stuck.wrong))
            assert stuck.wrong == ["a read of it hangs"]
            assert stuck.ports == [1]
            # it makes this scan no longer
            assert reader.sources.by_key[SourceKey(str(hangs))].job not in reader.scan.pending
            assert reader.status()["hung"] == [str(hangs)]
            put(fine, 2)
            scan(reader)
            await told([free], 2)
            assert files.reads[str(hangs)] == 2  # it is not read beside the read that hangs
            await until(lambda: not reader.scan.pending)  # nor any after it
            scan(reader)
            assert not reader.scan.schedule.too_slow
            files.let_go(hangs)
            await told([stuck], 2)
            assert reader.status()["hung"] == []
            assert files.most_at_once == 1

    run(test)


def test_so_many_threads_hang_at_most_and_the_rest_is_told_as_untried(tmp_path: Path) -> None:
    async def test() -> None:
        files = BlockedFiles()
        paths = [tmp_path / f"{number:02}.list" for number in range(MAX_STUCK_THREADS + 4)]
        for path in paths:
            put(path, 1)
        async with reading(files) as reader:
            followers = [Follower(path.name) for path in paths]
            for path, each in zip(paths, followers, strict=True):
                each.follow(reader, path)
            await told(followers, 1)
            files.block(*paths)
            for path in paths:
                put(path, 2)
            scan(reader)
            while any(not each.wrong for each in followers):
                reader.watchdog.check()  # as time goes by
                await asyncio.sleep(0.01)
            states = [each.version.state for each in reader.sources.by_key.values()]
            assert states.count(ReadState.HUNG) == MAX_STUCK_THREADS
            assert states.count(ReadState.UNTRIED) == 4
            assert len(reader.workers.stuck) == MAX_STUCK_THREADS
            assert reader.workers.started == MAX_STUCK_THREADS
            assert any("reads hang" in problem for problem in reader.status()["problems"])
            files.let_go(*paths)
            await told(followers, 2)
            await until(lambda: not reader.status()["problems"] and not reader.status()["hung"])
            assert files.most_at_once == 1

    run(test)


def test_a_pause_of_the_process_is_no_read_that_hangs(tmp_path: Path) -> None:
    """After it the watchdog's time has come once, however long it was; the read goes on."""

    async def test() -> None:
        path = tmp_path / "x.list"
        async with blocked_read(path) as (reader, files, follower, _):
            assert reader.watchdog.timer is not None
            reader.watchdog.timer.cancel()
            reader.watchdog.check()  # the first sight of it; then 5 s in which nothing ran
            assert reader.watchdog.timer is not None
            reader.watchdog.timer.cancel()
            reader.loop.time = lambda: time.monotonic() + 5.0  # type: ignore[method-assign]
            reader.watchdog.check()
            assert reader.sources.by_key[SourceKey(str(path))].version.state is ReadState.GOOD
            files.let_go(path)
            await told([follower], 2)
            assert not follower.wrong

    run(test)


def test_two_changes_of_one_file_are_never_turned_round(tmp_path: Path) -> None:
    """The first is read, and hangs with what it has; meanwhile the file changes and is asked for again."""

    async def test() -> None:
        path = tmp_path / "x.list"
        async with blocked_read(path) as (reader, files, follower, subscription):
            put(path, 3)
            await until(lambda: bool(follower.wrong))  # another thread has taken over
            scan(reader)
            again = asyncio.ensure_future(subscription.read_now())
            await asyncio.sleep(0)
            files.let_go(path)
            await told([follower], 3)
            await again
            assert follower.ports in ([1, 2, 3], [1, 3])
            assert files.most_at_once == 1

    run(test)


def test_a_subscriber_that_is_slow_gets_the_latest_and_nothing_after_it(tmp_path: Path) -> None:
    async def test() -> None:
        path, follower, other = tmp_path / "x.list", Follower("slow"), Follower("other")
        put(path, 1)
        async with reading() as reader:
            subscription = follower.follow(reader, path)
            other.follow(reader, path)
            await told([follower, other], 1)
            follower.gate = asyncio.Event()
            for port in (2, 3, 4):
                put(path, port)
                await reader.read_now(subscription.followed)
            follower.gate.set()
            await told([follower, other], 4)
            await asyncio.sleep(0)
            assert follower.ports == sorted(set(follower.ports))
            assert other.ports[-1] == 4

    run(test)


def test_a_look_that_is_waited_for_begins_after_it_was_asked_for(tmp_path: Path) -> None:
    """As after a gap: one that was under way already may have read what held before it."""

    async def test() -> None:
        path = tmp_path / "x.list"
        async with blocked_read(path) as (reader, files, follower, subscription):
            put(path, 3)
            look = asyncio.ensure_future(subscription.read_now())
            await asyncio.sleep(0)
            assert reader.scan.timer is not None
            reader.scan.timer.cancel()  # the look alone brings the second read about
            files.let_one_go(path)
            await told([follower], 2)
            await asyncio.to_thread(files.arrived[str(path)].wait, PATIENCE_S)
            assert not look.done()
            files.let_go(path)
            assert await look
            assert follower.ports[-1] == 3

    run(test)


def test_what_is_followed_no_more_is_told_to_nobody_and_forgotten(tmp_path: Path) -> None:
    async def test() -> None:
        files = BlockedFiles()
        gone, stays = tmp_path / "gone.list", tmp_path / "stays.list"
        for path in (gone, stays):
            put(path, 1)
        async with reading(files) as reader:
            first, second = Follower("first"), Follower("second")
            subscription = first.follow(reader, gone)
            second.follow(reader, stays)
            await told([first, second], 1)
            files.block(gone)
            put(gone, 2)
            os.utime(gone)
            scan(reader)
            await asyncio.to_thread(files.arrived[str(gone)].wait)
            look = asyncio.ensure_future(subscription.read_now())
            await asyncio.sleep(0)
            subscription.stop()
            await look  # who waits for a look is not left waiting
            files.let_go(gone)
            await until(lambda: not subscription.followed.job.in_flight)
            # a reading that was on its way to the loop
            late = Reading(None, "torn", True, True, True, False, False, "", 0.0)
            reader._apply_reading(subscription.followed, late, 1)
            assert not reader.quick_looks.sources  # though its times are young
            put(stays, 2)
            scan(reader)
            await told([second], 2)
            assert first.ports == [1]
            assert list(reader.sources.by_key) == [SourceKey(str(stays))]
            assert len(reader.sources.by_path) == 1
            assert len(reader.in_force.accepted) == 1

    run(test)


def test_who_follows_a_file_after_its_first_read_is_told_what_changed_since(tmp_path: Path) -> None:
    async def test() -> None:
        path, follower = tmp_path / "x.list", Follower()
        put(path, 1)
        key = SourceKey(str(path))
        async with reading() as reader:
            found = (await reader.first_read([key]))[key]
            assert isinstance(found, EndpointList)
            assert found.endpoints[0].address[1] == 1
            put(path, 2)
            await reader.read_now(reader.sources.by_key[key])
            follower.follow(reader, path)
            await told([follower], 2)

    run(test)


def test_what_was_not_tried_is_read_once_a_thread_comes_back(tmp_path: Path) -> None:
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


def test_the_generation_and_digest_tell_whether_a_change_is_in_force(tmp_path: Path) -> None:
    async def test() -> None:
        paths = [tmp_path / name for name in ("a.list", "b.list")]
        for path in paths:
            put(path, 1)

        async def followed(order: list[Path]) -> tuple[ListReader, list[Follower]]:
            reader = ListReader(notifications=False)
            followers = [Follower(path.name) for path in order]
            for path, each in zip(order, followers, strict=True):
                each.follow(reader, path)
            await told(followers, 1)
            return reader, followers

        one, followers = await followed(paths)
        other, others = await followed(paths[::-1])
        await until(lambda: one.in_force.generation == other.in_force.generation == 2)
        assert one.in_force.digest() == other.in_force.digest()
        put(paths[0], 2)
        scan(one)
        await told(followers[:1], 2)
        await until(lambda: one.in_force.generation == 3)
        assert one.in_force.digest() != other.in_force.digest()
        scan(other)
        await told(others[1:], 2)
        await until(lambda: one.in_force.digest() == other.in_force.digest())
        one.stop()
        other.stop()

    run(test)
