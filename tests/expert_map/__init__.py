"""Tests of nutmegtrail.expert_map."""
