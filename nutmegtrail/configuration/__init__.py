"""Configuration documents, their revisions and their spread."""
