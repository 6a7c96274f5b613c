"""Settings, configuration documents and their replication."""
