"""Tests of nutmegtrail.routing."""
