"""The WebSocket protocol (RFC 6455): the opening handshake, for both sides, and frames. It sets no policy."""
