"""Tests of nutmegtrail.delivery."""
