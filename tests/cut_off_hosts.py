"""Runs daemons on hosts that are cut off from replicas while callers, the store and the other hosts reach them.

Prints "ok NAME" or "FAIL NAME reason" for each test.
"""

import http.client
import signal
import sys
import time

from harness.site import check, config, run_tests, until

# A host serves its callers again this long after it was cut off.
CONTACT_S = 4


def replicas(site):
    return [*site.plain, *site.engines]


def cut_off(site, hosts, **options):
    for replica in replicas(site):
        for host in hosts:
            replica.server.partition.cut(host.address, **options)


def heal(site, hosts):
    for replica in replicas(site):
        for host in hosts:
            replica.server.partition.heal(host.address)


def served_shares(site, seconds, name, path="/open/1"):
    """Sends lookups to all hosts by turns; returns the share that each served within a second, by host name."""
    served = {d.name: [] for d in site.daemons}
    end = time.monotonic() + seconds
    count = 0
    while time.monotonic() < end:
        for daemon in site.daemons:
            count += 1
            try:
                status = daemon.call("POST", path, b"question", timeout=1.2, headers={
                    "Attempt-Id": "%s-%d" % (name, count), "Timeout-Ms": "1000"})[0]
            except (OSError, http.client.HTTPException):
                status = 0
            served[daemon.name].append(status == 200)
        time.sleep(0.05)
    return {host: sum(results) / len(results) for host, results in served.items()}


def callers_of_a_silently_cut_off_host_are_served(site):
    """Guards against lookups that end at their deadline because their host waits for replicas that it cannot reach."""
    served_shares(site, 0.5, "before")
    cut_off(site, site.daemons[:2])
    served_shares(site, CONTACT_S, "meanwhile")
    shares = served_shares(site, 2, "cut")
    check(min(shares.values()) > 0.95, "served: %s" % shares)


def first_request_of_an_idle_cut_off_host_is_served(site):
    """Guards against a host that learns of its cut only from requests that it fails."""
    served_shares(site, 0.5, "before")
    cut_off(site, site.daemons[:1])
    time.sleep(CONTACT_S)
    for path in ("/open/1", "/once/1"):
        shares = served_shares(site, 0.1, "cut", path)
        check(min(shares.values()) == 1, "%s served: %s" % (path, shares))
        heal(site, site.daemons[:1])
        time.sleep(2)
        cut_off(site, site.daemons[:1])


def idle_host_notices_its_cut_without_requests(site):
    """Guards against callers that are still sent to a host which has had no request since it was cut off."""
    served_shares(site, 0.5, "before")
    first, *others = site.daemons
    cut_off(site, [first])
    until(lambda: all(len(site.addresses(d)) == len(others) for d in site.daemons), "it left the answers", timeout=CONTACT_S)
    started = time.monotonic()
    check(site.lookup(first, "first")[0] == 200, "its first request is served")
    check(time.monotonic() - started < 0.2, "took %.2f s" % (time.monotonic() - started))


def leader_whose_orders_reach_nobody_hands_over(site):
    """Guards against steps that wait for weights: the leader cannot open connections to replicas, while the
    open ones, which carry its requests, live on."""
    until(lambda: any(d.last_event("leadership", "held=true") for d in site.daemons), "there is a leader")
    leader = next(d for d in site.daemons if d.last_event("leadership", "held=true"))
    served_shares(site, 0.5, "before")
    cut_off(site, [leader], established=False)
    site.store.put("op/version/m", {"model": "m", "version": 2})
    until(lambda: all(e.versions["m"] == 2 for e in site.engines), "the version is loaded", timeout=CONTACT_S)


def requests_of_a_cut_off_host_run_once(site):
    """Guards against requests that may not be repeated and that two hosts send."""
    cut_off(site, site.daemons[:1])
    served_shares(site, CONTACT_S, "once", "/once/1")
    heal(site, site.daemons[:1])
    served_shares(site, 2, "again", "/once/1")
    names = [request[0] for replica in site.plain for request in replica.requests]
    check(len(names) == len(set(names)), "a request ran twice")


def step_of_a_cut_off_host_goes_on(site):
    """Guards against samples that wait until the host that runs their step reaches the replicas again."""
    for number, daemon in enumerate(site.daemons):
        site.submit(daemon, "step-%d" % number)
    until(lambda: sum(len(e.requests) for e in site.engines) >= 6, "items run")
    owner = next(d for d in site.daemons if d.last_event("step_submitted", ""))
    cut_off(site, [owner])
    started = time.monotonic()
    for number in range(len(site.daemons)):
        results = site.read_all(owner, 6, "step-%d" % number)
        check({r["state"] for r in results} == {"completed"}, "the samples are completed: %s" % results)
    check(time.monotonic() - started < 2 * CONTACT_S, "took %.1f s" % (time.monotonic() - started))


def address_answers_leave_out_cut_off_hosts(site):
    """Guards against callers that are sent to hosts which reach no replica."""
    first, *others = site.daemons
    cut_off(site, [first])
    served_shares(site, CONTACT_S, "cut")
    for daemon in site.daemons:
        check(len(site.addresses(daemon)) == len(others), "%s names %s" % (daemon.name, site.addresses(daemon)))
    heal(site, [first])
    until(lambda: all(len(site.addresses(d)) == len(site.daemons) for d in site.daemons), "all are named again", timeout=CONTACT_S)


