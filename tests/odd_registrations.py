"""Runs daemons while another writer leaves odd entries among the registrations of replicas.

Prints "ok NAME" or "FAIL NAME reason" for each test.
"""

import json
import sys
import time

from harness.site import check, run_tests, until
from harness.users_platform import Replica

# A replica whose registration is no longer valid gets no requests after this time.
FORGET_S = 4


def good(**changes):
    return json.dumps({"service": "engine", "address": "127.0.0.1:9", "zone": "z1", "version": "v1", "slots": 8,
                       "state": "ready", "coldLeftMs": 0, "seq": 1, "born": 1, "models": [{"name": "m", "version": 1}],
                       **changes}).encode()


def odd_entries():
    """Returns entries that name no replica, by id."""
    deep = b"[" * 1000000
    entries = {
        "deep": deep, "deep-field": good()[:-1] + b',"models":' + deep, "empty": b"", "text": b"text", "list": b"[]",
        "number": b"1e400", "digits": good(slots=1)[:-1] + b',"slots":' + b"9" * 100000 + b"}",
        "bytes": bytes(range(256)), "half": good()[:40], "nothing": b"{}", "null": b"null",
        "long": good(service="s" * 600000)}
    for field, values in {
            "slots": [2 ** 32, 2 ** 64 - 1, -1, 0, 1.5, 1e300, "8", None, [8]],
            "address": ["127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:0", "x", ":1", 7, None, "127.0.0.1:65536"],
            "born": [1e300, "1", None], "state": ["gone", 1, None, ""], "service": ["", None, 7, {}],
            "version": [1, None], "zone": [1, []], "models": [{}, "m", 1], "useSpot": ["true", 1]}.items():
        for number, value in enumerate(values):
            entries["%s-%d" % (field, number)] = good(**{field: value})
    return entries


def check_serves(site, name):
    """Checks that each daemon serves lookups and steps, and follows replicas that join and leave."""
    for number, daemon in enumerate(site.daemons):
        check(daemon.process.poll() is None, "the daemon runs")
        check(site.lookup(daemon, "%s-%d" % (name, number))[0] == 200, "a lookup is served")
        status = site.submit(daemon, "%s-step-%d" % (name, number))
        check(status == 202, "a step is accepted: %d" % status)
        site.read_all(daemon, 6, "%s-step-%d" % (name, number))
    joined = Replica(site.store, "joined-" + name, "plain", "z1")
    until(lambda: all(d.last_event("replica", "replica=joined-" + name) for d in site.daemons), "the new replica is known")
    site.store.remove("servers/joined-" + name)
    until(lambda: all(d.last_event("replica_gone", "joined-" + name) for d in site.daemons), "it is forgotten")
    joined.server.shutdown()


def put_odd_entries(site):
    for key, value in odd_entries().items():
        site.store.put_bytes("servers/odd-" + key, value)


def hosts_follow_replicas_beside_odd_entries(site):
    """Guards against hosts that end, or stop following the list of replicas, when they read an odd entry."""
    put_odd_entries(site)
    time.sleep(1)
    check_serves(site, "beside")
    for replica in [*site.plain, *site.engines]:
        replica.register()
    check_serves(site, "again")


def hosts_start_with_odd_entries(site):
    """Guards against hosts that end whenever they start, since an odd entry is among the first that they read."""
    put_odd_entries(site)
    for daemon in site.daemons:
        daemon.stop()
        daemon.start()
    check_serves(site, "start")


def odd_entries_are_logged_once(site):
    """Guards against a log line for each read of an odd entry."""
    put_odd_entries(site)
    time.sleep(1)
    for daemon in site.daemons:
        for key in odd_entries():
            lines = [line for line in daemon.lines("replica_ignored") if "key=servers/odd-%s " % key in line]
            check(len(lines) == 1, "%d lines for %s" % (len(lines), key))


def odd_entry_that_is_written_again_fills_no_log(site):
    """Guards against a log line for each time that a writer repeats an odd entry."""
    for number in range(100):
        site.store.put_bytes("servers/odd-again", good(slots="text %d" % number))
        time.sleep(0.02)
    Replica(site.store, "after-odd", "plain", "z1")
    until(lambda: all(d.last_event("replica", "replica=after-odd") for d in site.daemons), "the last entry was read")
    for daemon in site.daemons:
        lines = [line for line in daemon.lines("replica_ignored") if "key=servers/odd-again " in line]
        check(1 <= len(lines) <= 2, "%d lines for 100 writes" % len(lines))


def replica_whose_entry_becomes_odd_gets_nothing_new(site):
    """Guards against an old good entry that is kept for good when an odd one replaces it."""
    for slots in (2 ** 32, -1, "8"):
        victim = site.plain[0]
        entry = dict(site.store.value("servers/" + victim.name), slots=slots)
        site.store.put("servers/" + victim.name, entry)
        time.sleep(FORGET_S)
        before = len(victim.requests)
        for number in range(20):
            check(site.lookup(site.daemons[number % 2], "odd-%s-%d" % (slots, number))[0] == 200, "served by others")
        check(len(victim.requests) == before, "slots %s: the replica got %d requests" % (slots, len(victim.requests) - before))
        victim.register()
        until(lambda: site.lookup(site.daemons[0], "back")[0] == 200 and len(victim.requests) > before, "it is used again")


TESTS = [
    (hosts_follow_replicas_beside_odd_entries, {"daemons": 2}),
    (hosts_start_with_odd_entries, {"daemons": 2}),
    (odd_entries_are_logged_once, {"daemons": 2}),
    (odd_entry_that_is_written_again_fills_no_log, {"daemons": 2}),
    (replica_whose_entry_becomes_odd_gets_nothing_new, {"daemons": 2}),
]


if __name__ == "__main__":
    sys.exit(run_tests("odd_registrations", TESTS))
