"""HTTP client of the upstream beside a sidecar."""
