"""Errors of bounded calls; they are handled like those of `httpx`."""

import httpx


class TooLarge(httpx.TransportError):
    """The response exceeds its limit, or gave way to others."""


class Encoded(httpx.TransportError):
    """The response is encoded, though this was not asked for."""
