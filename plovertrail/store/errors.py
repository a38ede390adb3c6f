"""Errors of the store."""

from __future__ import annotations


class StoreError(Exception):
    """Base class of the errors that the store raises."""


class StateFileError(StoreError):
    """A state file that can't be used; the text says why."""


class InvalidRecordsError(StoreError):
    """Records that make up no state; the text says why."""
