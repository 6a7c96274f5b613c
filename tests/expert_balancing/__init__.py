"""Tests of expert_balancing."""
