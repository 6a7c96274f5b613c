"""Refusal reasons, quarantine of crashing requests and retry constants."""
