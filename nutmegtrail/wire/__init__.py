"""Messages exchanged between entries and sidecars."""
