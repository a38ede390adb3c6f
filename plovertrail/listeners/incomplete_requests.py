"""The requests that a listener has received in part, and a limit on the bytes of all of them together."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

ClientT = TypeVar("ClientT", bound=Hashable)


class IncompleteRequests(Generic[ClientT]):
    """The bytes of incomplete requests by client, least recently received first.

    The limits of one request allow all clients together to exhaust the memory of the process.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self._sizes: dict[ClientT, int] = {}

    def __len__(self) -> int:
        return len(self._sizes)

    def record(self, client: ClientT, size: int) -> None:
        """Record that bytes of a request have arrived; `size`: all that has been received of it."""
        self.forget(client)
        self._sizes[client] = size
        self.total_bytes += size

    def forget(self, client: ClientT) -> None:
        """Forget a client's request, as it is complete or was rejected."""
        if client in self._sizes:
            self.total_bytes -= self._sizes.pop(client)

    def pop_excess(self) -> ClientT | None:
        """Remove and return the client that has sent nothing for longest, if the limit is exceeded."""
        if self.total_bytes <= self.max_bytes:
            return None
        client = next(iter(self._sizes))
        self.forget(client)
        return client

    def describe(self) -> str:
        """Return how much is held, for the log."""
        return f"incomplete={len(self)} bytes={self.total_bytes} limit={self.max_bytes}"
