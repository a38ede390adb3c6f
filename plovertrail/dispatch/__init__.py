"""Dispatches requests: to pools, in attempts at endpoints, until each has its one final response."""
