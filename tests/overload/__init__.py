"""Tests of nutmegtrail.overload."""
