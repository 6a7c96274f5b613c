"""The long-running processes."""
