"""Tests of nutmegtrail.host_limits."""
