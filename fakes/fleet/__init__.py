"""Thousands of instances in a few processes, and the servers and the discovery that they meet."""
