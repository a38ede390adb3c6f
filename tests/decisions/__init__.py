"""Tests of the decisions, which need no sockets and no clock."""
