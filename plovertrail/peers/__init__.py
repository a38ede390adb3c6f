"""Datagrams between instances: usage by key, counted over all of them. Never on the platform."""
