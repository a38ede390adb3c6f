"""Tests of the sources of servers: lists in watched files, and discovery."""
