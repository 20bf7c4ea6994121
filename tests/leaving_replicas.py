"""Runs daemons before replicas that say themselves that they leave, while the store says nothing or something older.

Prints "ok NAME" or "FAIL NAME reason" for each test.
"""

import sys
import time

from cut_off_hosts import cut_off
from harness.site import check, run_tests, until
from harness.users_platform import Replica

# A replica gets no new requests this long after a host knows that it leaves; the platform allows 3 s.
DRAIN_S = 1


def look_up(site, daemon, name, seconds, path="/open/1"):
    """Sends lookups to a daemon and checks that it serves all."""
    end, count = time.monotonic() + seconds, 0
    while time.monotonic() < end:
        count += 1
        status = site.lookup(daemon, "%s-%d" % (name, count), path)[0]
        check(status == 200, "lookup %d of %s: %d" % (count, name, status))
        time.sleep(0.01)


def check_unused(replica, since, description):
    late = [t for t in replica.arrivals if t > since + DRAIN_S]
    check(not late, "%s: %d requests, the last after %.1f s" % (description, len(late), late[-1] - since if late else 0))


def learn_and_check(site, daemon, replica, kind="call"):
    """Lets a replica say that it leaves, and checks that the daemon stops using it."""
    replica.says_leaving = {kind}
    since = time.monotonic()
    look_up(site, daemon, "leaving-" + replica.name, DRAIN_S + 1.5)
    check([t for t in replica.arrivals if t > since], "no answer said it")
    check_unused(replica, since, replica.name)


def leaving_replica_is_left_alone_while_the_store_is_silent(site):
    """Guards against new work for a replica whose own answers say that it leaves, while the store cannot."""
    site.store.refuse = True
    learn_and_check(site, site.daemons[0], site.plain[0])


def leaving_replica_is_left_alone_by_a_host_without_the_store(site):
    """Guards against new work from a host that is cut off from the store alone."""
    first = site.daemons[0]
    first.store_endpoint.silent = True
    learn_and_check(site, first, site.plain[0])
    first.store_endpoint.silent = False


def older_word_of_the_store_does_not_undo_it(site):
    """Guards against a registration, written before or while the replica leaves, that makes it usable again."""
    daemon, replica = site.daemons[0], site.plain[0]
    learn_and_check(site, daemon, replica)
    site.store.remove("servers/" + replica.name)
    until(lambda: daemon.last_event("replica_gone", replica.name), "its registration is gone")
    replica.register()
    since = time.monotonic()
    look_up(site, daemon, "again", 2)
    check_unused(replica, since - DRAIN_S, "registered as ready again")


def leaving_replica_that_fails_is_left_alone(site):
    """Guards against reading the word of a replica in its successes only."""
    daemon, replica = site.daemons[0], site.plain[0]
    replica.statuses = [503] * 100
    learn_and_check(site, daemon, replica)


def streams_of_a_leaving_engine_end_and_no_item_follows(site):
    """Guards against the loss of running samples, and against new ones, at an engine whose streams say that it leaves."""
    daemon, engine = site.daemons[0], site.engines[0]
    engine.says_leaving = {"stream"}
    site.submit(daemon, "first")
    until(lambda: engine.requests, "an item runs there")
    since = time.monotonic()
    site.read_all(daemon, 6, "first")
    names = [request[0] for e in site.engines for request in e.requests]
    check(len(names) == len(set(names)), "a running item was started again")
    time.sleep(max(0, since + DRAIN_S - time.monotonic()))
    site.submit(daemon, "second")
    site.read_all(daemon, 6, "second")
    check_unused(engine, since, "engine-0")


def engine_that_says_it_only_in_status_reports_gets_no_items(site):
    """Guards against ignoring what the answers to orders and status requests say."""
    daemon, engine = site.daemons[0], site.engines[0]
    engine.says_leaving = {"report"}
    site.store.put("op/version/m", {"model": "m", "version": 2})
    until(lambda: daemon.last_event("replica_draining", "engine-0"), "the daemon knows")
    since = time.monotonic() - DRAIN_S
    site.submit(daemon)
    site.read_all(daemon, 6)
    check_unused(engine, since, "engine-0")


