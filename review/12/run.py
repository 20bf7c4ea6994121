"""DRAIN: a replica that leaves soon after an outage of the store still gets requests after drainMs.

The store is down (silent) for some seconds. More than contactMs after it is back, the
registration of a replica is removed, which goes on serving for drainMs and a little
longer, and then ends.
"""

import json
import pathlib
import sys
import threading
import time

sys.dont_write_bytecode = True
FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from small_site import BOUNDS, KEY, TROUBLE, Site, Store, run_case  # noqa: E402  pylint: disable=wrong-import-position
from harness.users_platform import Replica, wait_for_end  # noqa: E402  pylint: disable=wrong-import-position

# The store is stable again this long after its return (contactMs), and a little.
CALM_S = BOUNDS["contactMs"] / 1000 + 0.2
DRAIN_S = BOUNDS["drainMs"] / 1000
# The replica ends this long after drainMs ("and a little longer").
LITTLE_LONGER_S = 0.3
MIN_OUTAGE_S, MAX_OUTAGE_S = 2.0, 4.4
# Watches that wait so long are those of the host that watches the store for the others.
LONG_WATCH_MS = 1000
WORK_S = 0.2
CLIENT_PAUSE_S = 0.05


class SilentStore(Store):
    """A store that can be down: calls that reach it then get no answer, also later; leases pause."""

    def __init__(self):
        super().__init__()
        self.down = False
        self.watched = threading.Event()  # A long watch of the replicas has come during the outage.

    def handle(self, handler, method, path, query, body):
        if self.down and path == "/kv-watch" and query["pathPrefix"] == "servers/" and int(query["waitMs"]) > LONG_WATCH_MS:
            self.watched.set()
        if not self.down:
            with self.lock:
                status, value = self.execute(method, path, query, json.loads(body) if body else {})
        if not self.down:
            handler.reply(status, value)
            return
        wait_for_end(handler.connection)
        handler.close_connection = True

    def begin_outage(self):
        with self.lock:
            self.down, self.down_at = True, time.monotonic()
            self.paused, self.leases = self.leases, {}

    def end_outage(self):
        with self.lock:
            paused_s = time.monotonic() - self.down_at
            self.leases.update({k: (end + paused_s, ttl) for k, (end, ttl) in self.paused.items()})
            self.down = False


class LeavingReplica(Replica):
    """Records when its requests arrive and which of them its end breaks off."""

    def __init__(self, record, *args):
        self.record, self.at_work, self.cut = record, set(), []
        super().__init__(*args)

    def record_arrival(self, sender):
        super().record_arrival(sender)
        self.record.write("%s gets a request of %s" % (self.name, sender))

    def answer(self, handler, headers, status, body):
        self.at_work.discard(headers["Attempt-Id"])
        self.record.write("%s ran %s" % (self.name, headers["Attempt-Id"]))
        super().answer(handler, headers, status, body)

    def handle(self, handler, method, path, _query, body):
        self.at_work.add(handler.headers.get("Attempt-Id"))
        super().handle(handler, method, path, _query, body)

    def end(self):
        self.cut = sorted(i for i in self.at_work if i)
        self.server.partition.abort_all()
        self.server.shutdown()
        self.server.server_close()
        self.server.partition.abort_all()


class Client(threading.Thread):
    """Sends bookings, which may run once at most, and lookups, one after the other."""

    def __init__(self, record, daemon, number):
        super().__init__(daemon=True)
        self.record, self.host, self.number, self.stopped = record, daemon, number, False
        self.answers = {}

    def run(self):
        count = 0
        while not self.stopped:
            kind = ("booking", "lookup")[count % 2]
            name = "%s-%d-%d" % (kind, self.number, count)
            count += 1
            try:
                status = self.host.call("POST", "/%s/x" % kind, b"question", {
                    "Attempt-Id": name, "Timeout-Ms": "4000", "Authorization": "Bearer " + KEY})[0]
            except OSError as error:
                status = type(error).__name__
            self.answers[name] = status
            self.record.write("%s: %s answers %s" % (name, self.host.name, status))
            time.sleep(CLIENT_PAUSE_S)


def case(record):
    site = Site({"a": "north", "b": "south"}, SilentStore())
    clients = []
    try:
        staying = [LeavingReplica(record, site.store, "app-%d" % i, "app", "ab"[i]) for i in range(2)]
        leaving = LeavingReplica(record, site.store, "app-leaving", "app", "a")
        for replica in [*staying, leaving]:
            replica.pause = WORK_S
        for name in ("edge-a-1", "edge-a-2", "edge-a-3", "edge-b-1"):
            site.add_daemon(name, name[5])
        site.await_ready()
        site.await_known()
        clients = [Client(record, d, 5 * i + k) for i, d in enumerate(site.daemons) for k in range(5)]
        for client in clients:
            client.start()
        time.sleep(5)
        if TROUBLE:
            begun = time.monotonic()
            record.write("the store is down")
            site.store.begin_outage()
            time.sleep(MIN_OUTAGE_S)
            site.store.watched.clear()
            site.store.watched.wait(MAX_OUTAGE_S - MIN_OUTAGE_S)
            time.sleep(0.05)
            site.store.end_outage()
            record.write("the store is back after %.2f s" % (time.monotonic() - begun))
            time.sleep(CALM_S)
        before = {replica.name: len(replica.arrivals) for replica in [*staying, leaving]}
        record.write("requests until now: %s" % before)
        site.store.remove("servers/" + leaving.name)
        removed = time.monotonic()
        record.write("the registration of %s is removed" % leaving.name)
        time.sleep(DRAIN_S + LITTLE_LONGER_S)
        leaving.end()
        record.write("%s ends; at work on %s" % (leaving.name, leaving.cut))
        time.sleep(3)
        for client in clients:
            client.stopped = True
        for client in clients:
            client.join(10)
        late = [(t - removed, s) for t, s in zip(leaving.arrivals, leaving.senders) if t > removed + DRAIN_S]
        record.write("requests that reached it later than drainMs: %s" % [("%.3f s" % t, s) for t, s in late])
        failed = {name: c.answers[name] for c in clients for name in c.answers if c.answers[name] != 200}
        record.write("requests without a success: %s" % failed)
        for daemon in site.daemons:
            for line in daemon.lines("replica_gone") + daemon.lines("store_lost"):
                record.write("log of %s: %s" % (daemon.name, line))
        if before[leaving.name] == 0:
            raise RuntimeError("the replica got no request before it left")
        print("DRAIN: %d requests later than drainMs; broken off by the end: %s" % (len(late), leaving.cut))
        return not late
    finally:
        for client in clients:
            client.stopped = True
        site.close()


run_case(FOLDER, case)
