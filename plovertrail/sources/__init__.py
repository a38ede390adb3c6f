"""Where lists of servers come from."""