def new_replica_at_the_old_address_gets_work_at_once(site):
    """Guards against taking a new replica for the one that left its address."""
    daemon, replica = site.daemons[0], site.plain[0]
    learn_and_check(site, daemon, replica)
    site.store.remove("servers/" + replica.name)
    replica.name, replica.says_leaving = "plain-new", set()
    replica.register()
    since = time.monotonic()
    until(lambda: site.lookup(daemon, "new")[0] == 200 and any(t > since for t in replica.arrivals), "it is used", timeout=2)


def restarted_replica_of_the_same_name_gets_work(site):
    """Guards against a replica that is left alone after it has started again under its name."""
    daemon, replica = site.daemons[0], site.plain[0]
    replica.born = 1000
    replica.register()
    until(lambda: site.lookup(daemon, "warm")[0] == 200, "served")
    learn_and_check(site, daemon, replica)
    replica.born, replica.says_leaving = 2000, set()
    replica.register()
    since = time.monotonic()
    until(lambda: site.lookup(daemon, "new")[0] == 200 and any(t > since for t in replica.arrivals), "it is used", timeout=2)


def requests_are_refused_at_once_when_all_replicas_leave(site):
    """Guards against lookups that wait for their deadline when every replica of the service leaves."""
    daemon = site.daemons[0]
    for replica in site.plain:
        replica.says_leaving = {"call"}
    site.lookup(daemon, "a")
    site.lookup(daemon, "b")
    started = time.monotonic()
    status, _, headers = site.lookup(daemon, "c")
    check(status == 503, "status %d" % status)
    check(float(headers["Retry-After"]) >= 1, "Retry-After %s" % headers.get("Retry-After"))
    check(time.monotonic() - started < 0.3, "refused after %.1f s" % (time.monotonic() - started))
    fresh = Replica(site.store, "plain-fresh", "plain", "z1")
    until(lambda: site.lookup(daemon, "d")[0] == 200 and fresh.requests, "a new replica is used", timeout=2)


def word_of_a_replica_that_is_reached_through_another_host_counts_at_both(site):
    """Guards against the loss of the word on its way through the host that relays."""
    first, second = site.daemons
    site.store.refuse = True
    cut_off(site, [first])
    until(lambda: first.last_event("replica_paths", "cut_off=true") or site.lookup(first, "x")[0] == 0, "cut off")
    learn_and_check(site, first, site.plain[0])
    for daemon in (first, second):
        check(daemon.last_event("replica_draining", "plain-0"), daemon.name + " does not know")


def other_values_change_nothing(site):
    """Guards against taking any value of the header for the word that the replica leaves."""
    daemon, replica = site.daemons[0], site.plain[0]
    replica.leaving_header = lambda *_: [("Server-Leaving", "0"), ("Server-Leaving", "yes")]
    look_up(site, daemon, "other", 0.5)
    since = time.monotonic()
    look_up(site, daemon, "still", 1)
    check([t for t in replica.arrivals if t > since], "the replica is not used any more")


TESTS = [
    (leaving_replica_is_left_alone_while_the_store_is_silent, {}),
    (leaving_replica_is_left_alone_by_a_host_without_the_store, {"daemons": 2}),
    (older_word_of_the_store_does_not_undo_it, {}),
    (leaving_replica_that_fails_is_left_alone, {}),
    (streams_of_a_leaving_engine_end_and_no_item_follows, {"events": 6, "pause": 0.2}),
    (engine_that_says_it_only_in_status_reports_gets_no_items, {}),
    (new_replica_at_the_old_address_gets_work_at_once, {}),
    (restarted_replica_of_the_same_name_gets_work, {}),
    (requests_are_refused_at_once_when_all_replicas_leave, {}),
    (word_of_a_replica_that_is_reached_through_another_host_counts_at_both, {"daemons": 2}),
    (other_values_change_nothing, {}),
]


if __name__ == "__main__":
    sys.exit(run_tests("leaving_replicas", TESTS))
