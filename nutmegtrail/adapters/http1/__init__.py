"""HTTP/1.1 server and client with raw headers, based on httptools."""
