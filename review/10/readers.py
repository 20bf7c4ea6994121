"""Daemons exceed their memory while clients read the body of a large item at the same time.

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
JOB_BYTES = 30000000
READERS, ROUNDS, ROUND_S = 6, 6, 6
READ_TIMEOUT_S = 10


def read_body(record, daemon, expected):
    """Asks one daemon for the body of the item."""
    try:
        status, body, _ = daemon.call("GET", "/items/job?id=job-item", headers=KEY, timeout=READ_TIMEOUT_S)
        outcome = "%d, %s" % (status, "the body" if body == expected else "%d bytes" % len(body))
    except (OSError, http.client.HTTPException) as error:
        outcome = repr(error)
    record.write("body read at %s: %s" % (daemon.name, outcome))


def read_all(record, daemons, expected):
    """Reads the body at each daemon several times: at once, or one after the other."""
    readers = [threading.Thread(target=read_body, args=(record, d, expected), daemon=True) for d in daemons for _ in range(READERS)]
    for reader in readers:
        reader.start()
        if not TROUBLE:
            reader.join()
    for reader in readers:
        reader.join()


def play(record, sites):
    RecordingReplica.events_of = staticmethod(lambda name: 131)
    site = open_site(record, daemons=3, plain=1, engines=2, pause=0.15, memory_mb=MEMORY_MB)
    sites.append(site)
    routes = [route("open", "/open/", "idempotent", "plain", anonymous=True),
              route("step", "/step/", "rollout", "engine", dueMs=60000, retentionS=90)]
    site.store.put("op/config", harness.config(version=5, routes=routes, limits={
        "maxHeaderBytes": 16384, "maxBodyBytes": MAX_BODY_BYTES, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}))
    time.sleep(1.5)
    body = b"p" * (JOB_BYTES * 3 // 4)
    job = json.dumps({"step": 0, "model": "m", "minVersion": 1, "desired": 1, "items": [
        {"id": "job-item", "path": "/step/x/0", "headers": {"Model": "m", "Length-Hint": "500"}, "body": base64.b64encode(body).decode(),
         "tokens": 500, "group": "g"}]})
    assert len(job) < MAX_BODY_BYTES
    status = site.daemons[0].call("POST", "/step/job", job, {"Attempt-Id": "job", **KEY}, timeout=10)[0]
    record.write("job, %d bytes, sent to %s: %d" % (len(job), site.daemons[0].name, status))
    platform = MemoryLimit(record, site.daemons, MEMORY_MB)
    for _ in range(ROUNDS):
        started = record.now()
        read_all(record, site.daemons[1:], body)
        time.sleep(max(0, started + ROUND_S - record.now()))
        if platform.breaks_fault():
            break
    platform.stop()
    record.write("ends: %s, largest use in MB: %s" % (platform.ends, {k: round(v, 1) for k, v in platform.peaks.items()}))
    if platform.breaks_fault():
        record.write("Fault: on two machines and more, processes ended three times with no disruption")
        return BROKEN
    record.write("held: Fault is kept")
    return HELD


sys.exit(run_case(pathlib.Path(__file__).parent, play, "readers-record.txt"))
