"""UDP datagrams between instances: shared counters, cluster membership and health reports.

Not used on the platform.
"""
