"""Client for the platform's host list."""
