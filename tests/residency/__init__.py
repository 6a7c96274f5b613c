"""Tests of allowed regions."""
