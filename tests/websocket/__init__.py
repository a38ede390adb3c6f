"""Tests of the WebSocket handshake and frames."""
