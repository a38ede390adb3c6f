"""Tests of the dispatcher and its parts."""
