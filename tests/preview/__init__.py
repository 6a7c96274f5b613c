"""Tests of nutmegtrail.preview."""
