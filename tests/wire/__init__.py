"""Tests of nutmegtrail.wire."""
