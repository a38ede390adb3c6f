"""Tests of the project's own servers and models."""
