"""Tests of rehearsals: scenarios on a virtual clock, and what judges them."""
