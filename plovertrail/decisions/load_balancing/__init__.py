"""Load balancing of requests over a group of endpoints: decisions only, without I/O, clock or logging."""
