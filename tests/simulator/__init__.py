"""Tests of the simulator's wire protocol and adapter."""
