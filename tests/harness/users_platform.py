"""Test doubles of the users' platform: store, replicas, platform API.

They speak the parts of the published protocol that the tests need, on loopback.
"""

import base64
import collections
import json
import socket
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

from harness.flood import send_flood
from harness.partition import Partition


# Senders may still send requests to a replica this long after they know that it leaves.
DRAIN_S = 3
# A server that is closed accepts no connections after this time.
ACCEPT_POLL_S = 0.05
# The registration of a replica that ended is removed after this time.
EXPIRY_S = 3.6
# Limits of one transaction of the store.
MAX_ENTRIES, MAX_VALUE_BYTES = 32, 1 << 20
# Limits of one page of a range; a page has one item at least.
MAX_PAGE_ITEMS, MAX_PAGE_BYTES = 500, 1000000
# Time in which a replica that ended is back.
RESTART_S = 1.5


class Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def server_activate(self):
        super().server_activate()
        self.partition = Partition(self.socket)

    def handle_error(self, request, client_address):
        """Connections that break off are a part of the tests."""
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)

    def get_request(self):
        sock, address = super().get_request()
        self.partition.add(sock)
        return sock, address


def serve(handle, port=0):
    """Serves handle(handler, method, path, query, body) on a port, or on a free one."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def run(self):
            length = int(self.headers.get("content-length") or 0)
            body = self.rfile.read(length) if length else b""
            parts = urlsplit(self.path)
            query = {k: v[0] for k, v in parse_qs(parts.query).items()}
            try:
                handle(self, self.command, parts.path, query, body)
            except (BrokenPipeError, ConnectionResetError):
                self.close_connection = True

        do_GET = do_POST = do_DELETE = run

        def reply(self, status, value=None, headers=()):
            data = value if isinstance(value, bytes) else json.dumps(value if value is not None else {}).encode()
            self.send_response(status)
            for name, text in headers:
                self.send_header(name, text)
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        def log_message(self, *_args):
            pass

    server = Server(("127.0.0.1", port), Handler)
    threading.Thread(target=server.serve_forever, args=(ACCEPT_POLL_S,), daemon=True).start()
    return server


def wait_for_end(connection):
    """Waits until the other side has closed or reset the connection."""
    try:
        while connection.recv(1024):
            pass
    except OSError:
        pass


class CutWriter:
    """Passes the first bytes of a response on and then breaks off."""

    def __init__(self, file, count):
        self.file, self.count, self.closed = file, count, False

    def write(self, data):
        self.file.write(data[:self.count])
        self.count -= len(data)
        if self.count <= 0:
            raise BrokenPipeError

    def flush(self):
        self.file.flush()

    def close(self):
        self.file.close()


class StoreEndpoint:
    """An address of the store for one host, which can refuse or ignore its requests."""

    def __init__(self, store):
        self.store, self.refuse, self.silent = store, False, False
        self.silent_prefix = None  # prefix whose reads and watches get no answer
        self.flood = None  # what its connections bring without end in place of answers; see harness/flood.py
        # Called with path and body, or with path and query if there is no body.
        self.loses_answer = None  # whether the answer to a call that was executed is lost
        self.refuses_call = None  # whether the call is refused
        # Called with path and body: seconds after which a call is executed without an answer; None for others.
        self.delays_call = None
        self.seconds_per_mb = 0  # what requests and answers take besides, as on a long path
        self.lock = threading.Lock()
        self.connections, self.silent_connections = set(), set()
        self.server = serve(self.handle)
        self.address = "127.0.0.1:%d" % self.server.server_port

    def handle(self, handler, method, path, query, body):
        with self.lock:
            self.connections.add(handler.connection)
        if handler.connection in self.silent_connections:
            wait_for_end(handler.connection)
            return
        if self.flood is not None:
            send_flood(handler, self.flood, "")
            return
        while self.silent or (self.silent_prefix is not None and query.get("pathPrefix") == self.silent_prefix):
            time.sleep(0.05)
        call = json.loads(body) if body else query
        # A test may take the hooks away at any time.
        refuses_call, delays_call, loses_answer = self.refuses_call, self.delays_call, self.loses_answer
        if self.refuse or (refuses_call is not None and refuses_call(path, call)):
            handler.reply(429)
            return
        delay_s = delays_call(path, call) if delays_call is not None else None
        if delay_s is not None:
            self.silent_connections.add(handler.connection)
            threading.Timer(delay_s, self.execute, (method, path, query, call)).start()
            wait_for_end(handler.connection)
        elif loses_answer is None and not self.seconds_per_mb:
            self.store.handle(handler, method, path, query, body)
        else:
            time.sleep(self.seconds_per_mb * len(body) / 1e6)
            self.handle_on_path(handler, method, path, query, call, loses_answer)

    def execute(self, *call):
        with self.store.lock:
            return self.store.execute(*call)

    def handle_on_path(self, handler, method, path, query, body, loses_answer):
        """Executes a call whose answer may take time or be lost."""
        while self.store.silent:
            time.sleep(0.1)
        if self.store.refuse:
            handler.reply(503)
            return
        status, value = self.execute(method, path, query, body)
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        time.sleep(self.seconds_per_mb * len(data) / 1e6)
        if loses_answer is not None and loses_answer(path, body):
            # A connection on which an answer is lost brings nothing further.
            self.silent_connections.add(handler.connection)
        if handler.connection in self.silent_connections:
            wait_for_end(handler.connection)
        else:
            handler.reply(status, data)

    def silence_open_connections(self, acknowledges):
        """Open connections bring nothing any more, new ones work; returns their number."""
        with self.lock:
            self.connections = {c for c in self.connections if c.fileno() >= 0}
            self.silent_connections |= self.connections
            if not acknowledges:
                self.server.partition.silence_established()
            return len(self.connections)


class Item(dict):
    """An entry or event of the store, with its JSON: large lists are written fast."""

    def __init__(self, **fields):
        super().__init__(fields)
        self.json = json.dumps(self).encode()


def encode_page(name, items, **fields):
    """Returns the JSON of a response with a list of items."""
    rest = json.dumps(fields).encode()[1:]
    return b'{"%s": [%s], %s' % (name.encode(), b", ".join(item.json for item in items), rest)


class Store:
    """The platform's metadata store, in memory. *_locked() need the lock held."""

    def __init__(self):
        self.lock = threading.Condition()
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.refuse = False
        self.silent = False
        self.misbehave = None  # makes another page of the range of a prefix: (prefix, after, page, truncated) -> the last two
        self.pages = collections.Counter()  # pages read, by prefix
        self.waiting_watches = collections.Counter()
        threading.Thread(target=self.expire_leases, daemon=True).start()

    def put(self, key, value, lease=0):
        with self.lock:
            self.write_locked(key, json.dumps(value).encode(), lease)
            self.lock.notify_all()

    def put_bytes(self, key, data):
        """Writes a value that need not be JSON."""
        with self.lock:
            self.write_locked(key, data, 0)
            self.lock.notify_all()

    def remove(self, key):
        with self.lock:
            self.delete_locked(key)
            self.lock.notify_all()

    def value(self, key):
        with self.lock:
            item = self.items.get(key)
            return json.loads(base64.b64decode(item["value"])) if item else None

    def keys(self, prefix):
        with self.lock:
            return sorted(k for k in self.items if k.startswith(prefix))

    def write_locked(self, key, data, lease):
        self.revision += 1
        old = self.items.get(key)
        item = Item(key=key, value=base64.b64encode(data).decode(), revision=self.revision,
                    created=old["created"] if old else self.revision, lease=lease)
        self.items[key] = item
        self.history.append(item)

    def delete_locked(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.history.append(Item(key=key, revision=self.revision, removed=True))

    def expire_leases(self):
        while True:
            time.sleep(0.05)
            with self.lock:
                for lease in [k for k, (expires_at, _) in self.leases.items() if expires_at < time.monotonic()]:
                    self.revoke_lease(lease)

    def revoke_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete_locked(key)
        self.lock.notify_all()

    def handle(self, handler, method, path, query, body):
        while self.silent:
            time.sleep(0.1)
        if self.refuse:
            handler.reply(503)
            return
        with self.lock:
            status, value = self.execute(method, path, query, json.loads(body) if body else {})
        handler.reply(status, value)

    def execute(self, method, path, query, body):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, storeRevision=self.revision)) if item else (404, {"storeRevision": self.revision})
        if path == "/kv-range":
            found = [self.items[k] for k in sorted(self.items)
                     if k.startswith(query["pathPrefix"]) and k > query.get("after", "")]
            page, size = [], 0
            for item in found[:MAX_PAGE_ITEMS]:
                size += len(item["value"])
                if page and size > MAX_PAGE_BYTES:
                    break
                page.append(item)
            truncated = len(found) > len(page)
            self.pages[query["pathPrefix"]] += 1
            if self.misbehave:
                page, truncated = self.misbehave(query["pathPrefix"], query.get("after", ""), page, truncated)
            return 200, encode_page("items", page, truncated=truncated, storeRevision=self.revision)
        if path == "/kv-watch":
            return self.watch(query)
        if path == "/kv-txn":
            return self.execute_transaction(body)
        if path == "/kv-lease":
            self.revision += 1
            self.leases[self.revision] = (time.monotonic() + body["ttlMs"] / 1000, body["ttlMs"])
            return 200, {"lease": self.revision, "ttlMs": body["ttlMs"]}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self.revoke_lease(lease)
            return 200, {}
        ttl = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
        return 200, {"ttlMs": ttl}

    def watch(self, query):
        end = time.monotonic() + int(query["waitMs"]) / 1000
        after, prefix = int(query["after"]), query["pathPrefix"]
        while True:
            events = [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
            remaining_s = end - time.monotonic()
            if events or remaining_s <= 0:
                return 200, encode_page("events", events, storeRevision=self.revision)
            self.waiting_watches[prefix] += 1
            self.lock.wait(remaining_s)
            self.waiting_watches[prefix] -= 1

    def execute_transaction(self, body):
        entries = len(body["expected"]) + len(body["writes"]) + len(body["remove"])
        if entries > MAX_ENTRIES or any(len(row["value"]) > MAX_VALUE_BYTES for row in body["writes"]):
            return 400, {}
        for row in body["expected"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found = [self.items[r["key"]] for r in body["expected"] if r["key"] in self.items]
                return 412, {"items": found}
        if any(w.get("lease") and w["lease"] not in self.leases for w in body["writes"]):
            return 404, {}
        for row in body["writes"]:
            self.write_locked(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in body["remove"]:
            self.delete_locked(key)
        self.lock.notify_all()
        return 200, {"revision": self.revision}


class Replica:
    """A replica of a plain service or, if versions are given, of a model engine."""

    def __init__(self, store, name, service, zone, versions=None, events=4, pause=0.0, software="v1"):
        self.store, self.name, self.service, self.zone = store, name, service, zone
        self.versions = dict(versions or {})
        self.events, self.pause, self.software = events, pause, software
        self.breaks_after = None  # event after which a stream breaks off
        self.orders = []
        self.born = int(time.time() * 1000)
        self.requests = []
        self.endless_stream = False
        self.event_bytes = 0  # events are filled up to this size, or to that of a function of the request's id
        self.statuses = []  # of the next answers; 200 after them
        self.raw_answer = None  # the bytes of its answers, by a function of their headers
        self.flood = None  # what its connections bring without end in place of answers; see harness/flood.py
        self.cut_response_at = None  # bytes of its responses after which the connection ends
        self.load = None  # text of the load that its answers report
        self.limit = None  # requests a second that its answers name
        self.says_leaving = set()  # kinds of answers ("call", "stream", "report") that say that it leaves
        self.told = {}  # when each sender was first told that it leaves, by IP address
        self.late_arrivals = []  # (sender, when it was told, time) of requests after DRAIN_S
        self.arrivals, self.senders = [], []  # times and IP addresses of its requests
        self.running = {}  # connections of requests that take time, by id
        self.state = "ready"
        self.crashing_bodies = set()  # the process ends when it begins to run one of these
        self.keeps_id = False  # when it starts again after such an end
        self.crashes = []  # (time, request id) of each end under such a body
        self.ending = threading.Lock()
        self.server = serve(self.handle)
        self.address = "127.0.0.1:%d" % self.server.server_port
        self.register()

    def register(self):
        models = [{"name": m, "version": v, "adapters": []} for m, v in self.versions.items()]
        self.store.put("servers/" + self.name, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": self.software,
            "slots": 8, "state": self.state, "coldLeftMs": 0, "models": models, "seq": 1, "born": self.born})

    def crash(self):
        """Resets all streams and accepts no connections; the registration stays."""
        self.breaks_after = 0
        self.server.shutdown()
        self.server.server_close()

    def end_process(self, restart_s=RESTART_S, new_id=True):
        """Ends as a process does, and starts again after a while; returns False if it has ended already."""
        if not self.ending.acquire(blocking=False):
            return False
        server, old_name = self.server, self.name
        server.partition.abort_all()
        server.shutdown()
        server.server_close()
        server.partition.abort_all()
        threading.Thread(target=self.restart, args=(old_name, restart_s, new_id), daemon=True).start()
        return True

    def restart(self, old_name, restart_s, new_id):
        time.sleep(restart_s)
        self.born = max(self.born + 1, int(time.time() * 1000))
        if new_id:
            self.name = "%s.%d" % (old_name.partition(".")[0], self.born)
        self.server = serve(self.handle, self.server.server_port)
        self.says_leaving, self.told, self.state = set(), {}, "ready"
        self.ending.release()
        self.register()
        if new_id:
            time.sleep(max(0, EXPIRY_S - restart_s))
            self.store.remove("servers/" + old_name)

    def caller_left(self, name):
        """Whether the connection of a running request was closed by its sender."""
        try:
            return name in self.running and not self.running[name].recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def drain(self):
        self.state = "draining"
        self.register()

    def handle(self, handler, method, path, _query, body):
        headers = handler.headers
        if self.flood is not None:
            self.record_arrival(handler.client_address[0])
            self.requests.append((headers.get("Attempt-Id"), path, dict(headers.items()), body))
            send_flood(handler, self.flood, headers.get("Attempt-Id") or "")
            return
        if headers.get("Expect-Instance") not in (None, self.name):
            handler.reply(421)
            return
        if path == "/report":
            models = [{"name": m, "version": v} for m, v in self.versions.items()]
            handler.reply(200, {"busy": False, "seq": len(self.orders), "models": models}, self.leaving_header("report", handler))
            return
        if path == "/order":
            order = json.loads(body)
            self.orders.append(order)
            self.versions[order["model"]] = order["version"]
            handler.reply(202)
            self.register()
            return
        if self.raw_answer is not None:
            self.requests.append((headers.get("Attempt-Id"), path, dict(headers.items()), body))
            handler.wfile.write(self.raw_answer(headers))
            handler.close_connection = False
            return
        if self.cut_response_at is not None:
            handler.wfile = CutWriter(handler.wfile, self.cut_response_at)
        self.record_arrival(handler.client_address[0])
        self.requests.append((headers.get("Attempt-Id"), path, dict(headers.items()), body))
        if body in self.crashing_bodies:
            if self.end_process(new_id=not self.keeps_id):
                self.crashes.append((time.monotonic(), headers.get("Attempt-Id")))
            handler.close_connection = True
            return
        if headers.get("Model"):
            self.stream(handler, headers)
            return
        if self.pause:
            self.running[headers["Attempt-Id"]] = handler.connection
            time.sleep(self.pause)
        self.answer(handler, headers, self.statuses.pop(0) if self.statuses else 200, b"answer to " + body)

    def answer(self, handler, headers, status, body):
        handler.reply(status, body,
                      [("Attempt-Id", headers["Attempt-Id"]), ("Response-Signature", "signed-" + headers["Attempt-Id"]),
                       *self.limit_header(), *self.leaving_header("call", handler)])

    def record_arrival(self, sender):
        now = time.monotonic()
        self.arrivals.append(now)
        self.senders.append(sender)
        told = self.told.get(sender)
        if told is not None and now > told + DRAIN_S:
            self.late_arrivals.append((sender, told, now))

    def start_again(self):
        """Starts as a new process under the same name, which does not leave."""
        self.says_leaving, self.told, self.state = set(), {}, "ready"
        self.born = max(self.born + 1, int(time.time() * 1000))
        self.register()

    def leaving_header(self, kind, handler):
        if kind not in self.says_leaving:
            return []
        self.told.setdefault(handler.client_address[0], time.monotonic())
        return [("Server-Leaving", "1")]

    def limit_header(self):
        limit = [] if self.limit is None else [("Server-Limit", "%.3f" % self.limit)]
        return limit if self.load is None else [*limit, ("Server-Load", self.load)]

    def max_requests_in(self, seconds, start):
        """Returns the largest number of requests in a window that begins after start."""
        times = [t for t in self.arrivals if t >= start]
        return max((sum(first <= t <= first + seconds for t in times) for first in times), default=0)

    def stream(self, handler, headers):
        if self.statuses:
            self.answer(handler, headers, self.statuses.pop(0), b"id: 1\ndata: error text\n\n")
            return
        handler.send_response(200)
        for name, text in (("Attempt-Id", headers["Attempt-Id"]), ("Response-Signature", "s"),
                           ("Weight-Versions", str(self.versions[headers["Model"]])),
                           ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"), *self.limit_header(),
                           *self.leaving_header("stream", handler)):
            handler.send_header(name, text)
        handler.end_headers()
        start = int(headers.get("Last-Event-Id") or 0) + 1
        if self.breaks_after == 0:
            handler.close_connection = True
            return
        for number in range(start, start + 10 ** 6 if self.endless_stream else self.events + 1):
            time.sleep(self.pause)
            data = "x" * 20000 if self.endless_stream else "%s-%d" % (headers["Attempt-Id"], number)
            data += "@" + self.software if self.software != "v1" else ""
            size = self.event_bytes(headers["Attempt-Id"]) if callable(self.event_bytes) else self.event_bytes
            data = data.ljust(size, ".")
            text = ("id: %d\ndata: %s\n\n" % (number, data)).encode()
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(text), text))
            if self.breaks_after is not None and number >= self.breaks_after:
                handler.close_connection = True
                return
        handler.wfile.write(b"0\r\n\r\n")


class PlatformApi:
    """The platform's API that receives reports."""

    def __init__(self):
        self.reports = []
        self.server = serve(self.handle)
        self.address = "127.0.0.1:%d" % self.server.server_port

    def handle(self, handler, _method, path, _query, body):
        self.reports.append((path, json.loads(body), handler.headers["Lease-Holder"],
                             int(handler.headers["Fencing-Token"])))
        handler.reply(200)
