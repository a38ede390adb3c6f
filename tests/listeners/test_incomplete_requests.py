"""The limit on the bytes of all incomplete requests of a listener."""

from __future__ import annotations

from plovertrail.listeners.incomplete_requests import IncompleteRequests


def test_the_client_that_has_sent_nothing_for_longest_is_removed_first() -> None:
    incomplete: IncompleteRequests[str] = IncompleteRequests(10)
    incomplete.record("slow", 2)
    incomplete.record("stopped", 4)
    incomplete.record("slow", 3)
    assert incomplete.pop_excess() is None
    incomplete.record("new", 4)
    assert incomplete.pop_excess() == "stopped"
    assert incomplete.pop_excess() is None
    assert incomplete.total_bytes == 7


def test_the_bytes_of_a_request_that_is_complete_no_longer_count() -> None:
    incomplete: IncompleteRequests[str] = IncompleteRequests(10)
    incomplete.record("first", 8)
    incomplete.forget("first")
    incomplete.forget("first")
    incomplete.record("second", 8)
    assert incomplete.pop_excess() is None
    assert len(incomplete) == 1
