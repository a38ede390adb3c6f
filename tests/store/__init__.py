"""Tests of the store: snapshots, the journal and the warm state."""
