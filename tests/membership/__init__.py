"""Tests of nutmegtrail.membership."""
