"""Finds the empty lines at which the head of an HTTP/1.1 message, or a chunked body, may end.

The parser does not tell how many bytes it has used. A reader that feeds it no further than to the next such
place knows to the byte where a message ends, and what stands behind it.
"""

from __future__ import annotations

EMPTY_LINE = b"\r\n\r\n"
LAST_BYTES = len(EMPTY_LINE) - 1


class EmptyLineFinder:
    """Finds empty lines in the reads of one connection, also those that are cut apart."""

    __slots__ = ("_last_bytes",)

    def __init__(self) -> None:
        self._last_bytes = b""  # before the current read

    def next_stop(self, data: bytes, begin: int) -> int:
        """Return the position behind the next empty line of a read, or the end of the read."""
        if begin == 0 and self._last_bytes:
            at = (self._last_bytes + data[:LAST_BYTES]).find(EMPTY_LINE)
            if at >= 0:
                return at + len(EMPTY_LINE) - len(self._last_bytes)
        at = data.find(EMPTY_LINE, begin)
        return len(data) if at < 0 else at + len(EMPTY_LINE)

    def end_read(self, data: bytes) -> None:
        """Remember the end of a read; an empty line may be cut apart there."""
        self._last_bytes = (self._last_bytes + data[-LAST_BYTES:])[-LAST_BYTES:]

    def reset(self) -> None:
        """Begin with a new message."""
        self._last_bytes = b""
