"""Too little room: room of groups, urgency, and when to come back."""
