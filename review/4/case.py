"""A replica that leaves still gets requests long after its registration says so, since the store's connections went silent."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from deployment import SmallSite, run_case  # noqa: E402
from harness.site import config  # noqa: E402

CONTACT_S, DRAIN_S = 4.0, 3.0
MARGIN_S = 0.3
READERS = 12


def body(record, trouble):
    site = SmallSite(config(), events=20, pause=0.2)
    try:
        return run(site, record, trouble)
    finally:
        site.close()


def run(site, record, trouble):
    record.write("trainers: 1 job, read by %d readers at each daemon" % READERS)
    site.submit(site.daemons[0], "job-1", 24)
    stop_reading, stop_lookups = time.monotonic() + 4, threading.Event()

    def read(daemon):
        while time.monotonic() < stop_reading:
            try:
                daemon.call("GET", "/lots/job-1?after=24", headers={"Authorization": "Bearer key-a", "Wait-Ms": "500"})
            except OSError as error:
                record.write("reader at %s: %r" % (daemon.name, error))
            time.sleep(0.1)

    readers = [threading.Thread(target=read, args=(d,), daemon=True) for d in site.daemons for _ in range(READERS)]
    for reader in readers:
        reader.start()
    for reader in readers:
        reader.join()
    time.sleep(1)
    leaving, sent = site.plain[0], {}

    def look_up(daemon, number):
        count = 0
        while not stop_lookups.is_set():
            name = "lookup-%d-%d" % (number, count)
            count += 1
            sent[name] = time.monotonic()
            try:
                status = site.lookup(daemon, name)[0]
            except OSError as error:
                status = repr(error)
            if status != 200:
                record.write("client: %s at %s: %s" % (name, daemon.name, status))
            stop_lookups.wait(0.1)

    for number, daemon in enumerate(site.daemons):
        threading.Thread(target=look_up, args=(daemon, number), daemon=True).start()
    silent_at = time.monotonic()
    if trouble:
        for daemon in site.daemons:
            count = daemon.store_endpoint.silence_open_connections()
            record.write("%d open connections of %s to the store go silent; new ones work" % (count, daemon.name))
    time.sleep(1.0)
    leaving.drain()
    acknowledged_at = time.monotonic()
    record.write("%s reports that it is draining, %.1f s after the connections went silent; it goes on serving" % (
        leaving.name, acknowledged_at - silent_at))
    end = time.monotonic() + 12
    seen, late = len(leaving.requests), 0
    while time.monotonic() < end:
        time.sleep(0.05)
        requests, arrivals = list(leaving.requests), list(leaving.arrivals)
        for request, arrival in zip(requests[seen:], arrivals[seen:]):
            in_touch = sent.get(request[0], 0) > silent_at + CONTACT_S
            if arrival > acknowledged_at + DRAIN_S + MARGIN_S and in_touch:
                late += 1
                record.write("%s gets %s %.2f s after it said that it drains" % (leaving.name, request[0], arrival - acknowledged_at))
        seen = len(requests)
    stop_lookups.set()
    for daemon in site.daemons:
        for event in ("store_lost", "watch_source", "peer_avoided", "replica"):
            for line in daemon.lines(event)[-6:]:
                record.write("log of %s: %s" % (daemon.name, line))
    record.write("%d requests came later than drainMs" % late)
    return late > 0


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, body))
