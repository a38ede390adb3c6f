"""The model of whole fleets."""
