"""plovertrail: a sidecar balancer on real sockets; its decisions are made in glenkeel."""