def hosts_that_are_all_cut_off_refuse_and_come_back(site):
    """Guards against lookups that wait for their deadline, or a service that stays away, when no host reaches a replica."""
    cut_off(site, site.daemons)
    served_shares(site, CONTACT_S, "cut")
    started = time.monotonic()
    status, _, headers = site.lookup(site.daemons[0], "refused")
    check(status == 503 and "Retry-After" in headers, "status %s" % status)
    check(time.monotonic() - started < 1.5, "refused after %.1f s" % (time.monotonic() - started))
    check(len(site.addresses(site.daemons[0])) == len(site.daemons), "all hosts are named if all are cut off")
    heal(site, site.daemons)
    until(lambda: all(site.lookup(d, "back")[0] == 200 for d in site.daemons), "all hosts serve", timeout=CONTACT_S)


def replica_that_is_gone_is_not_blamed_on_the_host(site):
    """Guards against hosts that take a dead replica, or the end of a whole service, for a cut of their own."""
    site.plain[0].crash()
    shares = served_shares(site, CONTACT_S, "crash")
    check(min(shares.values()) > 0.95, "served: %s" % shares)
    check(all(len(site.addresses(d)) == len(site.daemons) for d in site.daemons), "a host was taken for cut off")


def large_request_of_a_cut_off_host_is_served(site):
    """Guards against requests that callers may send but hosts may not pass on, and that others pay for."""
    site.store.put("op/config", config(3, limits={"maxHeaderBytes": 4096, "maxBodyBytes": 16000000}))
    first = site.daemons[0]
    until(lambda: first.last_event("config", "version=3"), "the limit is in force")
    cut_off(site, [first])
    served_shares(site, 1, "cut")
    body = b"x" * 9000000
    status = first.call("POST", "/open/1", body, {"Attempt-Id": "large", "Timeout-Ms": "3500"})[0]
    check(status == 200, "status %d" % status)
    check(site.lookup(first, "small")[0] == 200, "the next request is served")


def caller_of_a_cut_off_host_that_leaves_frees_its_replica(site):
    """Guards against a replica that goes on with a relayed request whose caller has left."""
    cut_off(site, site.daemons[:1])
    served_shares(site, CONTACT_S, "cut")
    for replica in site.plain:
        replica.pause = 3
    try:
        site.daemons[0].call("POST", "/open/1", b"question", {"Attempt-Id": "leaves", "Timeout-Ms": "5000"}, timeout=0.5)
        check(False, "the request was answered")
    except OSError:
        pass
    until(lambda: any(r.caller_left("leaves") for r in site.plain), "the replica is told", timeout=0.7)


def hosts_that_stop_go_on_sending_for_cut_off_ones(site):
    """Guards against a planned stop of the hosts that reach replicas, during which cut-off ones serve nobody."""
    first, *others = site.daemons
    cut_off(site, [first])
    until(lambda: site.lookup(first, "cut")[0] == 200, "served through others")
    for daemon in others:
        daemon.process.send_signal(signal.SIGTERM)
    time.sleep(0.2)
    for number in range(10):
        status = first.call("POST", "/open/1", b"question", {"Attempt-Id": "stop-%d" % number, "Timeout-Ms": "300"})[0]
        check(status == 200, "lookup %d: %d" % (number, status))


def requests_are_refused_at_once_when_nobody_can_send_them(site):
    """Guards against lookups that a cut-off host holds until their deadline although no other host is there."""
    first, second = site.daemons
    cut_off(site, [first])
    served_shares(site, 1, "cut")
    second.stop()
    until(lambda: len(site.addresses(first)) == 1, "the other host is gone")
    for number in range(5):
        started = time.monotonic()
        status = site.lookup(first, "alone-%d" % number)[0]
        took = time.monotonic() - started
        check(status == 503 and took < 0.3, "lookup %d: %d after %.2f s" % (number, status, took))


TESTS = [
    (hosts_that_stop_go_on_sending_for_cut_off_ones, {"daemons": 3}),
    (requests_are_refused_at_once_when_nobody_can_send_them, {"daemons": 2}),
    (callers_of_a_silently_cut_off_host_are_served, {"daemons": 4}),
    (leader_whose_orders_reach_nobody_hands_over, {"daemons": 2}),
    (idle_host_notices_its_cut_without_requests, {"daemons": 3}),
    (first_request_of_an_idle_cut_off_host_is_served, {"daemons": 3}),
    (requests_of_a_cut_off_host_run_once, {"daemons": 3}),
    (step_of_a_cut_off_host_goes_on, {"daemons": 3, "events": 12, "pause": 0.2}),
    (address_answers_leave_out_cut_off_hosts, {"daemons": 3}),
    (hosts_that_are_all_cut_off_refuse_and_come_back, {"daemons": 2}),
    (replica_that_is_gone_is_not_blamed_on_the_host, {"daemons": 2}),
    (large_request_of_a_cut_off_host_is_served, {"daemons": 2}),
    (caller_of_a_cut_off_host_that_leaves_frees_its_replica, {"daemons": 2}),
]


if __name__ == "__main__":
    sys.exit(run_tests("cut_off_hosts", TESTS))
