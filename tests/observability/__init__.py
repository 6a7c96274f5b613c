"""Tests of logs and request diagnosis."""
