"""Runs daemons while replicas of two software versions serve, and one of them leaves.

Prints "ok NAME" or "FAIL NAME reason" for each test.
"""

import collections
import sys
import time

from harness.site import check, run_tests, until
from harness.users_platform import Replica


LONGEST_WATCH_S = 2.5


def check_unmixed(results, events, event_bytes=0):
    """Checks that each text is complete and comes from replicas of one software version."""
    for result in results:
        lines = result["text"].split("\n")
        check(min(map(len, lines)) >= event_bytes, "a text with short events: %s" % [len(line) for line in lines])
        lines = [line.rstrip(".") for line in lines]  # replicas fill events up
        check([line.split("@")[0].rsplit("-", 1)[1] for line in lines] == [str(n + 1) for n in range(events)],
              "an incomplete text: %s" % lines)
        check(len({line.partition("@")[2] for line in lines}) == 1, "a text of two software versions: %s" % lines)


def resumed_requests(replicas):
    return [r for replica in replicas for r in replica.requests if int(r[2].get("Last-Event-Id") or 0) > 0]


def add_engines(site, software, count=2):
    events, pause = site.engines[0].events, site.engines[0].pause
    added = [Replica(site.store, "engine-%s-%d" % (software, i), "engine", "z1", {"m": 1}, events, pause, software)
             for i in range(count)]
    site.engines += added
    time.sleep(0.3)
    return added


def broken_items_go_on_at_their_software_version(site):
    """Guards against texts that are joined from replicas of two software versions after a stream broke."""
    new = add_engines(site, "v2")
    site.engines[0].breaks_after = new[0].breaks_after = 3
    check(site.submit(site.daemons[0], items=24) == 202, "accepted")
    check_unmixed(site.read_all(site.daemons[0], 24), 8)
    check(resumed_requests(site.engines[:2]) and resumed_requests(new), "items of both versions were resumed")


def items_of_a_software_version_that_leaves_start_again(site):
    """Guards against items that wait for a software version that has left, and against joining their
    texts with another one's."""
    old = list(site.engines)
    check(site.submit(site.daemons[0], items=8) == 202, "accepted")
    until(lambda: sum(len(e.requests) for e in old) == 8, "all items run")
    time.sleep(1)
    add_engines(site, "v2")
    for replica in old:
        replica.crash()
        site.store.remove("servers/" + replica.name)
    check_unmixed(site.read_all(site.daemons[0], 8), 20)


def taken_over_items_go_on_at_their_software_version(site):
    """Guards against a daemon that takes a step over and continues its texts with another software version."""
    first, second = site.daemons
    new = add_engines(site, "v2")
    check(site.submit(first, items=16) == 202, "accepted")
    time.sleep(1.6)
    site.engines[0].drain()
    first.stop()
    check_unmixed(site.read_all(second, 16), 12)
    check(resumed_requests(site.engines[1:2]) and resumed_requests(new), "items of both versions were resumed")


def stream(daemon, request_id, first=None, after=0):
    """Starts a stream, or takes up the one of the request first; returns the status and the events' data."""
    headers = {"Attempt-Id": request_id, "Timeout-Ms": "3000", "Model": "m"}
    if first is not None:
        headers.update({"Last-Event-Id": str(after), "Resumes": first})
    status, body, _ = daemon.call("POST", "/stream/1", b"prompt", headers)
    return status, [line[6:] for line in body.decode().splitlines() if line.startswith("data: ")]


def software_of(events):
    return {event.rstrip(".").partition("@")[2] for event in events}


def start_streams(site, count, prefix="stream"):
    """Starts streams at all hosts; returns the software versions of their events by request id."""
    started = {}
    for i in range(count):
        name = "%s-%d" % (prefix, i)
        status, events = stream(site.daemons[i % len(site.daemons)], name)
        check(status == 200 and len(events) == site.engines[0].events, "stream %s: %s %s" % (name, status, events))
        started[name] = software_of(events)
    return started


