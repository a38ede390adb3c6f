"""Tests of the exchange between instances: shared counters, cluster membership and health reports."""
