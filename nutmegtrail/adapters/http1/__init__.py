"""HTTP/1.1 with raw headers: a server and a client on httptools."""
