"""Runs daemons whose writes at the store take effect without an answer.

Prints "ok NAME" or "FAIL NAME reason" for each test.
"""

import json
import sys
import threading
import time

from harness.site import check, run_tests, until

KEY = {"Authorization": "Bearer key-a"}
LOG_PREFIX = "agatetide/step-log/"
# A result that was read may be missing elsewhere for this long.
SETTLE_S = 1.0
# A stopped step stays in the memory of the host that ran it for this long.
RETENTION_S = 15


def lose_first_append(site, step):
    """Loses the answer to the first append of results of a step; returns the list that gets its time."""
    lost = []

    def loses_answer(path, body):
        appends = path == "/kv-txn" and any(w["key"].startswith(LOG_PREFIX + step + "/") for w in body["writes"])
        if lost or not appends:
            return False
        lost.append(time.monotonic())
        return True

    for daemon in site.daemons:
        daemon.store_endpoint.loses_answer = loses_answer
    return lost


def submit_and_find_hosts(site, step, items=6, **fields):
    """Returns the host that runs the step, and one that reads it at the store."""
    check(site.submit(site.daemons[0], step, items, **fields) == 202, "accepted")

    def owners():
        return [d for d in site.daemons
                if any("step=%s " % step in line and "outcome=accepted" in line for line in d.lines("step_submitted"))]

    until(owners, "a host has accepted the step")
    owner = owners()[0]
    return owner, next(d for d in site.daemons if d is not owner)


def read_first(site, reader, step):
    results = []

    def read():
        results.extend(site.read(reader, step)["results"])
        return results

    until(read, "a result is read")
    return [r["id"] for r in results]


def check_listed(site, step, expected, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for daemon in site.daemons:
            page = site.read(daemon, step)
            listed = [r["id"] for r in page["results"]][:len(expected)]
            check(page.get("status", 200) == 503 or listed == expected,
                  "%s lists %s, but %s were read before" % (daemon.name, listed, expected))
        time.sleep(0.2)


def end(host, step):
    check(host.call("DELETE", "/lots/" + step, headers=KEY)[0] == 200, "ended")


def results_that_were_read_stay_after_an_end(site):
    """Guards against a host that stops a step while its append has no answer, and then answers without that entry."""
    for number in range(2):
        step = "job-%d" % number
        lose_first_append(site, step)
        owner, reader = submit_and_find_hosts(site, step)
        expected = read_first(site, reader, step)
        end(owner if number else reader, step)
        time.sleep(SETTLE_S)
        check_listed(site, step, expected, 5)


def results_that_were_read_stay_while_the_step_runs(site):
    """Guards against a host that knows of no entry until its retry, although others have read it."""
    lost = lose_first_append(site, "job")
    _, reader = submit_and_find_hosts(site, "job", items=12)
    expected = read_first(site, reader, "job")
    time.sleep(SETTLE_S)
    check(time.monotonic() - lost[0] < 1.5, "the append still has no answer")
    check_listed(site, "job", expected, 4)
    for daemon in site.daemons:
        check(len(site.read_all(daemon, 12, "job")) == 12, "the step goes on")


def waiting_reader_gets_what_others_have_read(site):
    """Guards against a read that waits at the host of the step as it stops, and ends without what others have read."""
    lose_first_append(site, "job")
    owner, reader = submit_and_find_hosts(site, "job")
    pages = []

    def wait_for_results():
        status, body, _ = owner.call("GET", "/lots/job?after=0", headers={**KEY, "Wait-Ms": "1000"})
        pages.append([r["id"] for r in json.loads(body)["results"]] if status == 200 else status)

    until(lambda: site.store.keys(LOG_PREFIX + "job/"), "results are in the log")
    waiting = threading.Thread(target=wait_for_results)
    waiting.start()
    expected = read_first(site, reader, "job")
    end(owner, "job")
    waiting.join()
    check(pages[0] in (503, expected), "the page is %s, but %s were read" % (pages[0], expected))


def step_that_is_sent_again_late_keeps_its_results(site):
    """Guards against a host that no longer has a complete step in memory, and runs it anew without its log."""
    owner, _ = submit_and_find_hosts(site, "job")
    expected = [r["id"] for r in site.read_all(owner, 6, "job")]
    ran = sum(len(r.requests) for r in site.engines)
    time.sleep(RETENTION_S + 1)
    check(site.submit(site.daemons[0], "job") == 202, "accepted again")
    check_listed(site, "job", expected, 2)
    check(sum(len(r.requests) for r in site.engines) == ran, "no item runs again")


TESTS = [
    (results_that_were_read_stay_after_an_end, {"daemons": 3, "events": 12, "pause": 0.08}),
    (results_that_were_read_stay_while_the_step_runs, {"daemons": 3, "events": 6, "pause": 0.08}),
    (waiting_reader_gets_what_others_have_read, {"daemons": 3, "events": 12, "pause": 0.08}),
    (step_that_is_sent_again_late_keeps_its_results, {"daemons": 3}),
]


if __name__ == "__main__":
    sys.exit(run_tests("unknown_writes", TESTS))
