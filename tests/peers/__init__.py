"""Shared counts."""
