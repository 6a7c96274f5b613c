"""Whole answers: kept by request, resumed at an offset, matched by attempt."""
