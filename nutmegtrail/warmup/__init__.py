"""Upstreams that bear few requests for some time after their start."""
