"""Connections to endpoints, and the attempts that they carry."""
