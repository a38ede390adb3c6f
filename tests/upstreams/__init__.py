"""Tests of connections to endpoints."""
