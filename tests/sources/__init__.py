"""Tests of the sources of endpoints: lists in watched files, and discovery."""
