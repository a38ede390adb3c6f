"""Load balancing over the endpoints of one pool: decisions only, without I/O, clock or logging."""
