"""Status lines that are none of HTTP/1, for targets of tests."""

NO_STATUS_LINES = [
    *(
        f"HTTP/1.1 {status} X".encode()
        for status in (
            *("000", "0", "00", "099", "0200", "20", "600", "999", "1000", "99999"),
            *("-01", "-200", "+200", "2OO", "abc", "2.0", "", "\u00b2\u00b2\u00b2"),
        )
    ),
    b"HTTP/2.0 200 OK",
    b"HTTP/0.9 200 OK",
    b"HTTP/1.2 200 OK",
    b"ICY 200 OK",
    b"ICY/1.0 200 OK",
    b"RTSP/1.0 200 OK",
    b"junk",
]

BODIES = {
    "length": b"Content-Length: 4\r\n\r\npart",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n",
    "close": b"\r\npart",
}
