"""Errors of the store."""

from __future__ import annotations


class StoreError(Exception):
    """Base class of the store's errors."""


class StateFileError(StoreError):
    """A state file can't be used; the message gives the reason."""


class InvalidRecordsError(StoreError):
    """Records don't form a valid state; the message gives the reason."""
