"""Whole fleets in one model on a virtual clock: the real decision modules, and emulated servers, network and
clients around them. Not loaded by the program itself."""
