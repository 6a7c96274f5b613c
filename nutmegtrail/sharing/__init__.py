"""Shares of the entries in what they may use together."""
