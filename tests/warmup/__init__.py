"""Tests of cold upstreams."""
