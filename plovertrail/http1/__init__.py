"""Reading and writing HTTP/1.1 (RFC 9112); no policy."""
