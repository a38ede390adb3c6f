"""Files of server lists: every torn way to write one, and what a file must be to be taken."""

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
def test_a_whole_list_is_read(name: str) -> None:
    found = parse(name, FORMATS[name](3), "src", checksum=True)
    assert found.source == "src"
    assert found.endpoints == tuple(ListedEndpoint(f"s{n}", ("127.0.0.1", 9000 + n), "a") for n in range(3))


@pytest.mark.parametrize("name", FORMATS)
def test_a_list_cut_at_any_byte_is_never_taken(name: str) -> None:
    whole = FORMATS[name](6)
    for cut in range(len(whole)):
        if whole[:cut].rstrip() == whole.rstrip():
            continue  # the last line's end makes no other list
        with pytest.raises(InvalidListError):
            parse(name, whole[:cut], "src", checksum=True)


@pytest.mark.parametrize("name", FORMATS)
def test_a_mixture_of_two_lists_is_never_taken(name: str) -> None:
    """As a reader sees a rewrite in place that is half done: equal lengths, so that nothing else tells."""
    old, new = FORMATS[name](6, 9000), FORMATS[name](6, 9500)
    assert len(old) == len(new)
    wanted = {parse(name, data, "", checksum=True) for data in (old, new)}
    for cut in range(0, len(old), 7):
        for mixture in (new[:cut] + old[cut:], old[:cut] + new[cut:]):
            with contextlib.suppress(InvalidListError):
                assert parse(name, mixture, "", checksum=True) in wanted


@pytest.mark.parametrize("name", FORMATS)
@pytest.mark.parametrize(
    ("what", "made"),
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
def test_what_is_no_list_is_refused_with_a_reason(
    name: str, what: str, made: Callable[[bytes], bytes]
) -> None:
    with pytest.raises(InvalidListError) as caught:
        parse(name, made(FORMATS[name]()), "src", checksum=True)
    assert str(caught.value)


@pytest.mark.parametrize(
    ("text", "told"),
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
def test_a_line_that_is_no_endpoint_is_told(text: str, told: str) -> None:
    with pytest.raises(InvalidListError) as caught:
        parse("x.list", text.encode() + b"\n", "", checksum=False)
    assert told in str(caught.value)


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
def test_a_json_file_of_another_shape_is_refused(found: object) -> None:
    with pytest.raises(InvalidListError):
        parse("x.json", json.dumps(found).encode(), "", checksum=False)


@given(st.binary(max_size=200))
def test_noise_is_a_list_or_refused(noise: bytes) -> None:
    for name in FORMATS:
        with contextlib.suppress(InvalidListError):
            parse(name, noise, "", checksum=False)


# Files


def read(source: FileSource, at: float = 0.0) -> EndpointList | None:
    return source.read(at)[1]


def refused(source: FileSource) -> str:
    with pytest.raises((InvalidListError, OSError)) as caught:
        source.read(0.0)
    return str(caught.value)


def test_files_of_other_kinds_are_refused_at_once_and_read_again_when_back(tmp_path: Path) -> None:
    path = tmp_path / "x.json"
    source = FileSource(str(path))
    assert "No such file" in refused(source)
    path.write_bytes(json_list(3))
    assert read(source) is not None
    path.unlink()
    os.mkfifo(path)
    assert "not a plain file" in refused(source)  # and doesn't wait for a writer
    path.unlink()
    path.mkdir()
    assert "the folder holds no list" in refused(source)
    path.rmdir()
    with path.open("wb") as file:
        file.truncate(50 << 20)
    assert "longer than 8 MiB" in refused(source)
    path.write_bytes(json_list(4))
    found = read(source)
    assert found is not None
    assert len(found.endpoints) == 4


def test_a_second_change_under_the_same_times_is_seen(tmp_path: Path) -> None:
    path = tmp_path / "x.json"
    source = FileSource(str(path))
    times = int(time.time() - MIN_TRUSTED_AGE_S / 3) * 1_000_000_000  # whole seconds, as some disks keep them
    seen = []
    for port in (9000, 9500):
        with open(path, "r+b" if path.exists() else "wb") as file:
            file.write(json_list(3, port))
        os.utime(path, ns=(times, times))
        found = read(source)
        assert found is not None
        seen.append(found.endpoints[0].address[1])
    assert seen == [9000, 9500]


def test_links_that_are_swapped_as_config_maps_do_are_followed(tmp_path: Path) -> None:
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


def test_a_folder_of_fragments_is_one_list_in_full_or_not_at_all(tmp_path: Path) -> None:
    (tmp_path / "a.json").write_bytes(json_list(2))
    (tmp_path / "b.list").write_bytes(line_list(1, 9100).replace(b"id=s0", b"id=t0"))
    source = FileSource(str(tmp_path))
    assert "b.list: its checksum" in refused(source)
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


def test_a_file_without_a_checksum_is_taken_once_it_has_settled(tmp_path: Path) -> None:
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
        source.read(0.9)  # it never got its line's end


def test_a_hundred_torn_ways_to_write_a_file_never_give_a_list_that_nobody_wrote(tmp_path: Path) -> None:
    """A writer tears the file in every way that it can while a reader reads: what is taken, some whole file
    stated."""
    rng = random.Random(7)
    for name, make in FORMATS.items():
        path = tmp_path / name
        wholes = [make(2 + n % 4, 9000 + 100 * n) for n in range(12)]
        good = {parse(name, data, f"file:{path}", checksum=True) for data in wholes}
        path.write_bytes(wholes[0])
        ended = threading.Event()

        def tear(path: Path = path, wholes: list[bytes] = wholes, ended: threading.Event = ended) -> None:
            for step in range(36):
                old, new = rng.choice(wholes), rng.choice(wholes)
                cut = rng.randrange(len(new))
                for data in (new[:cut], new[:cut] + old[cut:], b"", new):
                    if step % 3 == 0:
                        path.write_bytes(data)  # truncated, then written
                    elif step % 3 == 1:
                        beside = path.with_suffix(".tmp")
                        beside.write_bytes(data)
                        os.replace(beside, path)
                    else:
                        with open(path, "r+b", buffering=0) as file:  # over what is there
                            for at in range(0, len(data), 37):
                                file.write(data[at : at + 37])
                            file.truncate()
            ended.set()

        writer = threading.Thread(target=tear)
        writer.start()
        source, taken, refusals = FileSource(str(path)), 0, 0
        while not ended.is_set():
            try:
                found = source.read(time.monotonic())[1]
            except (InvalidListError, OSError):
                refusals += 1
            else:
                assert found in good
                taken += 1
        writer.join()
        path.write_bytes(wholes[-1])
        assert source.read(time.monotonic())[1] in good
        assert taken + refusals > 0
