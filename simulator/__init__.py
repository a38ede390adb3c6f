"""The simulator's wire, and the program that answers it with the decisions."""
