"""Tests of nutmegtrail.limits."""
