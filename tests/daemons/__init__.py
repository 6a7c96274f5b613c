"""Tests of nutmegtrail.daemons."""
