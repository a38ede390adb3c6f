"""Tests of the daemon over real sockets."""
