"""Tests of reading and writing HTTP/1.1."""
