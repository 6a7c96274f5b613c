"""Interfaces between the core and its adapters."""
