"""Adapters for the users' platform: its headers, documents and APIs."""
