"""UNASKED: items of a batch job run after its end was acknowledged.

A host that runs a large batch job is removed for good. While another host, which has
become the owner, loads the items, the trainer ends the job and gets a 200. The host
then runs the items.
"""

import base64
import json
import pathlib
import sys
import threading
import time

sys.dont_write_bytecode = True
FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from small_site import BOUNDS, KEY, TROUBLE, Engine, Site, Store, run_case, until  # noqa: E402  pylint: disable=wrong-import-position

CONTACT_S = BOUNDS["contactMs"] / 1000
CANCEL_S = BOUNDS["cancelMs"] / 1000
# Of sites/stolvaerk-rl.toml: one way between regions, and the store's time for an answer.
WAY_S, ANSWER_S = 0.030, 0.004
ITEMS, ITEM_BYTES = 8, 2_900_000
EVENTS, EVENT_PAUSE_S = 131, 0.12
REMOVED_AFTER_S = 2.0


class FarStore(Store):
    """A store in another region than the hosts."""

    def handle(self, handler, method, path, query, body):
        time.sleep(WAY_S + ANSWER_S)
        with self.lock:
            status, value = self.execute(method, path, query, json.loads(body) if body else {})
        time.sleep(WAY_S)
        handler.reply(status, value)


def submit(record, daemon, job):
    body = base64.b64encode(job.encode().ljust(ITEM_BYTES, b".")).decode()
    text = json.dumps({"step": 0, "model": "m", "minVersion": 1, "desired": 1, "items": [
        {"id": "%s-%d" % (job, i), "path": "/steps/x/%d" % i, "body": body, "tokens": 100, "group": "g",
         "headers": {"Model": "m", "Token-Usage": "10,90", "Length-Hint": "90"}} for i in range(ITEMS)]})
    status = daemon.call("POST", "/steps/" + job, text, {
        "Attempt-Id": job, "Authorization": "Bearer " + KEY, "Content-Type": "application/json"}, timeout=30)[0]
    record.write("batch job %s of %d bytes at %s: %d" % (job, len(text), daemon.name, status))
    if status != 202:
        raise RuntimeError("the batch job was not accepted")


def owner(site, job):
    """The host that the stored record of a step names."""
    with site.store.lock:
        item = site.store.items.get("agatetide/step/" + job)
        text = base64.b64decode(item["value"]) if item else b""
    return next((d.name for d in site.daemons if (d.name + "#").encode() in text), None)


def case(record):
    site = Site({"a": "south"}, FarStore())
    try:
        engines = [Engine(record, site.store, "engine-%d" % i, "engines", "a", {"m": 1}) for i in range(2)]
        for engine in engines:
            engine.events, engine.pause = EVENTS, EVENT_PAUSE_S
        for name in ("edge-a-1", "edge-a-2", "edge-a-3"):
            site.add_daemon(name, "a")
        site.await_ready()
        site.await_known()
        time.sleep(CONTACT_S)
        first, other = site.daemons[0], site.daemons[1]
        submit(record, first, "job")
        runs = lambda: [r for e in engines for r in list(e.runs)]
        until(lambda: len(runs()) == ITEMS, "all items have begun", 10)
        time.sleep(REMOVED_AFTER_S)
        if TROUBLE:
            first.kill()
            record.write("%s is removed for good" % first.name)
            until(lambda: owner(site, "job") not in (None, first.name), "another host has become the owner")
            record.write("the record of the job names %s as the owner" % owner(site, "job"))
        else:
            time.sleep(CONTACT_S)
        status = other.call("DELETE", "/lots/job", headers={"Authorization": "Bearer " + KEY})[0]
        ended = time.monotonic()
        record.write("DELETE /lots/job at %s: %d" % (other.name, status))
        if status != 200:
            raise RuntimeError("the end was not acknowledged")
        threading.Event().wait(CANCEL_S + 5)
        late = [(r["id"], round(r["from"] - ended, 2), r["sender"], r["events"])
                for r in runs() if r["from"] > ended + CANCEL_S and r["events"] > 0]
        record.write("items that ran and had reached a replica later than cancelMs after the acknowledgement of the end "
                     "(id, s after it, sender, events): %s" % late)
        for daemon in site.daemons:
            for event in ("step_taken_over", "step_end", "step_stopped"):
                for line in daemon.lines(event):
                    record.write("log of %s: %s" % (daemon.name, line))
        print("UNASKED: %d items ran that reached a replica later than %.0f s after the acknowledged end" % (len(late), CANCEL_S))
        return not late
    finally:
        site.close()


run_case(FOLDER, case)
