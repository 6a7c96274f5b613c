"""Tests of planned stops."""
