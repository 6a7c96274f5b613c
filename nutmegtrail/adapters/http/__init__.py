"""HTTP server of the daemons."""
