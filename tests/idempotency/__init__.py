"""Tests of nutmegtrail.idempotency."""
