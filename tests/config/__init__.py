"""Tests of the configuration: what is read, what is refused and what is explained."""
