"""The headers of a message are kept in about the bytes that they take on the wire."""

from __future__ import annotations

import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plovertrail.http1.header_block import HeaderBlock
from plovertrail.upstreams.response_reader import MAX_HEAD_BYTES, ResponseReader, ResponseRules

MAX_GROWTH = 2  # of what is kept, to what was received


@given(st.lists(st.tuples(st.binary(max_size=6), st.binary(max_size=6))))
def test_headers_are_given_back_as_they_were_added(headers: list[tuple[bytes, bytes]]) -> None:
    block = HeaderBlock(headers[:2])
    block.extend(headers[2:])
    assert list(block) == headers
    assert len(block) == len(headers)


def test_headers_of_any_length_are_given_back() -> None:
    headers = [(b"short", b"a"), (b"long", b"b" * 40_000), (b"longer", b"c" * 70_000), (b"", b"")]
    block = HeaderBlock(headers[:1])
    for header in headers[1:]:
        block.extend([header])
    assert list(block) == headers


# Guards against endpoints whose heads do not end: each kept up to 0.8 MB for 32 KB that it had sent.
@pytest.mark.parametrize("header", [b"ab:cd\r\n", b"a:\r\n"])
def test_the_head_of_a_response_takes_little_more_memory_than_its_bytes(header: bytes) -> None:
    head = (b"HTTP/1.1 200 OK\r\n" + header * MAX_HEAD_BYTES)[: MAX_HEAD_BYTES - 1]
    readers = [ResponseReader(ResponseRules(), head_only=False, awaits_upgrade=False) for _ in range(10)]
    tracemalloc.start()
    try:
        for reader in readers:
            reader.feed(head)
        kept, _peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert not any(reader.too_long for reader in readers)
    assert kept < MAX_GROWTH * len(readers) * len(head)
