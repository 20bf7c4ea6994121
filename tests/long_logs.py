"""Reads steps with long logs of results over long paths to the store.

Prints "ok NAME" or "FAIL NAME reason" for each test.
"""

import base64
import json
import sys
import time

from harness.site import check, config, run_tests, until

KEY = {"Authorization": "Bearer key-a"}
ITEMS, EVENTS, EVENT_BYTES = 60, 4, 15000
# A path between regions: a window of 64 KiB in a round trip of 60 ms takes 0.9 s for 1 MB.
SECONDS_PER_MB = 0.6
# Readers that allow no wait get their answer within this time, or go away.
PATIENCE_S = 1.5
# A page of a step that is not complete is made of what was read within this time.
MAX_CACHE_AGE_S = 0.5
STEP = "long"
INDEX_PREFIX, LOG_PREFIX = "agatetide/step-index/", "agatetide/step-log/"


def run_step(site):
    """Runs a step with a log of 3.6 MB; returns the hosts that have not seen it, and its results in their order."""
    for engine in site.engines:
        engine.event_bytes = EVENT_BYTES
    check(site.submit(site.daemons[0], STEP, ITEMS) == 202, "accepted")
    results = site.read_all(site.daemons[0], ITEMS, STEP, timeout=20)
    owner = next(d for d in site.daemons if any("outcome=accepted" in line for line in d.lines("step_submitted")))
    return [d for d in site.daemons[1:] if d is not owner], results


def slow_down(site):
    for daemon in site.daemons:
        daemon.store_endpoint.seconds_per_mb = SECONDS_PER_MB


def read_page(daemon, after):
    """Returns the page that a reader gets who does not wait; None if it does not come in time."""
    try:
        status, body, _ = daemon.call("GET", "/lots/%s?after=%d" % (STEP, after), headers=KEY, timeout=PATIENCE_S)
    except OSError:
        return None
    return json.loads(body) if status == 200 else None


def restart(site, daemons):
    """Starts the daemons again, so that they have read nothing of the step."""
    for daemon in daemons:
        daemon.stop()
        daemon.start()
    until(lambda: all(len(site.addresses(d)) == len(site.daemons) for d in daemons), "all hosts are known")


def each_host_reads_from_the_start_in_time(site):
    """Guards against a host that reads the whole log before it answers, so that each host that is asked is too late."""
    others, results = run_step(site)
    slow_down(site)
    for daemon in others:
        page = read_page(daemon, 0)
        check(page is not None, "%s answers in time" % daemon.name)
        check(page["total"] == ITEMS and page["results"], "the page has results")
        check(page["results"] == results[:len(page["results"])], "they are those that were read before")


def each_page_is_read_in_time_at_another_host(site):
    """Guards against a host that reads all entries before the ones that are asked for."""
    _, results = run_step(site)
    check(site.daemons[0].call("DELETE", "/lots/" + STEP, headers=KEY)[0] == 200, "ended")
    restart(site, site.daemons)
    slow_down(site)
    read, turn = [], 0
    while len(read) < ITEMS:
        daemon = site.daemons[turn % len(site.daemons)]
        page = read_page(daemon, len(read))
        check(page is not None and page["results"], "%s answers in time from position %d" % (daemon.name, len(read)))
        read += page["results"]
        turn += 1
    check(read == results, "all results come again, in their order")


def positions_inside_of_entries_and_earlier_ones_are_read(site):
    """Guards against a host that keeps a part of a log, and takes it for the beginning or the end of it."""
    (reader, *_), results = run_step(site)
    slow_down(site)
    for after in (ITEMS - 1, 0, 31, 30, 1, ITEMS, ITEMS - 7, 12):
        page = read_page(reader, after)
        check(page is not None, "the page from %d comes in time" % after)
        expected = results[after:after + len(page["results"])]
        check(page["results"] == expected and bool(expected) == (after < ITEMS), "the page from %d is right" % after)
        check(page["nextToken"] == after + len(expected), "the next position after %d is right" % after)


def refused_host_reads_through_others_in_time(site):
    """Guards against a host that asks another one for a whole log, which takes longer than it waits for it."""
    (reader, *_), results = run_step(site)
    slow_down(site)
    reader.store_endpoint.refuse = True
    page = read_page(reader, 0)
    check(page is not None and page["results"], "the refused host answers in time")
    check(page["results"] == results[:len(page["results"])], "with the results that were read before")


def known_page_is_answered_without_the_store(site):
    """Guards against a host that looks for further results, while those that it knows fill the page."""
    (reader, *_), results = run_step(site)
    check(read_page(reader, 0) is not None, "the first page is read")
    time.sleep(MAX_CACHE_AGE_S + 0.5)
    reader.store_endpoint.silent = True
    page = read_page(reader, 0)
    reader.store_endpoint.silent = False
    check(page is not None and page["results"], "the page that is known comes in time")
    check(page["results"] == results[:len(page["results"])], "with the results that were read before")


