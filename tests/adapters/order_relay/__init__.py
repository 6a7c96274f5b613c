"""Tests of adapters.order_relay."""
