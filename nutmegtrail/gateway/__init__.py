"""Direct delivery: an entry that calls upstreams without sidecars."""
