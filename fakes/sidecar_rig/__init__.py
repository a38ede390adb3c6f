"""Real sidecar processes between servers and clients of our own, and an oracle over their records."""
