"""LOST: a small batch job waits until its time is up while hosts load large ones.

One host runs a small batch job and six large ones, and is removed for good. The other
hosts take them over, each one after the other. The small job's items are at no replica
meanwhile, though most replicas are free.
"""

import base64
import concurrent.futures
import json
import pathlib
import sys
import time

sys.dont_write_bytecode = True
FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from small_site import BOUNDS, KEY, TROUBLE, Engine, Site, run_case, until  # noqa: E402  pylint: disable=wrong-import-position

DEADLINE_S = 12.0  # The trainers of the sites give up then.
CONTACT_S = BOUNDS["contactMs"] / 1000
AT_NO_REPLICA_S = 5.0
MEMORY_MB = 512  # of the larger hosts of the grown sites
LINK_MBPS = 60  # of the slower hosts there
ENGINES = 10
LARGE_JOBS = 6
LARGE_BYTES, SMALL_BYTES, ITEMS = 2_900_000, 600, 8
LARGE_EVENTS, SMALL_EVENTS, EVENT_PAUSE_S = 131, 30, 0.15
REMOVED_AFTER_S = 1.5


class JobEngine(Engine):
    """An engine on which the items of the large batch jobs last long."""

    def events_of(self, name):
        return LARGE_EVENTS if name.startswith("large") else SMALL_EVENTS


def submit(record, daemon, job, item_bytes):
    body = base64.b64encode(job.encode().ljust(item_bytes, b".")).decode()
    text = json.dumps({"step": 0, "model": "m", "minVersion": 1, "desired": 1, "items": [
        {"id": "%s-%d" % (job, i), "path": "/steps/x/%d" % i, "body": body, "tokens": 100, "group": "g",
         "headers": {"Model": "m", "Token-Usage": "10,90", "Length-Hint": "90"}} for i in range(ITEMS)]})
    status = daemon.call("POST", "/steps/" + job, text, {
        "Attempt-Id": job, "Authorization": "Bearer " + KEY, "Content-Type": "application/json"}, timeout=30)[0]
    record.write("batch job %s of %d bytes at %s: %d" % (job, len(text), daemon.name, status))
    if status != 202:
        raise RuntimeError("a batch job was not accepted")


def read(daemon, job):
    status, body, _ = daemon.call("GET", "/lots/%s?after=0" % job, headers={"Authorization": "Bearer " + KEY})
    return json.loads(body) if status == 200 else {"total": None, "results": []}


def case(record):
    # A small job goes to one host of the region, so each host has a region of its own.
    site = Site({"a": "north", "b": "south", "c": "west"})
    try:
        engines = [JobEngine(record, site.store, "engine-%d" % i, "engines", "abc"[i % 3], {"m": 1}) for i in range(ENGINES)]
        for engine in engines:
            engine.pause = EVENT_PAUSE_S
        for zone in "abc":
            site.add_daemon("edge-%s-1" % zone, zone, MEMORY_MB)
        site.await_ready()
        site.await_known()
        for daemon in site.daemons:
            daemon.store_endpoint.seconds_per_mb = 8 / LINK_MBPS
        time.sleep(CONTACT_S)
        first, reader = site.daemons[0], site.daemons[1]
        with concurrent.futures.ThreadPoolExecutor(2) as threads:
            list(threads.map(lambda i: submit(record, first, "large-%d" % i, LARGE_BYTES), range(LARGE_JOBS)))
        submit(record, first, "small", SMALL_BYTES)
        accepted = time.monotonic()
        runs = lambda: [r for e in engines for r in list(e.runs) if r["id"].startswith("small-")]
        until(lambda: len(runs()) == ITEMS, "all items of the small job have begun", 5)
        time.sleep(max(0.0, accepted + REMOVED_AFTER_S - time.monotonic()))
        if TROUBLE:
            first.kill()
            record.write("%s is removed for good" % first.name)
        time.sleep(0.5)
        page, busiest = {"results": []}, 0
        while time.monotonic() < accepted + DEADLINE_S and len(page["results"]) < ITEMS:
            page = read(reader, "small")
            busiest = max(busiest, sum(r["to"] is None for e in engines for r in list(e.runs)))
            record.write("%s lists %s of %s results" % (reader.name, len(page["results"]), page.get("total")))
            time.sleep(0.5)
        end = time.monotonic()
        steady = accepted + REMOVED_AFTER_S + CONTACT_S
        listed = {r["id"] for r in page["results"]}
        lost = []
        for i in range(ITEMS):
            name = "small-%d" % i
            own = [r for r in runs() if r["id"] == name]
            if name in listed or any(r["finished"] or r["to"] is None for r in own):
                continue
            idle_s = end - max([steady, *(r["to"] for r in own)])
            if idle_s >= AT_NO_REPLICA_S:
                lost.append((name, round(idle_s, 1)))
        record.write("at most %d requests ran at once on %d slots" % (busiest, Engine.SLOTS * ENGINES))
        record.write("the time of the step is up; items at no replica for 5 s of steady state: %s" % lost)
        for daemon in site.daemons:
            for event in ("step_taken_over", "step_not_adopted"):
                for line in daemon.lines(event):
                    record.write("log of %s: %s" % (daemon.name, line))
        if 2 * busiest >= Engine.SLOTS * ENGINES:
            raise RuntimeError("the replicas were half full")
        print("LOST: %d of %d items at no replica for 5 s when the time of the step was up; %d listed"
              % (len(lost), ITEMS, len(listed)))
        return not lost
    finally:
        site.close()


run_case(FOLDER, case)
