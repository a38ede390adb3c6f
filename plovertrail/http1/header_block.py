"""The headers of one message, kept compactly while the message is being received or forwarded."""

from __future__ import annotations

from array import array
from collections.abc import Iterator

SEPARATOR_BYTES = 4  # the colon, the space and the line end of a header line


class HeaderBlock:
    """Headers in the order of their arrival, in one buffer.

    A tuple of two bytes objects takes about 190 bytes for a header line of 7, and hundreds of peers may each
    stop in the middle of a head of many short headers.
    """

    __slots__ = ("_data", "_ends")

    def __init__(self) -> None:
        self._data = bytearray()
        self._ends = array("I")  # where each name and each value ends in the data

    def append(self, name: bytes, value: bytes) -> None:
        """Add a header at the end."""
        self._data += name
        self._ends.append(len(self._data))
        self._data += value
        self._ends.append(len(self._data))

    @property
    def size(self) -> int:
        """The bytes that the headers take on the wire."""
        return len(self._data) + SEPARATOR_BYTES * len(self)

    def __len__(self) -> int:
        return len(self._ends) // 2

    def __iter__(self) -> Iterator[tuple[bytes, bytes]]:
        data = bytes(self._data)
        begin = 0
        ends = iter(self._ends)
        for name_end in ends:
            value_end = next(ends)
            yield data[begin:name_end], data[name_end:value_end]
            begin = value_end
