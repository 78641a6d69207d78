"""Complete responses that a connection sends without its handler.

Each announces the end of the connection.
"""

from __future__ import annotations

INTERNAL_ERROR = (
    b"HTTP/1.1 500 Internal Server Error\r\n"
    b"content-type: application/json\r\ncontent-length: 26\r\n"
    b'connection: close\r\n\r\n{"error":"internal_error"}'
)
HEAD_TOO_LONG = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)
TIMEOUT = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)
MEMORY_FULL = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"content-type: application/json\r\ncontent-length: 23\r\n"
    b"retry-after: 0.5\r\nconnection: close\r\n\r\n"
    b'{"error":"memory_full"}'
)
