"""Daemons exceed their memory while trainers submit batch jobs of the sizes that the operator allows.

A stand-in for the platform kills each process that uses more than its limit,
and starts it again. Nothing else disturbs the machines.
"""

import base64
import http.client
import json
import os
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from sheet_site import BROKEN, HELD, KEY, MAX_BODY_BYTES, MemoryLimit, RecordingReplica, harness, open_site, route, run_case  # noqa: E402  pylint: disable=wrong-import-position

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 110
ITEMS = 8
# Bytes of the batch jobs of a trainer, one after the other.
JOB_BYTES = [30000000, 24000000, 19000000]
TRAINERS_PER_DAEMON = 1
EVENTS, PAUSE_S = 131, 0.15
# A trainer ends a job this long after it was accepted, and submits the next one each 4 s.
STEP_S, INTERVAL_S = 12, 4
LOAD_S = 60


def make_job(name, size):
    prompt = base64.b64encode(b"p" * (size // ITEMS * 3 // 4)).decode()
    job = json.dumps({"step": 0, "model": "m", "minVersion": 1, "desired": ITEMS, "items": [
        {"id": "%s-item-%d" % (name, i), "path": "/step/x/%d" % i, "headers": {"Model": "m", "Length-Hint": "64"},
         "body": prompt, "tokens": 10, "group": "g%d" % i} for i in range(ITEMS)]})
    assert len(job) < MAX_BODY_BYTES
    return job


class Trainer(threading.Thread):
    """Submits a batch job each few seconds, to one daemon first and then to the others, and ends each later."""

    def __init__(self, record, daemons, number, end):
        super().__init__(daemon=True)
        self.record, self.daemons, self.number, self.end = record, daemons, number, end

    def call(self, method, path, body=None, headers=None):
        """Tries the daemons by turns, as callers do; returns whether one accepted the call."""
        for attempt in range(2 * len(self.daemons)):
            daemon = self.daemons[(self.number + attempt) % len(self.daemons)]
            try:
                status = daemon.call(method, path, body, {**KEY, **(headers or {})}, timeout=5)[0]
            except (OSError, http.client.HTTPException) as error:
                status = repr(error)
            self.record.write("trainer %d: %s %s at %s: %s" % (self.number, method, path, daemon.name, status))
            if status in (200, 202):
                return True
            if self.record.now() > self.end:
                return False
            time.sleep(0.3)
        return False

    def run(self):
        step, open_jobs = 0, []
        while self.record.now() < self.end:
            started = self.record.now()
            name = "job-%d-%d" % (self.number, step)
            size = JOB_BYTES[(step + self.number) % len(JOB_BYTES)] // (1 if TROUBLE else 10)
            if self.call("POST", "/step/" + name, make_job(name, size), {"Attempt-Id": name}):
                open_jobs.append((self.record.now(), name))
            step += 1
            while open_jobs and self.record.now() - open_jobs[0][0] > STEP_S - INTERVAL_S:
                self.call("DELETE", "/lots/" + open_jobs.pop(0)[1])
            time.sleep(max(0, started + INTERVAL_S - self.record.now()))


def play(record, sites):
    RecordingReplica.events_of = staticmethod(lambda name: EVENTS)
    site = open_site(record, daemons=3, plain=1, engines=4, pause=PAUSE_S, memory_mb=MEMORY_MB)
    sites.append(site)
    routes = [route("open", "/open/", "idempotent", "plain", anonymous=True),
              route("step", "/step/", "rollout", "engine", dueMs=STEP_S * 1000, retentionS=60)]
    site.store.put("op/config", harness.config(version=5, routes=routes, limits={
        "maxHeaderBytes": 16384, "maxBodyBytes": MAX_BODY_BYTES, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}))
    time.sleep(1.5)
    platform = MemoryLimit(record, site.daemons, MEMORY_MB)
    end = record.now() + LOAD_S
    trainers = [Trainer(record, site.daemons, i, end) for i in range(TRAINERS_PER_DAEMON * len(site.daemons))]
    for trainer in trainers:
        trainer.start()
    for trainer in trainers:
        trainer.join()
    platform.stop()
    record.write("ends: %s, largest use in MB: %s" % (platform.ends, {k: round(v, 1) for k, v in platform.peaks.items()}))
    if platform.breaks_fault():
        record.write("Fault: on two machines and more, processes ended three times with no disruption")
        return BROKEN
    record.write("held: Fault is kept")
    return HELD


sys.exit(run_case(pathlib.Path(__file__).parent, play))
