"""The tests: one package for each package of the program, and what all of them share."""
