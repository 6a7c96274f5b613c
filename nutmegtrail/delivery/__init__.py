"""Retries of requests and buffered responses that can be resumed."""
