"""Keeps the endpoints of one trusted source, at a cost that goes by what changes.

`endpoint_list` compares whole lists, so that guards and several sources can be applied. The platform's
discovery needs neither, and tells single changes among thousands of endpoints, hundreds of times a second.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from plovertrail.decisions.endpoint_list import ChangeKind, EndpointChange, EndpointMember, ListedEndpoint


class EndpointDirectory:
    """The current endpoints by their listed id, draining ones included.

    An endpoint id is never reused: an endpoint that is listed at another address is another one.
    """

    __slots__ = ("_members", "_names", "_last_endpoint_id")

    def __init__(self) -> None:
        self._members: dict[str, EndpointMember] = {}
        self._names: dict[int, str] = {}  # the listed id of each endpoint id
        self._last_endpoint_id = 0

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[str]:
        return iter(self._members)

    def __contains__(self, name: object) -> bool:
        return name in self._members

    def get(self, name: str) -> EndpointMember | None:
        """Return the endpoint of a listed id, if there is one."""
        return self._members.get(name)

    def name_of(self, endpoint_id: int) -> str | None:
        """Return the listed id of an endpoint, if it is listed."""
        return self._names.get(endpoint_id)

    def members(self) -> tuple[EndpointMember, ...]:
        """Return all endpoints."""
        return tuple(self._members.values())

    def replace(self, listed: Mapping[str, ListedEndpoint]) -> list[EndpointChange]:
        """Apply a whole list; endpoints that it does not name are removed."""
        changed: dict[str, ListedEndpoint | None] = dict.fromkeys(self._members.keys() - listed.keys())
        changed.update(listed)
        return self.update(changed)

    def update(self, changed: Mapping[str, ListedEndpoint | None]) -> list[EndpointChange]:
        """Apply changes, None for what is removed; returns the changes that follow, removals first."""
        changes = []
        for name, listed in changed.items():
            member = self._members.get(name)
            if member is not None and (listed is None or listed.address != member.listed.address):
                del self._members[name]
                del self._names[member.endpoint_id]
                changes.append(EndpointChange(ChangeKind.LEAVE, member))
        for name, listed in changed.items():
            change = None if listed is None else self._join_or_keep(name, listed)
            if change is not None:
                changes.append(change)
        return changes

    def _join_or_keep(self, name: str, listed: ListedEndpoint) -> EndpointChange | None:
        before = self._members.get(name)
        if before is None:
            return self._join(name, listed)
        if before.listed == listed:
            return None
        started_us = before.started_us if listed.started_us is None else listed.started_us
        member = self._members[name] = EndpointMember(before.endpoint_id, listed, started_us)
        return EndpointChange(_kind_of_change(before, listed), member)

    def _join(self, name: str, listed: ListedEndpoint) -> EndpointChange:
        self._last_endpoint_id += 1
        member = EndpointMember(self._last_endpoint_id, listed, listed.started_us or 0)
        self._members[name] = member
        self._names[member.endpoint_id] = name
        return EndpointChange(ChangeKind.JOIN, member)


def _kind_of_change(before: EndpointMember, listed: ListedEndpoint) -> ChangeKind:
    if before.listed.drain == listed.drain:
        return ChangeKind.CHANGE
    return ChangeKind.DRAIN if listed.drain else ChangeKind.UNDRAIN
