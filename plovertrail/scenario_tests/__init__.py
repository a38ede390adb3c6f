"""Plays scenarios through the daemon's own code, with no sockets and on its own clock, and judges them."""
