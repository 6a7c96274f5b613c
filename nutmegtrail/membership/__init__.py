"""Membership of entries and upstreams."""
