"""Parsing and reading of list files: partial writes are detected, and invalid files are rejected."""

from __future__ import annotations

import contextlib
import json
import os
import random
import threading
import time
from collections.abc import Callable
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plovertrail.decisions.endpoint_list import EndpointList, ListedEndpoint
from plovertrail.sources.file_reading import MIN_TRUSTED_AGE_S, FileSource
from plovertrail.sources.lists import MAX_FILE_BYTES, InvalidListError, parse, sealed


def rows(count: int, port: int = 9000) -> list[dict[str, object]]:
    return [
        {"id": f"s{n}", "address": f"127.0.0.1:{port + n}", "zone": "a", "weight": 1.0} for n in range(count)
    ]


def json_list(count: int = 5, port: int = 9000) -> bytes:
    return sealed("x.json", json.dumps({"version": count, "servers": rows(count, port)}).encode())


def toml_list(count: int = 5, port: int = 9000) -> bytes:
    text = "".join(
        f'[[servers]]\nid = "s{n}"\naddress = "127.0.0.1:{port + n}"\nzone = "a"\n' for n in range(count)
    )
    return sealed("x.toml", text.encode())


def line_list(count: int = 5, port: int = 9000) -> bytes:
    text = "".join(f"127.0.0.1:{port + n} id=s{n} zone=a weight=1  # one\n" for n in range(count))
    return sealed("x.list", text.encode())


FORMATS: dict[str, Callable[..., bytes]] = {"x.json": json_list, "x.toml": toml_list, "x.list": line_list}


@pytest.mark.parametrize("name", FORMATS)
def test_a_complete_list_is_parsed(name: str) -> None:
    found = parse(name, FORMATS[name](3), "src", checksum=True)
    assert found.source == "src"
    assert found.endpoints == tuple(ListedEndpoint(f"s{n}", ("127.0.0.1", 9000 + n), "a") for n in range(3))


@pytest.mark.parametrize("name", FORMATS)
def test_a_list_truncated_at_any_byte_is_rejected(name: str) -> None:
    whole = FORMATS[name](6)
    for cut in range(len(whole)):
        if whole[:cut].rstrip() == whole.rstrip():
            continue  # only the last line end is missing: the same list
        with pytest.raises(InvalidListError):
            parse(name, whole[:cut], "src", checksum=True)


@pytest.mark.parametrize("name", FORMATS)
def test_a_mixture_of_two_lists_never_gives_a_third_one(name: str) -> None:
    """A reader sees this during a rewrite in place; the lengths are equal, so only the checksum shows it."""
    old, new = FORMATS[name](6, 9000), FORMATS[name](6, 9500)
    assert len(old) == len(new)
    wanted = {parse(name, data, "", checksum=True) for data in (old, new)}
    for cut in range(0, len(old), 7):
        for mixture in (new[:cut] + old[cut:], old[:cut] + new[cut:]):
            with contextlib.suppress(InvalidListError):
                assert parse(name, mixture, "", checksum=True) in wanted


@pytest.mark.parametrize("name", FORMATS)
@pytest.mark.parametrize(
    ("what", "damage"),
    [
        ("a byte order mark", lambda data: b"\xef\xbb\xbf" + data),
        ("UTF-16", lambda data: data.decode().encode("utf-16")),
        ("a NUL", lambda data: data[:20] + b"\0" + data[20:]),
        ("nothing", lambda data: b""),
        ("only NULs", lambda data: bytes(len(data))),
        ("a byte of Latin-1", lambda data: data[:9] + b"\xe9" + data[9:]),
        ("itself twice", lambda data: data + data),
        ("too much", lambda data: data + b" " * MAX_FILE_BYTES),
        ("deep nesting", lambda data: b"[" * 100_000),
        ("another digit", lambda data: data.replace(b":9001", b":9009")),
    ],
)
def test_an_invalid_list_is_rejected_with_a_reason(
    name: str, what: str, damage: Callable[[bytes], bytes]
) -> None:
    with pytest.raises(InvalidListError) as caught:
        parse(name, damage(FORMATS[name]()), "src", checksum=True)
    assert str(caught.value)


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("localhost:80", "no address"),
        ("127.0.0.1", "no address"),
        ("127.0.0.1:0", "no port"),
        ("127.0.0.1:99999", "no port"),
        ("256.0.0.1:80", "no address"),
        ("127.0.0.01:80", "no address"),
        ("127.0.0.1:-1", "no address"),
        ("127.0.0.1:80 size=3", "line 1: 'size=3'"),
        ("127.0.0.1:80 weight=much", "the weight is no number"),
        ("127.0.0.1:80 drain=yes", "drain=true or"),
    ],
)
def test_an_invalid_line_is_reported(text: str, reason: str) -> None:
    with pytest.raises(InvalidListError) as caught:
        parse("x.list", text.encode() + b"\n", "", checksum=False)
    assert reason in str(caught.value)


@pytest.mark.parametrize(
    "found",
    [
        [],
        {"servers": {}},
        {"servers": [1]},
        {"servers": [{"id": "a"}]},
        {"server": []},
        {"servers": [{"id": "a", "address": "127.0.0.1:1", "size": 1}]},
        {"servers": [{"id": "a", "address": "127.0.0.1:1", "weight": "2"}]},
    ],
)
def test_json_of_another_structure_is_rejected(found: object) -> None:
    with pytest.raises(InvalidListError):
        parse("x.json", json.dumps(found).encode(), "", checksum=False)


@given(st.binary(max_size=200))
def test_random_bytes_are_parsed_or_rejected(data: bytes) -> None:
    for name in FORMATS:
        with contextlib.suppress(InvalidListError):
            parse(name, data, "", checksum=False)


# Files


