"""The table of followed sources, by key, path and folder."""

from __future__ import annotations

import os
from collections.abc import Collection, Iterable

from plovertrail.decisions.list_versions import SourceKey
from plovertrail.sources.subscriptions import FollowedSource


class SourceTable:
    """All followed sources; paths are absolute."""

    def __init__(self) -> None:
        self.by_key: dict[SourceKey, FollowedSource] = {}
        self.by_path: dict[str, list[FollowedSource]] = {}
        self.by_folder: dict[str, list[FollowedSource]] = {}

    def all(self) -> Collection[FollowedSource]:
        """Return all sources."""
        return self.by_key.values()

    def add(self, followed: FollowedSource) -> None:
        """Add a source."""
        key = followed.version.key
        path = os.path.abspath(key.path)
        self.by_key[key] = followed
        self.by_path.setdefault(path, []).append(followed)
        self.by_folder.setdefault(os.path.dirname(path), []).append(followed)

    def remove(self, followed: FollowedSource) -> None:
        """Remove a source."""
        key = followed.version.key
        path = os.path.abspath(key.path)
        del self.by_key[key]
        for table, place in ((self.by_path, path), (self.by_folder, os.path.dirname(path))):
            table[place].remove(followed)
            if not table[place]:
                del table[place]

    def folders_to_watch(self) -> frozenset[str]:
        """Return the folders of all sources, and the sources that are folders."""
        folders = {path for path, found in self.by_path.items() if any(each.is_folder for each in found)}
        return frozenset(folders | self.by_folder.keys())

    def concerned_by(self, paths: Iterable[str]) -> list[FollowedSource]:
        """Return the sources that changes of these paths may concern.

        Those are the sources at these paths, the folders that hold them if they form one list, and all
        symbolic links beside them, since a changed path may be one that the links lead through.
        """
        changed = frozenset(paths)
        folders = {os.path.dirname(path) for path in changed}
        concerned: dict[SourceKey, FollowedSource] = {}
        for path in changed | folders:
            for each in self.by_path.get(path, ()):
                concerned[each.version.key] = each
        for folder in folders:
            for each in self.by_folder.get(folder, ()):
                if each.is_linked:
                    concerned[each.version.key] = each
        return list(concerned.values())
