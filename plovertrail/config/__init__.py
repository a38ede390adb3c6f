"""What operators and the platform configure: read, checked, explained."""
