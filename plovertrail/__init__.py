"""plovertrail: a balancer that keeps its rules when things break."""
