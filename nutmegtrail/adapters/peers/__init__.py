"""TCP connections between entries and sidecars."""
