"""Tests of the shares of the entries."""
