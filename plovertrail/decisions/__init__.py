"""The decisions: pure, with no I/O and no clock. Events go in, actions come out; times are arguments."""
