"""HTTP server and ASGI helpers."""
