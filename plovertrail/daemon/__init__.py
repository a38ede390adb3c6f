"""The daemon: one process that serves an operator's configuration file and follows its changes."""
