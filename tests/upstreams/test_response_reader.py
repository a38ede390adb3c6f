"""Reading one response: where it ends, and what comes behind it, however it is cut into pieces."""

from __future__ import annotations

import pytest

from plovertrail.upstreams.response_reader import ResponseReader, ResponseRules

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
RESPONSES = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\na\r\n\r\nbody",
    "no body": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "chunked": CHUNKED + b"7\r\na\r\n\r\nbc\r\n2\r\n\r\n\r\n0\r\n\r\n",
    "trailers": CHUNKED + b"2\r\nab\r\n0\r\nA: b\r\nC: d\r\n\r\n",
    "interim": b"HTTP/1.1 103 Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
    "status without a body": b"HTTP/1.1 204 No Content\r\nA: b\r\n\r\n",
}
BEHIND = [b"", b"\r\n", b"\n", b"\r\n\r\n", b"rest", b"HTTP/1.1 200 OK\r\n\r\n", b"\x00"]


def new_reader(head_only: bool = False) -> ResponseReader:
    return ResponseReader(ResponseRules(error_statuses=frozenset()), head_only, awaits_upgrade=False)


def read(reader: ResponseReader, *pieces: bytes) -> None:
    """Feed pieces until the response is complete; what comes later is not the reader's."""
    for piece in pieces:
        if not reader.complete:
            reader.feed(piece)


# Guards against a body that is cut off at a length that is too small: the bytes behind it were not looked at.
@pytest.mark.parametrize("behind", BEHIND)
@pytest.mark.parametrize("name", RESPONSES)
def test_what_comes_behind_a_response_is_told_to_the_byte(name: str, behind: bytes) -> None:
    response = RESPONSES[name]
    whole = new_reader()
    read(whole, response)
    data = response + behind
    for cut in range(len(data)):
        reader = new_reader()
        read(reader, data[:cut], data[cut:])
        assert reader.complete
        assert (reader.status, reader.body, reader.headers) == (whole.status, whole.body, whole.headers)
        assert reader.behind == (behind if cut < len(response) else data[len(response) : cut])
        assert reader.reusable is not bool(reader.behind)


def test_a_response_in_single_bytes_is_read_whole() -> None:
    for response in RESPONSES.values():
        reader = new_reader()
        read(reader, *(response[at : at + 1] for at in range(len(response))))
        assert reader.complete
        assert reader.behind == b""


def test_a_response_to_head_ends_with_its_head() -> None:
    reader = new_reader(head_only=True)
    read(reader, b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody")
    assert reader.complete
    assert reader.behind == b"body"
