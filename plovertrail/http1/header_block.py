"""The headers of one message, packed while the rest of the message is awaited."""

from __future__ import annotations

from array import array
from collections.abc import Iterable, Iterator
from itertools import accumulate, chain

Header = tuple[bytes, bytes]
MAX_UNPACKED_HEADERS = 32  # with fewer, packing is not worth its time
SHORT_POSITIONS = "H"  # of array: 2 bytes each
LONG_POSITIONS = "I"
MAX_SHORT_POSITION = 0xFFFF


class HeaderBlock:
    """Headers in the order of their arrival, in one buffer.

    A tuple of two bytes objects takes about 190 bytes for a header line of 7, and hundreds of peers may each
    stop in the middle of a head of many short headers.
    """

    __slots__ = ("_data", "_ends")

    def __init__(self, headers: Iterable[Header] = ()) -> None:
        self._data = bytearray()
        self._ends = array(SHORT_POSITIONS)  # where each name and each value ends in the data
        self.extend(headers)

    def extend(self, headers: Iterable[Header]) -> None:
        """Add headers at the end."""
        parts = list(chain.from_iterable(headers))
        ends = accumulate(map(len, parts), initial=len(self._data))
        next(ends)  # the initial value
        self._data += b"".join(parts)
        if len(self._data) > MAX_SHORT_POSITION and self._ends.typecode == SHORT_POSITIONS:
            self._ends = array(LONG_POSITIONS, self._ends)
        self._ends.extend(ends)

    def __len__(self) -> int:
        return len(self._ends) // 2

    def __iter__(self) -> Iterator[Header]:
        data = bytes(self._data)
        begin = 0
        ends = iter(self._ends)
        for name_end in ends:
            value_end = next(ends)
            yield data[begin:name_end], data[name_end:value_end]
            begin = value_end


def packed_if_many(headers: list[Header]) -> list[Header] | HeaderBlock:
    """Return headers that are kept for a while, packed if they are many."""
    return headers if len(headers) <= MAX_UNPACKED_HEADERS else HeaderBlock(headers)


class IncomingHeaders(list[Header]):
    """The headers of a message that is being received; `pause` packs them if they are many.

    The list holds those that are not packed.
    """

    __slots__ = ("_packed",)

    def __init__(self) -> None:
        super().__init__()
        self._packed: HeaderBlock | None = None

    def pause(self) -> None:
        """Pack the headers: the remainder of the message is awaited, and may never come."""
        if len(self) <= MAX_UNPACKED_HEADERS:
            return
        if self._packed is None:
            self._packed = HeaderBlock()
        self._packed.extend(self)
        self.clear()

    def all(self) -> list[Header]:
        """Return all headers so far."""
        return self if self._packed is None else [*self._packed, *self]
