"""Bytes without end that a faulty server sends in place of an answer."""

import socketserver
import threading
import time

PIECE = 65536
TRICKLE_PAUSE_S = 0.02
HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: s\r\n"
CHUNKED = HEAD + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def events():
    """Returns chunks of small events whose ids follow each other."""
    number = 1
    while True:
        yield chunk(b"".join(b"id: %d\ndata:\n\n" % n for n in range(number, number + 2000)))
        number += 2000


def repeated(piece):
    while True:
        yield piece


# By name: what is sent first, and an iterator of what follows.
KINDS = {
    "no-protocol": ("", lambda: repeated(b"a" * PIECE)),
    "head-lines": (HEAD, lambda: repeated(b"X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n" * 1000)),
    "head-value": (HEAD + "X-Filler: ", lambda: repeated(b"a" * PIECE)),
    "interim": ("", lambda: repeated(b"HTTP/1.1 100 Continue\r\n\r\n" * 1000)),
    "length": (HEAD + "Content-Length: 1000000000000\r\n\r\n", lambda: repeated(b"a" * PIECE)),
    "until-close": (HEAD + "\r\n", lambda: repeated(b"a" * PIECE)),
    "chunks": (CHUNKED, lambda: repeated(chunk(b"a" * PIECE))),
    "small-chunks": (CHUNKED, lambda: repeated(chunk(b"a") * 5000)),
    "chunk-size": (CHUNKED, lambda: repeated(b"0" * PIECE)),
    "chunk-extension": (CHUNKED + "5;", lambda: repeated(b"a" * PIECE)),
    "trailer": (CHUNKED + "0\r\n", lambda: repeated(b"X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n" * 1000)),
    "failure": (CHUNKED.replace("200 OK", "500 Failed"), lambda: repeated(chunk(b"a" * PIECE))),
    "event": (CHUNKED, lambda: repeated(chunk(b"data: " + b"a" * PIECE))),
    "event-fields": (CHUNKED, lambda: repeated(chunk(b"data: a\n" * 5000))),
    "events": (CHUNKED, events),
    "comments": (CHUNKED, lambda: repeated(chunk(b": a\n\n" * 5000))),
    "trickle": (HEAD + "X-Filler: ", lambda: repeated(None)),
}


class FloodServer(socketserver.ThreadingTCPServer):
    """Answers whatever arrives at an address with a flood, until it is closed."""

    allow_reuse_address = True
    daemon_threads = True
    block_on_close = False

    def __init__(self, address, port, kind):
        class Handler(socketserver.StreamRequestHandler):
            def handle(self):
                self.request.recv(PIECE)
                self.server.calls += 1
                try:
                    send_flood(self, kind, "x")
                except OSError:
                    pass

        super().__init__((address, port), Handler)
        self.calls = 0
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def close(self):
        self.shutdown()
        self.server_close()


def send_flood(handler, kind, attempt_id):
    """Sends bytes of a kind until the caller closes the connection."""
    head, rest = KINDS[kind]
    handler.close_connection = True
    handler.wfile.write((head % attempt_id if "%s" in head else head).encode())
    for piece in rest():
        if piece is None:
            time.sleep(TRICKLE_PAUSE_S)
        handler.wfile.write(b"a" if piece is None else piece)
