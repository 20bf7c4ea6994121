"""Results of a batch job that were read disappear, after one answer of the store to their commit was lost."""

import base64
import json
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from deployment import SmallSite, run_case, until  # noqa: E402
from harness.site import config  # noqa: E402

ITEMS = 6
CONTACT_S, SETTLE_S = 4.0, 1.0
# The owner waits this long for a lost answer.
MARGIN_S = 0.5


def submit_background_step(site, number):
    """A step of long samples, whose checkpoints and results are further writes at the store."""
    site.submit(site.daemons[number % 3], "background-%d" % number, items=4)


def body(record, trouble):
    site = SmallSite(config(), events=12, pause=0.08)
    try:
        return run(site, record, trouble)
    finally:
        site.close()


def run(site, record, trouble):
    writes, lost = [], []
    entries = {}

    def loses_answer(path, call):
        if path != "/kv-txn":
            return False
        writes.append(time.monotonic())
        keys = [w["key"] for w in call["writes"]]
        if trouble and not lost and any(k.startswith("agatetide/step-log/job-1/") for k in keys):
            lost.append(time.monotonic())
            record.write("store: %s is executed, its answer is lost" % keys)
            return True
        return False

    for daemon in site.daemons:
        daemon.store_endpoint.loses_answer = loses_answer
    stop = threading.Event()

    def submit_others():
        number = 0
        while not stop.is_set():
            submit_background_step(site, number)
            number += 1
            stop.wait(0.7)

    others = threading.Thread(target=submit_others, daemon=True)
    others.start()
    time.sleep(2)
    record.write("trainer: submits job-1 with %d items: %d" % (ITEMS, site.submit(site.daemons[0], "job-1", ITEMS)))
    accepted = [d for d in site.daemons
                if any("step=job-1 " in line and "outcome=accepted" in line for line in d.lines("step_submitted"))]
    owner = accepted[0]
    reader = next(d for d in site.daemons if d is not owner)
    record.write("owner of job-1: %s; the trainer reads at %s" % (owner.name, reader.name))

    def read(daemon, after):
        status, data, _ = daemon.call("GET", "/lots/job-1?after=%d" % after,
                                      headers={"Authorization": "Bearer key-a", "Wait-Ms": "300"})
        page = json.loads(data) if status == 200 else {"results": []}
        record.write("read at %s from position %d: status %d, items %s" %
                     (daemon.name, after, status, [r["id"] for r in page["results"]]))
        return status, page["results"]

    read_results = []
    end = time.monotonic() + 15
    while not read_results and time.monotonic() < end:
        read_results += read(reader, 0)[1]
    read_at = time.monotonic()
    if not read_results:
        raise RuntimeError("no result was read")
    status, _, _ = reader.call("DELETE", "/lots/job-1", headers={"Authorization": "Bearer key-a"})
    record.write("trainer: has enough samples and ends job-1 at %s: %d" % (reader.name, status))
    time.sleep(2.5)
    stop.set()
    if trouble:
        window = [t for t in writes if lost[0] - 2.25 <= t <= lost[0] + 2.25]
        record.write("answers lost: 1 of %d writes in 4.5 s" % len(window))
        if len(window) < 4:
            raise RuntimeError("too large a share of the answers was lost")
    # From here on nothing is disturbed: the machines are in touch contactMs later.
    calm_at = (lost[0] if lost else read_at) + CONTACT_S + MARGIN_S
    time.sleep(max(0, calm_at - time.monotonic(), read_at + SETTLE_S + MARGIN_S - time.monotonic()))
    broken = False
    for _ in range(5):
        for daemon in site.daemons:
            status, results = read(daemon, 0)
            same = [r["id"] for r in results[:len(read_results)]] == [r["id"] for r in read_results]
            if status == 200 and not same:
                record.write("%s has not the %d results that were read %.1f s ago, %.1f s after the lost answer" % (
                    daemon.name, len(read_results), time.monotonic() - read_at, time.monotonic() - (lost or [read_at])[0]))
                broken = True
        time.sleep(1)
    return broken


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, body))
