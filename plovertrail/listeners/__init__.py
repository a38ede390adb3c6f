"""Listeners and the connections of clients."""
