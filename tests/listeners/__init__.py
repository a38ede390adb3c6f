"""Tests of the listeners and the client connections."""
