"""Small replacements of the platform for tests and demonstrations."""
