"""Several processes of the daemon with a relay on every link, driven by a schedule and judged together."""
