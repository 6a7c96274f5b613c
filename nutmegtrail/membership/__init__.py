"""Live and leaving upstreams."""
