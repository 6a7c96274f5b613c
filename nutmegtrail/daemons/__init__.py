"""The long-running processes: entries and sidecars."""
