"""Tests of adapters."""
