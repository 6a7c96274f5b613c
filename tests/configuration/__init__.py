"""Tests of nutmegtrail.configuration."""
