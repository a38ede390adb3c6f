"""The endpoints that discovery lists, and the events that follow from its lists and changes."""

from __future__ import annotations

import ipaddress
import json
import math
from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from plovertrail.config.platform import parse_address
from plovertrail.decisions.endpoint_directory import EndpointDirectory
from plovertrail.decisions.endpoint_list import ChangeKind, EndpointChange, ListedEndpoint
from plovertrail.decisions.events import Endpoint, EndpointStatus, EndpointsUpdated, ListKind
from plovertrail.sources.start_times import StartTimes

# A longer line would block the event loop for too long. It is decoded on a thread, which releases Python's
# lock every few milliseconds.
MAX_INLINE_LINE_BYTES = 65_536
STATES = {"active": EndpointStatus.READY, "leaving": EndpointStatus.DRAINING, "left": EndpointStatus.REMOVED}
Address = tuple[str, int]


class OlderChangeError(ValueError):
    """A change is older than the known version.

    Discovery was rolled back, or a replica that lags behind has answered.
    """


def parse_ipv4_address(text: str) -> Address:
    """Parse an IPv4 address and a port; raises ValueError.

    Host names are rejected because they would need a lookup. With a port out of range each attempt would run
    into its time-out.
    """
    host, port = parse_address(text)
    if port > 65_535:
        raise ValueError(f"port out of range: {text!r}")
    return str(ipaddress.IPv4Address(host)), port


def decode_line(line: bytes) -> Any:
    """Decode one line of JSON.

    json.loads holds Python's lock for a whole call and would block all threads on a long line. With an
    `object_hook` it runs Python code for each entry, where other threads can take over.
    """
    return (
        json.loads(line)
        if len(line) <= MAX_INLINE_LINE_BYTES
        else json.loads(line, object_hook=lambda entry: entry)
    )


class Directory:
    """Converts discovery's lists to events for the load balancer.

    No guard delays a list: the platform's drains count from the moment it announces them.
    """

    def __init__(self, zones: list[str], kinds: list[str]) -> None:
        self.zones = zones
        self.kinds = kinds
        self.endpoints = EndpointDirectory()
        self.starts = StartTimes()

    def read_line(self, line: bytes, known_version: int = 0) -> tuple[EndpointsUpdated, dict[int, Address]]:
        """Return the event for one line of a watch, and the addresses of its endpoints.

        `known_version` is the version that a change has to follow.
        """
        return self.read(decode_line(line), known_version=known_version)

    def read(
        self, listing: Any, kind: ListKind | None = None, known_version: int = 0
    ) -> tuple[EndpointsUpdated, dict[int, Address]]:
        """Return the event for one list, and the addresses of its endpoints.

        Raises an exception if the list is malformed, and then applies none of it. A change that is older than
        the known version is rejected, since it could send requests to a draining endpoint again. A full
        list is accepted whatever its version.
        """
        rev = int(listing["rev"])
        if kind is None:
            kind = ListKind.FULL if listing["all"] else ListKind.DELTA
        if kind is ListKind.DELTA and rev < known_version:
            raise OlderChangeError(f"a change of version {rev} after version {known_version}")
        changed = self._read_entries(listing["targets"])
        if kind is ListKind.DELTA:
            changes = self.endpoints.update(changed)
        else:
            self.endpoints.replace({name: entry for name, entry in changed.items() if entry is not None})
            changes = [EndpointChange(ChangeKind.JOIN, member) for member in self.endpoints.members()]
            self.starts.forget_unlisted(self.endpoints)
        for name, entry in changed.items():
            if entry is None:
                self.starts.forget(name)
        entries = [self.updated_endpoint(change) for change in changes]
        addresses = {change.member.endpoint_id: change.member.listed.address for change in changes}
        return EndpointsUpdated(kind, entries, rev), addresses

    def read_removals(self, line: bytes, known_version: int = 0) -> tuple[str, ...]:
        """Return the listed ids that a change drains or removes; none if it is malformed, or no change."""
        try:
            listing = decode_line(line)
            if listing["all"] or int(listing["rev"]) < known_version:
                return ()
            targets = listing["targets"]
            return tuple(
                str(item["uid"]) for item in targets if STATES[item["state"]] is not EndpointStatus.READY
            )
        except (ValueError, TypeError, LookupError, RecursionError):
            return ()  # it is rejected when its turn comes

    def draining(self, names: Iterable[str]) -> tuple[list[Endpoint], dict[int, Address]]:
        """Return the current endpoints of some listed ids as draining ones, and their addresses."""
        found = [member for member in map(self.endpoints.get, names) if member is not None]
        changes = [
            EndpointChange(ChangeKind.DRAIN, replace(member, listed=replace(member.listed, drain=True)))
            for member in found
        ]
        addresses = {member.endpoint_id: member.listed.address for member in found}
        return [self.updated_endpoint(change) for change in changes], addresses

    def _read_entries(self, targets: Any) -> dict[str, ListedEndpoint | None]:
        """Convert discovery's entries by their listed id; None for those that are removed."""
        self.starts.refresh()
        changed: dict[str, ListedEndpoint | None] = {}
        try:
            for item in targets:
                entry = self.listed_endpoint(item)
                changed.pop(entry.id, None)
                removed = STATES[item["state"]] is EndpointStatus.REMOVED
                changed[entry.id] = None if removed else entry
        except BaseException:
            self.starts.forget_unlisted(self.endpoints)
            raise
        return changed

    def listed_endpoint(self, item: Any) -> ListedEndpoint:
        """Convert one of discovery's entries."""
        weight = float(item["capacity_hint"])
        drains = STATES[item["state"]] is EndpointStatus.DRAINING
        return ListedEndpoint(
            str(item["uid"]),
            parse_ipv4_address(item["endpoint"]),
            item["az"],
            str(int(item["pod_group"])),
            weight if 0 < weight < math.inf else 1.0,
            drains,
            item["model"],
            self.starts.started_us(str(item["uid"]), int(item["boot_ms"])),
        )

    def updated_endpoint(self, change: EndpointChange) -> Endpoint:
        """Describe a changed endpoint for the load balancer."""
        member, entry = change.member, change.member.listed
        state = EndpointStatus.DRAINING if entry.drain else EndpointStatus.READY
        return Endpoint(
            id=member.endpoint_id,
            state=EndpointStatus.REMOVED if change.kind is ChangeKind.LEAVE else state,
            zone=self.zones.index(entry.zone) if entry.zone in self.zones else len(self.zones),
            kind=self.kinds.index(entry.model) if entry.model in self.kinds else len(self.kinds),
            cell=int(entry.cell),
            weight=entry.weight,
            started_us=member.started_us,
        )
