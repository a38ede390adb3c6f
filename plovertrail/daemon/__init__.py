"""The daemon: one process that serves under an operator's file and follows its changes."""
