"""Tests of the cluster of daemon processes."""
