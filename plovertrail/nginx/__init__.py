"""Reads nginx's configuration and writes an operator's file that means the same, or says where it doesn't."""
