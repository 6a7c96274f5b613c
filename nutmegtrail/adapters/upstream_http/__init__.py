"""HTTP client for the upstream of a sidecar."""
