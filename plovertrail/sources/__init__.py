"""Sources of endpoint lists: watched files and the platform's discovery."""