def log_without_an_index_is_read(site):
    """Guards against a log of an older build, whose results are not found without an index."""
    (reader, *_), results = run_step(site)
    for key in site.store.keys(INDEX_PREFIX):
        site.store.remove(key)
    check(site.read(reader, STEP, ITEMS - 3)["results"] == results[-3:], "the last results are found")
    check(site.read_all(reader, ITEMS, STEP) == results, "all results come again")


def allow_large_bodies(site):
    site.store.put("op/config", config(version=5, limits={"maxHeaderBytes": 16384, "maxBodyBytes": 33554432}))
    until(lambda: all(d.last_event("config", "version=5") for d in site.daemons), "larger jobs are allowed")


def make_job(name, count):
    """A job with bodies of 50 KB that does not run, since no replica has its version."""
    return json.dumps({"step": 0, "model": "m", "minVersion": 9, "desired": 1, "items": [
        {"id": "%s-item-%d" % (name, i), "path": "/step/x/%d" % i, "headers": {"Model": "m"}, "tokens": 10, "group": "g",
         "body": base64.b64encode(b"%02d" % (i % 100) * 25000).decode()} for i in range(count)]})


def body_of_any_item_of_a_large_job_is_read_in_time(site):
    """Guards against a host that reads all items of a job before it answers with the body of one."""
    allow_large_bodies(site)
    check(site.daemons[0].call("POST", "/step/" + STEP, make_job(STEP, 80), {"Attempt-Id": STEP, **KEY})[0] == 202, "accepted")
    slow_down(site)
    for number, daemon in enumerate(site.daemons[1:], 1):
        for i in (79, 0, 8 * number + 7):
            try:
                status, body, _ = daemon.call("GET", "/items/%s?id=%s-item-%d" % (STEP, STEP, i), headers=KEY, timeout=PATIENCE_S)
            except OSError:
                status, body = "none", b""
            check(status == 200 and body == b"%02d" % i * 25000, "%s has the body of item %d: %s" % (daemon.name, i, status))
        check(daemon.call("GET", "/items/%s?id=other" % STEP, headers=KEY)[0] == 404, "no body of an unknown item")


def large_job_is_accepted_over_a_long_path(site):
    """Guards against a job that is refused at each host, since its items take longer than a call of the store."""
    allow_large_bodies(site)
    slow_down(site)
    for number, count in enumerate((29, 120)):
        name = "large-%d" % number
        statuses = []

        def submit(name=name, count=count, statuses=statuses):
            daemon = site.daemons[len(statuses) % len(site.daemons)]
            statuses.append(daemon.call("POST", "/step/" + name, make_job(name, count), {"Attempt-Id": name, **KEY}, timeout=20)[0])
            return statuses[-1] == 202

        until(submit, "%d MB of items are accepted" % (count / 20), timeout=25)
        check(len(statuses) <= 2, "at the first or second attempt: %s" % statuses)


def results_that_waited_for_the_store_are_all_listed(site):
    """Guards against an entry of several long results that no value of the store holds, so that it is refused for good."""
    for engine in site.engines:
        engine.event_bytes = 100000
    for daemon in site.daemons:
        daemon.store_endpoint.refuses_call = lambda path, call: path == "/kv-txn" and any(
            w["key"].startswith(LOG_PREFIX) for w in call["writes"])
    check(site.submit(site.daemons[0], STEP, 6) == 202, "accepted")
    until(lambda: sum(len(e.requests) for e in site.engines) >= 6, "all items run")
    until(lambda: sum(len(d.lines("sample")) for d in site.daemons) == 6, "all items are done")
    for daemon in site.daemons:
        daemon.store_endpoint.refuses_call = None
    results = site.read_all(site.daemons[0], 6, STEP)
    check(all(len(r["text"]) >= EVENTS * 100000 for r in results), "with their whole text")


if __name__ == "__main__":
    options = {"daemons": 4, "engines": 2, "events": EVENTS}
    sys.exit(run_tests("long_logs", [(test, options) for test in (
        each_host_reads_from_the_start_in_time, each_page_is_read_in_time_at_another_host,
        positions_inside_of_entries_and_earlier_ones_are_read, refused_host_reads_through_others_in_time,
        known_page_is_answered_without_the_store, log_without_an_index_is_read,
        body_of_any_item_of_a_large_job_is_read_in_time,
        large_job_is_accepted_over_a_long_path, results_that_waited_for_the_store_are_all_listed)]))
