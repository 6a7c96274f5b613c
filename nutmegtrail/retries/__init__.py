"""Retry budgets, refusal reasons and quarantine of crashing requests."""
