"""Randomized soak of real entry processes under faults from outside."""