def check_taken_up(site, started, suffix, must_go_on):
    """Takes streams up after their second event; those of must_go_on's versions have to go on, and no
    stream may hold events of two software versions."""
    joined, refused = [], collections.Counter()
    for i, (name, software) in enumerate(started.items()):
        status, events = stream(site.daemons[(i + 1) % len(site.daemons)], name + suffix, name, 2)
        if status == 200:
            joined += [name] if software_of(events) != software else []
        else:
            check(status == 503, "status %d" % status)
            refused[next(iter(software))] += 1
    check(not joined, "%d of %d streams hold events of two software versions" % (len(joined), len(started)))
    check(not set(refused) & must_go_on, "refused streams by software version: %s" % refused)
    return refused


def taken_up_streams_go_on_at_their_software_version(site):
    """Guards against streams of callers that are joined from two software versions, also after all
    hosts were killed, and against streams that cannot be taken up although their version serves."""
    started = start_streams(site, 4, "early")
    add_engines(site, "v2")
    started.update(start_streams(site, 24, "late"))
    check(set().union(*started.values()) == {"", "v2"}, "both versions began streams")
    check_taken_up(site, started, "-up", {"", "v2"})
    for daemon in site.daemons:
        daemon.stop()
    for daemon in site.daemons:
        daemon.start()
    until(lambda: all(len(site.addresses(d)) == len(site.daemons) for d in site.daemons), "all hosts are known")
    check_taken_up(site, started, "-again", {"", "v2"})


def streams_of_a_software_version_that_left_are_refused(site):
    """Guards against streams that are continued by another software version when theirs has left."""
    old = list(site.engines)
    started = start_streams(site, 8)
    add_engines(site, "v2")
    for replica in old:
        site.store.remove("servers/" + replica.name)
    until(lambda: all(d.last_event("replica_gone", old[-1].name) for d in site.daemons), "the old version has left")
    for daemon in site.daemons:
        daemon.stop()
        daemon.start()
    check(check_taken_up(site, started, "-up", set()) == {"": 8}, "streams of the old version are refused")
    check(stream(site.daemons[0], "new")[1][0].endswith("@v2"), "new streams begin")


def host_with_an_old_list_joins_no_streams(site):
    """Guards against a host that takes up a stream at another software version because it has not heard of the
    replicas where the stream began; the caller does not name the request that began it."""
    first, second = site.daemons
    check(stream(first, "default")[0] == 200, "a stream of the old version")
    first.store_endpoint.silent_prefix = "servers/"
    time.sleep(LONGEST_WATCH_S)
    add_engines(site, "v2")
    until(lambda: second.last_event("replica", "software_version=v2"), "the other host knows the new replicas")
    check(not first.last_event("replica", "software_version=v2"), "the host does not")
    started = {}
    for number in range(20):
        name = "new-%d" % number
        started[name] = software_of(stream(second, name)[1])
    check({"v2"} in started.values(), "streams of the new version began")
    joined = collections.Counter()
    for name in started:
        status, events = stream(first, name + "-up", "", 2)
        if status == 200 and software_of(events) != started[name]:
            joined["joined"] += 1
    check(not joined, "%d of %d streams hold events of two software versions" % (joined["joined"], len(started)))


TESTS = [
    (host_with_an_old_list_joins_no_streams, {"daemons": 2, "peers": False}),
    (taken_up_streams_go_on_at_their_software_version, {"daemons": 2}),
    (streams_of_a_software_version_that_left_are_refused, {"daemons": 2}),
    (broken_items_go_on_at_their_software_version, {"events": 8, "pause": 0.05}),
    (items_of_a_software_version_that_leaves_start_again, {"events": 20, "pause": 0.15}),
    (taken_over_items_go_on_at_their_software_version, {"daemons": 2, "events": 12, "pause": 0.25}),
]


if __name__ == "__main__":
    sys.exit(run_tests("software_versions", TESTS))
