"""Tells whether the bytes behind a complete response are copies of it.

Such bytes contradict the length of the response: they may be the remainder of its body. Only the same
response once more, from its first byte to its last, confirms where the one before it ends.
"""

from __future__ import annotations

import contextlib
import enum

import httptools

from plovertrail.upstreams.response_reader import ResponseReader, ResponseTooLongError

MESSAGE_START = b"HTTP/1."


class BytesBehind(enum.Enum):
    """What the bytes behind a response are."""

    COPIES = "copies"  # whole ones, and nothing else
    PART_OF_COPY = "part of a copy"  # as far as can be told
    OTHER = "other"  # the remainder of its body, or anything else


def classify_bytes_behind(reader: ResponseReader) -> BytesBehind:
    """Tell what the bytes behind a complete response are."""
    behind = reader.behind
    while behind:
        if not _starts_message(behind):
            return BytesBehind.OTHER
        copy = ResponseReader(reader.rules, reader.head_only, awaits_upgrade=False)
        with contextlib.suppress(
            httptools.HttpParserError, httptools.HttpParserUpgrade, ResponseTooLongError
        ):
            copy.feed(behind)
            if not copy.complete:
                copy.release()
                return BytesBehind.PART_OF_COPY
        copy.release()
        if not (copy.complete and copy.says_the_same(reader)):
            return BytesBehind.OTHER
        behind = copy.behind
    return BytesBehind.COPIES


def _starts_message(data: bytes) -> bool:
    start = data[: len(MESSAGE_START)]
    return MESSAGE_START.startswith(start)
