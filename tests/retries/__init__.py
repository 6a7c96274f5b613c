"""Tests of nutmegtrail.retries."""
