"""Tests of the connections to the servers."""
