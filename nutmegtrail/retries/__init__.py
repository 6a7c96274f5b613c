"""Retry budgets, delivery state and quarantine of crashing requests."""
