"""Connections to servers, and the attempts that they carry."""
