"""Clients that send requests which are legal in size or never end, and keep their connections open."""

import contextlib
import socket
import threading

from harness.site import HOST

MAX_HEADER_BYTES = 16384
# What a client whose request does not end sends at most.
ENDLESS_BYTES = 4 << 20
PIECE_BYTES = 1 << 16
# Requests that a client repeats on new connections.
REPEATS = 4
# A client that the daemon does not answer stays this long at least; the daemon's own transfer timeout is longer.
ANSWER_TIMEOUT_S = 8
UNREAD_BYTES = 1500000


def head(lines="", content="content-length: 8"):
    return ("POST /open/1 HTTP/1.1\r\nhost: %s\r\nattempt-id: untrusted\r\ntimeout-ms: 3000\r\n%s%s\r\n\r\n" % (
        HOST, lines, content)).encode()


def fill(line, content="content-length: 8"):
    """Returns a head of the largest legal size that repeats a line."""
    return head(line * ((MAX_HEADER_BYTES - 100 - len(head("", content))) // len(line)), content)


def endless(start, piece):
    """Yields the start of a request, and then pieces up to ENDLESS_BYTES."""
    yield start
    for _ in range(ENDLESS_BYTES // PIECE_BYTES):
        yield (piece * (PIECE_BYTES // len(piece) + 1))[:PIECE_BYTES // len(piece) * len(piece)]


def short_of_the_end(body_bytes, chunked):
    """Yields a body of this many bytes but the last one."""
    left = body_bytes - 1
    yield head("", "transfer-encoding: chunked" if chunked else "content-length: %d" % body_bytes)
    while left > 0:
        size = min(left, PIECE_BYTES)
        left -= size
        if chunked:
            yield b"%x\r\n%s\r\n" % (size, b"b" * size) if left else b"%x\r\n%s" % (size + 1, b"b" * size)
        else:
            yield b"b" * size


def whole(body_bytes):
    """Yields a complete request."""
    yield head("", "content-length: %d" % body_bytes)
    yield b"b" * body_bytes


CHUNKED = "transfer-encoding: chunked"
NO_BODY_COMES = "content-length: 60000"
ODD_LINES = ("a:\r\n", "a: b\r\n", "x-long-name: 1\r\n", "a: b\r\n c\r\n", "a:  \t \r\n")


def requests_of_lines(lines, content, body):
    return [[fill(line, content) + body] for line in lines]


class Crowd:
    """Clients of one kind, each on a connection of its own; close() ends them."""

    def __init__(self, daemon, requests, count, reads=True, repeats=1):
        self.daemon, self.requests, self.reads, self.repeats = daemon, requests, reads, repeats
        self.sockets, self.ended = [], threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(i,), daemon=True) for i in range(count)]
        for thread in self.threads:
            thread.start()

    def run(self, number):
        for _ in range(self.repeats):
            with contextlib.suppress(OSError):
                self.send(self.requests[number % len(self.requests)])

    def send(self, request):
        connection = socket.socket()
        if not self.reads:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.settimeout(ANSWER_TIMEOUT_S)
        self.sockets.append(connection)
        connection.connect((self.daemon.address, self.daemon.front_port))
        for piece in request() if callable(request) else request:
            connection.sendall(piece)
        # A client that does not read knows from the first byte that its response is complete at the daemon.
        connection.recv(1, 0 if self.reads else socket.MSG_PEEK)

    def wait(self):
        """Waits until each client has sent all that it sends, or was closed, or got no answer in time."""
        for thread in self.threads:
            thread.join()

    def close(self):
        for connection in self.sockets:
            connection.close()
