"""Tests of the simulator's wire and adapter."""
