"""HTTP server side: ASGI helpers and the server loop."""
