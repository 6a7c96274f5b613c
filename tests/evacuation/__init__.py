"""Tests of failure domains that are out of service."""
