"""Tests of the load balancing decisions, which need no sockets and no clock."""
