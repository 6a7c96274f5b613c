"""Tests of adapters/http1."""
