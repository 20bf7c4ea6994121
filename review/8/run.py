"""LOST: a host takes over a batch job that does not fit into its memory, and keeps it without running it.

Two hosts of a region run large batch jobs, a host of another region runs none. One of
the two is removed for good. The other becomes the owner of its job, finds no memory for
the items, and stays the owner, so that no host runs the job until its time is up.
"""

import base64
import json
import pathlib
import sys
import time

sys.dont_write_bytecode = True
FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from small_site import BOUNDS, KEY, TROUBLE, Engine, Site, run_case, until  # noqa: E402  pylint: disable=wrong-import-position

# The trainer's sheet is that of the sites: a step's trainer gives up after 12 s.
DEADLINE_S = 12.0
CONTACT_S = BOUNDS["contactMs"] / 1000
AT_NO_REPLICA_S = 5.0
ENGINES = 6
EVENT_PAUSE_S = 0.12
SHORT_EVENTS, LONG_EVENTS = 30, 131
ITEMS, ITEM_BYTES = 8, 2 << 20
REMOVED_AFTER_S = 1.5


class JobEngine(Engine):
    """An engine on which the items of the other batch jobs last long."""

    def events_of(self, name):
        return LONG_EVENTS if name.startswith("other") else SHORT_EVENTS


def submit(record, daemon, job):
    body = base64.b64encode(job.encode().ljust(ITEM_BYTES, b".")).decode()
    step = {"step": 0, "model": "m", "minVersion": 1, "desired": 1, "items": [
        {"id": "%s-%d" % (job, i), "path": "/steps/x/%d" % i, "body": body, "tokens": 100, "group": "g",
         "headers": {"Model": "m", "Token-Usage": "10,90", "Length-Hint": "90"}} for i in range(ITEMS)]}
    status = daemon.call("POST", "/steps/" + job, json.dumps(step),
                         {"Attempt-Id": job, "Authorization": "Bearer " + KEY, "Content-Type": "application/json"})[0]
    record.write("batch job %s at %s: %d" % (job, daemon.name, status))
    return status


def read(daemon, job):
    status, body, _ = daemon.call("GET", "/lots/%s?after=0" % job, headers={"Authorization": "Bearer " + KEY})
    return json.loads(body) if status == 200 else {"total": None, "results": [], "status": status}


def case(record):
    site = Site({"a": "north", "b": "south"})
    try:
        engines = [JobEngine(record, site.store, "engine-%d" % i, "engines", "ab"[i % 2], {"m": 1}) for i in range(ENGINES)]
        for engine in engines:
            engine.pause = EVENT_PAUSE_S
        for name in ("edge-a-1", "edge-a-2", "edge-b-1"):
            site.add_daemon(name, name[5])
        leaving, full, free = site.daemons
        site.await_ready()
        site.await_known()
        time.sleep(CONTACT_S)
        if [submit(record, full, "other-%d" % i) for i in range(2)] != [202, 202]:
            raise RuntimeError("a batch job was not accepted")
        if submit(record, leaving, "job") != 202:
            raise RuntimeError("the batch job was not accepted")
        accepted = time.monotonic()
        runs = lambda: [r for e in engines for r in list(e.runs) if r["id"].startswith("job-")]
        until(lambda: len(runs()) == ITEMS, "all items of the job have begun", 5)
        time.sleep(max(0.0, accepted + REMOVED_AFTER_S - time.monotonic()))
        if TROUBLE:
            leaving.kill()
            record.write("%s is removed for good" % leaving.name)
        page, busiest = {}, 0
        while time.monotonic() < accepted + DEADLINE_S:
            page = read(free, "job")
            busiest = max(busiest, sum(r["to"] is None for e in engines for r in list(e.runs)))
            record.write("%s lists %s of %s results" % (free.name, len(page["results"]), page.get("total")))
            if len(page["results"]) == ITEMS:
                break
            time.sleep(0.5)
        end = time.monotonic()
        steady = accepted + REMOVED_AFTER_S + CONTACT_S
        listed = {r["id"] for r in page["results"]}
        lost = []
        for i in range(ITEMS):
            name = "job-%d" % i
            own = [r for r in runs() if r["id"] == name]
            if name in listed or any(r["finished"] for r in own) or any(r["to"] is None for r in own):
                continue
            idle_s = end - max([steady, *(r["to"] for r in own)])
            if idle_s >= AT_NO_REPLICA_S:
                lost.append((name, round(idle_s, 1)))
        record.write("at most %d requests ran at once on %d slots" % (busiest, Engine.SLOTS * ENGINES))
        for daemon in site.daemons:
            for event in ("step_taken_over", "step_not_adopted", "step_refused"):
                for line in daemon.lines(event)[:3]:
                    record.write("log of %s: %s" % (daemon.name, line))
        record.write("status of the owner: %d refusals to adopt" % len(full.lines("step_not_adopted")))
        record.write("the time of the step is up; items at no replica for 5 s of steady state: %s" % lost)
        if 2 * busiest >= Engine.SLOTS * ENGINES:
            raise RuntimeError("the replicas were half full")
        print("LOST: %d of %d items at no replica for 5 s when the time of the step was up; %d listed"
              % (len(lost), ITEMS, len(listed)))
        return not lost
    finally:
        site.close()


run_case(FOLDER, case)
