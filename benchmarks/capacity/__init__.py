"""Cost of each control role at the size that is planned for: `python -m benchmarks.capacity`."""
