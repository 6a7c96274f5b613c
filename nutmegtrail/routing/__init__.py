"""Selection of an upstream for a request."""
