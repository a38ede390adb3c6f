"""The simulator's wire protocol, and the adapter that runs load balancers on it."""
