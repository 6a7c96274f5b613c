"""Client of an engine's orders and of its place in a rank group."""