def read(source: FileSource, now_s: float = 0.0) -> EndpointList | None:
    return source.read(now_s)[1]


def rejected(source: FileSource) -> str:
    with pytest.raises((InvalidListError, OSError)) as caught:
        source.read(0.0)
    return str(caught.value)


def test_other_kinds_of_files_are_rejected_at_once_and_a_later_list_is_read(tmp_path: Path) -> None:
    path = tmp_path / "x.json"
    source = FileSource(str(path))
    assert "No such file" in rejected(source)
    path.write_bytes(json_list(3))
    assert read(source) is not None
    path.unlink()
    os.mkfifo(path)
    assert "not a plain file" in rejected(source)  # without waiting for a writer
    path.unlink()
    path.mkdir()
    assert "the folder holds no list" in rejected(source)
    path.rmdir()
    with path.open("wb") as file:
        file.truncate(50 << 20)
    assert "longer than 8 MiB" in rejected(source)
    path.write_bytes(json_list(4))
    found = read(source)
    assert found is not None
    assert len(found.endpoints) == 4


def test_a_second_change_with_the_same_times_is_detected(tmp_path: Path) -> None:
    path = tmp_path / "x.json"
    source = FileSource(str(path))
    # whole seconds, as some file systems store them
    times = int(time.time() - MIN_TRUSTED_AGE_S / 3) * 1_000_000_000
    ports = []
    for port in (9000, 9500):
        with open(path, "r+b" if path.exists() else "wb") as file:
            file.write(json_list(3, port))
        os.utime(path, ns=(times, times))
        found = read(source)
        assert found is not None
        ports.append(found.endpoints[0].address[1])
    assert ports == [9000, 9500]


def test_links_that_are_replaced_as_in_config_maps_are_followed(tmp_path: Path) -> None:
    for number, folder in enumerate(("..v1", "..v2")):
        (tmp_path / folder).mkdir()
        (tmp_path / folder / "x.json").write_bytes(json_list(2 + number))
    (tmp_path / "..data").symlink_to("..v1")
    (tmp_path / "x.json").symlink_to("..data/x.json")
    for source in (FileSource(str(tmp_path / "x.json")), FileSource(str(tmp_path))):
        for folder, count in (("..v1", 2), ("..v2", 3)):
            (tmp_path / "..tmp").symlink_to(folder)
            os.replace(tmp_path / "..tmp", tmp_path / "..data")
            found = read(source)
            assert found is not None
            assert len(found.endpoints) == count


def test_a_folder_is_one_list_and_is_rejected_as_a_whole(tmp_path: Path) -> None:
    (tmp_path / "a.json").write_bytes(json_list(2))
    (tmp_path / "b.list").write_bytes(line_list(1, 9100).replace(b"id=s0", b"id=t0"))
    source = FileSource(str(tmp_path))
    assert "b.list: its checksum" in rejected(source)
    (tmp_path / "b.list").write_bytes(sealed("b.list", b"127.0.0.1:9100 id=t0\n"))
    (tmp_path / ".hidden").write_bytes(b"x")
    (tmp_path / "c.tmp").write_bytes(b"x")
    found = read(source)
    assert found is not None
    assert [row.id for row in found.endpoints] == ["s0", "s1", "t0"]
    (tmp_path / "a.json").unlink()
    found = read(source)
    assert found is not None
    assert [row.id for row in found.endpoints] == ["t0"]


def test_a_file_without_a_checksum_is_read_once_it_has_settled(tmp_path: Path) -> None:
    path = tmp_path / "x.list"
    path.write_bytes(b"127.0.0.1:9000\n")
    source = FileSource(str(path), checksum=False)
    assert source.read(0.0)[1] is None
    assert source.read(0.1)[1] is None
    found = source.read(0.3)[1]
    assert found is not None
    assert found.endpoints[0].id == "127.0.0.1:9000"
    path.write_bytes(b"127.0.0.1:9000\n127.0.0.1:90")
    assert source.read(0.4)[1] is None
    with pytest.raises(InvalidListError):
        source.read(0.9)  # the end of the last line never came


def test_partial_writes_never_give_a_list_that_was_not_written(tmp_path: Path) -> None:
    """A writer leaves partial files in several ways while a reader reads; each list read was complete."""
    rng = random.Random(7)
    for name, make in FORMATS.items():
        path = tmp_path / name
        complete = [make(2 + n % 4, 9000 + 100 * n) for n in range(12)]
        written = {parse(name, data, f"file:{path}", checksum=True) for data in complete}
        path.write_bytes(complete[0])
        done = threading.Event()

        def write_partially(
            path: Path = path, complete: list[bytes] = complete, done: threading.Event = done
        ) -> None:
            for step in range(36):
                old, new = rng.choice(complete), rng.choice(complete)
                cut = rng.randrange(len(new))
                for data in (new[:cut], new[:cut] + old[cut:], b"", new):
                    if step % 3 == 0:
                        path.write_bytes(data)  # truncated, then written
                    elif step % 3 == 1:
                        temporary = path.with_suffix(".tmp")
                        temporary.write_bytes(data)
                        os.replace(temporary, path)
                    else:
                        with open(path, "r+b", buffering=0) as file:  # over the old content
                            for at in range(0, len(data), 37):
                                file.write(data[at : at + 37])
                            file.truncate()
            done.set()

        writer = threading.Thread(target=write_partially)
        writer.start()
        source, accepted, rejections = FileSource(str(path)), 0, 0
        while not done.is_set():
            try:
                found = source.read(time.monotonic())[1]
            except (InvalidListError, OSError):
                rejections += 1
            else:
                assert found in written
                accepted += 1
        writer.join()
        path.write_bytes(complete[-1])
        assert source.read(time.monotonic())[1] in written
        assert accepted + rejections > 0
