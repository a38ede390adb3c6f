"""Tests of the journal and the snapshots."""
