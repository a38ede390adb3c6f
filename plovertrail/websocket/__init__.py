"""WebSocket (RFC 6455): the handshake, both sides, and frames; no policy."""
