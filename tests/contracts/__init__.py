"""Tests of nutmegtrail.contracts."""
