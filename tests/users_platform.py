"""Runs daemons against test doubles of the users' platform, also under faults.

Prints "ok NAME" or "FAIL NAME reason" for each test.
"""

import collections
import pathlib
import signal
import socket
import sys
import threading
import time

from harness.site import check, config, run_tests, until


def lookup_reaches_a_named_replica(site):
    """Guards against lost signatures, and against keys or forged accounts that reach a replica."""
    status, body, headers = site.lookup(site.daemons[0], "id-1", Authorization="Bearer secret", Tenant="forged")
    check(status == 200 and body == b"answer to question", "answer %s %r" % (status, body))
    check(headers["Response-Signature"] == "signed-id-1", "the response signature is passed on")
    requests = [s for r in site.plain for s in r.requests if s[0] == "id-1"]
    check(len(requests) == 1, "one replica ran it")
    names = {name.lower() for name in requests[0][2]}
    check("authorization" not in names and "tenant" not in names, "the key and a forged account are not passed on")
    check(int(requests[0][2]["Timeout-Ms"]) <= 3000, "the remaining time is passed on")


def unknown_routes_and_keys_are_refused(site):
    """Guards against requests that pass without a route or a valid key."""
    daemon = site.daemons[0]
    check(site.lookup(daemon, "a", "/none/1")[0] == 404, "no route")
    check(site.lookup(daemon, "b", "/keyed/1")[0] == 401, "no key")
    check(site.lookup(daemon, "c", "/keyed/1", Authorization="Bearer wrong")[0] == 401, "wrong key")
    check(site.lookup(daemon, "d", "/keyed/1", Authorization="Bearer key-a")[0] == 200, "right key")
    requests = [s for r in site.plain for s in r.requests if s[0] == "d"]
    check(requests[0][2]["Tenant"] == "acct", "the account's name is set")


def withdrawn_key_stops_at_once_and_without_the_store_in_time(site):
    """Guards against keys that are accepted from a stale configuration copy while the store is unreachable."""
    daemon = site.daemons[0]
    site.store.put("op/config", config(3, ("key-b",)))
    until(lambda: site.lookup(daemon, "a", "/keyed/1", Authorization="Bearer key-a")[0] == 401, "the key is refused", timeout=3)
    check(site.lookup(daemon, "b", "/keyed/1", Authorization="Bearer key-b")[0] == 200, "the new key works")
    site.store.refuse = True
    time.sleep(5)
    check(site.lookup(daemon, "c", "/keyed/1", Authorization="Bearer key-b")[0] == 503, "keyed routes need a fresh configuration")
    check(site.lookup(daemon, "d")[0] == 200, "anonymous routes are still served")


def max_concurrent_watches(site, prefix):
    """Returns the largest number of watches of a prefix that waited at the store at once, in 20 samples."""
    maximum = 0
    for _ in range(20):
        time.sleep(0.02)
        maximum = max(maximum, site.store.waiting_watches[prefix])
    return maximum


def one_daemon_of_a_fleet_watches_the_store(site):
    """Guards against more than one watch of a prefix, and against daemons that miss its changes."""
    until(lambda: all(max_concurrent_watches(site, p) <= 1 for p in ("op/", "servers/", "agatetide/live/")), "one watch a prefix")
    site.store.put("op/config", config(3, ("key-b",)))
    site.plain[0].drain()
    time.sleep(0.5)
    before = len(site.plain[0].requests)
    for daemon in site.daemons:
        check(site.lookup(daemon, "a", "/keyed/1", Authorization="Bearer key-a")[0] == 401, "the key is withdrawn")
        check(site.lookup(daemon, "b", "/keyed/1", Authorization="Bearer key-b")[0] == 200, "the new key works")
    check(len(site.plain[0].requests) == before, "the leaving replica was used")


def zone_goes_on_when_its_watching_daemon_hangs(site):
    """Guards against a zone that gets no changes while the daemon that watches the store is stopped."""
    until(lambda: max_concurrent_watches(site, "op/") == 1, "one watch")
    stopped = next(d for d in site.daemons if d.last_event("watch_source", "prefix=op/").find("source=store") >= 0)
    others = [d for d in site.daemons if d is not stopped]
    stopped.process.send_signal(signal.SIGSTOP)
    withdrawn = time.monotonic()
    site.store.put("op/config", config(3, ("key-b",)))
    for daemon in others:
        until(lambda d=daemon: site.lookup(d, "a", "/keyed/1", Authorization="Bearer key-a")[0] == 401, "withdrawn", timeout=5)
    check(time.monotonic() - withdrawn < 5, "the key worked for too long")
    while time.monotonic() - withdrawn < 7:
        for daemon in others:
            check(site.lookup(daemon, "b", "/keyed/1", Authorization="Bearer key-b")[0] == 200, "the new key works all the time")
        time.sleep(0.1)
    stopped.process.send_signal(signal.SIGCONT)
    check(site.lookup(stopped, "c", "/keyed/1", Authorization="Bearer key-a")[0] in (401, 503), "resumed with an old copy")


def host_that_the_store_refuses_works_through_another(site):
    """Guards against a host that stops serving because the store refuses it alone."""
    first, second = site.daemons
    first.store_endpoint.refuse = True
    check(site.submit(first) == 202, "accepted")
    end = time.monotonic() + 6
    while time.monotonic() < end:
        check(site.lookup(first, "k", "/keyed/1", Authorization="Bearer key-a")[0] == 200, "the key is accepted")
        addresses = site.addresses(second)
        check(len(addresses) == 2, "the host stays in address answers: %s, %s" % (addresses, site.store.keys("agatetide/live/")))
        time.sleep(0.2)
    site.read_all(first, 6)
    check(not second.last_event("step_taken_over", ""), "the step was not taken over")
    check(second.last_event("step_submitted", "") == "", "the step was submitted to the first host only")


def host_that_hears_nothing_of_the_store_keeps_its_step(site):
    """Guards against a takeover or a stall of a step whose host gets no answers of the store
    but is still reachable."""
    first, second = site.daemons
    site.submit(first)
    until(lambda: sum(len(e.requests) for e in site.engines) >= 6, "all items run")
    first.store_endpoint.silent = True
    site.read_all(second, 6)
    first.store_endpoint.silent = False
    check(not second.last_event("step_taken_over", "step-1"), "the step was taken over")
    starts = collections.Counter(request[0] for engine in site.engines for request in engine.requests)
    check(all(count == 1 for count in starts.values()), "an item ran twice: %s" % starts)


def running_items_of_a_silent_replica_go_on(site):
    """Guards against restarting the items of a replica whose registration expired but which still runs."""
    first = site.daemons[0]
    site.submit(first)
    until(lambda: sum(len(e.requests) for e in site.engines) >= 6, "all items run")
    site.store.remove("servers/engine-0")
    until(lambda: first.last_event("replica_gone", "engine-0"), "the replica is gone")
    site.read_all(first, 6)
    starts = collections.Counter(request[0] for engine in site.engines for request in engine.requests)
    check(all(count == 1 for count in starts.values()), "an item ran twice: %s" % starts)


def step_is_accepted_once_and_read_at_any_daemon(site):
    """Guards against items that run twice, and against results that differ between daemons."""
    first, second = site.daemons
    check(site.submit(first) == 202 and site.submit(second) == 202, "accepted twice")
    results = site.read_all(second, 6)
    check(len({r["id"] for r in results}) == 6, "each item once")
    for result in results:
        text = "\n".join("%s-%d" % (result["id"], n) for n in range(1, 5))
        check(result["text"] == text and result["versions"] == [1], "the text is complete")
        check(result["score"] == "signed-" + result["id"].replace("item", "score"), "the score")
    check([r["id"] for r in site.read_all(first, 6)] == [r["id"] for r in results], "the same order at both daemons")
    attempt_ids = [s[0] for r in site.engines for s in r.requests]
    check(len(attempt_ids) == len(set(attempt_ids)), "no item ran twice")
    body = first.call("GET", "/items/step-1?id=step-1-item-0", headers={"Authorization": "Bearer key-a"})
    check(body[:2] == (200, b"prompt"), "body of an item")


def step_of_a_killed_daemon_is_taken_over(site):
    """Guards against lost or restarted samples when the daemon of a step is killed."""
    first, second = site.daemons
    check(site.submit(first) == 202, "accepted")
    time.sleep(1.6)
    first.stop()
    results = site.read_all(second, 6)
    check(all(r["text"].count("\n") == site.engines[0].events - 1 for r in results), "the texts are complete")
    resumed_requests = [s for r in site.engines for s in r.requests if int(s[2].get("Last-Event-Id") or 0) > 0]
    check(resumed_requests, "samples were resumed from the store")


def sample_is_dead_only_when_its_scoring_call_was_failed(site):
    """Guards against losing samples to transient scoring errors: only three answers of status 500,
    the route's maxAttempts, end a sample."""
    daemon, (replica,) = site.daemons[0], site.plain
    replica.statuses = [504] * 4
    site.submit(daemon, "late", items=1)
    check(site.read_all(daemon, 1, "late")[0]["state"] == "completed", "timeouts of the scoring service ended a sample")
    replica.statuses = [500] * 3
    site.submit(daemon, "failed", items=1)
    check(site.read_all(daemon, 1, "failed")[0]["state"] == "dead", "a sample that cannot be scored is retried forever")


def stream_without_end_costs_no_memory(site):
    """Guards against unbounded memory when one engine streams without end: the step completes on the
    other engine and the peak memory stays below 100 MB."""
    first = site.daemons[0]
    site.engines[0].endless_stream = True
    site.submit(first)
    until(lambda: first.last_event("sample_restarted", "without end"), "a text without end is abandoned")
    site.engines[0].endless_stream = False
    results = site.read_all(first, 6)
    check(all("x" not in result["text"] for result in results), "a text contains the endless stream")
    status = pathlib.Path("/proc/%d/status" % first.process.pid).read_text()
    peak_kb = int(next(line for line in status.splitlines() if line.startswith("VmHWM")).split()[1])
    check(peak_kb < 100000, "peak memory %d kB" % peak_kb)


def ended_step_starts_nothing_more(site):
    """Guards against new work for a step that was ended at another daemon."""
    first, second = site.daemons
    site.submit(first, items=40)
    time.sleep(0.3)
    ended = second.call("DELETE", "/lots/step-1", headers={"Authorization": "Bearer key-a"})[0]
    check(ended == 200, "ended")
    time.sleep(2)
    before = sum(len(r.requests) for r in site.engines)
    time.sleep(1)
    check(sum(len(r.requests) for r in site.engines) == before, "items started after the end")


def leaving_replica_gets_nothing_new(site):
    """Guards against new work at a draining replica."""
    site.plain[0].drain()
    time.sleep(0.5)
    before = len(site.plain[0].requests)
    for i in range(20):
        check(site.lookup(site.daemons[0], "n%d" % i)[0] == 200, "served")
    check(len(site.plain[0].requests) == before, "the leaving replica was used")


def named_version_reaches_the_replicas_once(site):
    """Guards against missing, repeated or unguarded orders to load a weight version."""
    until(lambda: site.store.keys("agatetide/live/leader"), "a leader")
    time.sleep(1.2)
    site.store.put("op/version/m", {"model": "m", "version": 2})
    until(lambda: all(r.versions["m"] == 2 for r in site.engines), "all replicas have the version")
    time.sleep(0.5)
    for replica in site.engines:
        check(len(replica.orders) == 1, "one order")
        check(replica.orders[0]["expected"] == 0, "the order names the expected order count")
    check(len({o["fence"] for r in site.engines for o in r.orders}) == 1, "one fencing token")
    check(site.submit(site.daemons[0], minVersion=2) == 202, "accepted")
    check(all(r["versions"] == [2] for r in site.read_all(site.daemons[0], 6)), "the results name the version")


def usage_windows_are_sealed_and_reported_once(site):
    """Guards against usage that is lost or reported twice."""
    for i in range(10):
        site.lookup(site.daemons[i % 2], "u%d" % i, "/keyed/1", Authorization="Bearer key-a")

    def total():
        return sum(body["counts"].get("acct", 0) for body in by_window().values())

    def by_window():
        return {body["window"]: body for path, body, *_ in site.platform_api.reports if path == "/usage"}

    until(lambda: total() == 10, "all requests are reported", timeout=15)
    windows = [body["window"] for path, body, *_ in site.platform_api.reports]
    check(len(windows) == len(set(windows)), "a window was reported twice")
    check(len({fence for *_, fence in site.platform_api.reports}) == 1, "one fencing token")


def host_to_be_emptied_is_answered(site):
    """Guards against an operator's request to empty a host that is never answered."""
    site.store.put("op/retire/disk-1", {"durationS": 5})
    until(lambda: site.store.value("status/retire/disk-1") == {"state": "completed"}, "the host reports that it is emptied")


def malformed_input_is_refused_and_harmless(site):
    """Guards against malformed requests and store entries that stop the daemon."""
    daemon = site.daemons[0]
    key = {"Authorization": "Bearer key-a"}
    for body in (b"", b"{", b"[]", b'{"items":[]}', b'{"items":[{"id":"x"}]}',
                 b'{"items":[{"id":"a/b","path":"/p","body":""}]}',
                 b'{"items":[{"id":"x","path":"/p","body":"!"}]}',
                 b'{"items":[{"id":"x","path":"/p","body":""},{"id":"x","path":"/p","body":""}]}'):
        status = daemon.call("POST", "/step/x", body, {"Attempt-Id": "bad", **key})[0]
        check(status == 400, "%r gave %d" % (body, status))
    check(daemon.call("POST", "/step/x", b"{}", key)[0] == 400, "no id")
    check(daemon.call("GET", "/lots/..%2f?after=x", headers=key)[0] == 400, "bad id")
    check(daemon.call("GET", "/lots/none", headers=key)[0] == 404, "unknown step")
    check(daemon.call("POST", "/open/1", b"x" * 1100000, {"Attempt-Id": "big"})[0] in (413, 429), "large body")
    check(daemon.call("POST", "/open/1", b"", {"Attempt-Id": "h", "X": "y" * 5000})[0] in (400, 431, 429), "large header")
    with socket.create_connection((daemon.address, daemon.front_port)) as raw:
        raw.sendall(b"nonsense\r\n\r\n")
        check(b"400" in raw.recv(200), "bytes that are not HTTP get status 400")
    for key_name, value in (("servers/bad", "text"), ("servers/half", {"service": "plain"}),
                            ("servers/port", {"service": "plain", "address": "x", "slots": 1, "state": "ready"}),
                            ("op/config", {"version": "x"}), ("op/config", 7), ("op/version/m", {}), ("op/other", [])):
        site.store.put(key_name, value)
    time.sleep(0.5)
    check(site.lookup(daemon, "after")[0] == 200, "still serves")
    check(daemon.process.poll() is None, "still runs")


def press(site, seconds, path="/open/1", callers=4, **headers):
    """Sends lookups to all hosts from many callers; returns how often each status came."""
    end, outcomes = time.monotonic() + seconds, collections.Counter()

    def send_lookups(daemon, name):
        count = 0
        while time.monotonic() < end:
            count += 1
            outcomes[site.lookup(daemon, "%s-%d" % (name, count), path, **headers)[0]] += 1
            time.sleep(0.02)

    threads = [threading.Thread(target=send_lookups, args=(d, "press-%d-%d-%d" % (end * 1000, i, n)))
               for i, d in enumerate(site.daemons) for n in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return outcomes


def check_limit(replicas, limit, start):
    for replica in replicas:
        most = replica.max_requests_in(4, start)
        check(most <= 1.5 * limit * 4 + 5, "%s got %d requests in 4 s with a limit of %s a second" % (replica.name, most, limit))


def replica_in_need_gets_no_more_than_its_limit(site):
    """Guards against a limited replica that gets its whole limit, or more, from each host; and against
    a limit that outlasts the need."""
    limited, other = site.plain
    press(site, 1)
    limited.limit, start = 3.0, time.monotonic()
    outcomes = press(site, 10)
    check_limit([limited], 3.0, start + 4)
    check(limited.max_requests_in(4, start + 4) >= 6, "the limit was not used")
    check(set(outcomes) == {200}, "the other replica serves: %s" % outcomes)
    limited.limit = None
    press(site, 3)
    start = time.monotonic()
    press(site, 2)
    check(limited.max_requests_in(2, start) > 40, "the limit outlasts the need")


def requests_beyond_all_limits_are_refused_with_a_time(site):
    """Guards against limits that are exceeded when all replicas name one, and against requests that
    wait for their deadline."""
    for replica in site.plain:
        replica.limit = 4.0
    start = time.monotonic()
    outcomes = press(site, 10)
    check_limit(site.plain, 4.0, start + 4)
    check(set(outcomes) == {200, 503} and outcomes[200] > 40, "served and refused: %s" % outcomes)
    answers = [site.lookup(d, "late-%d" % i) for d in site.daemons for i in range(8)]
    times = [float(headers["Retry-After"]) for status, _, headers in answers if status == 503]
    check(all(0.2 <= t < 5 for t in times), "times to come back %s" % times)


def items_keep_the_limit_of_a_replica(site):
    """Guards against steps that send a limited replica more than it accepts."""
    for replica in site.engines:
        replica.limit = 3.0
    start = time.monotonic()
    for daemon in site.daemons:
        site.submit(daemon, "first-" + daemon.name, items=4)
    time.sleep(4)
    for daemon in site.daemons:
        check(site.submit(daemon, "step-" + daemon.name, items=30) == 202, "accepted")
    for daemon in site.daemons:
        site.read_all(daemon, 30, "step-" + daemon.name, timeout=20)
    check_limit(site.engines, 3.0, start + 4)


def item_under_which_replicas_crashed_is_placed_again(site):
    """Guards against a sound item that is given up or forgotten after all replicas broke off under it,
    before its first event and within its text."""
    for replica in site.engines:
        replica.breaks_after = 0
    check(site.submit(site.daemons[0], items=2) == 202, "accepted")
    until(lambda: sum(len(r.requests) for r in site.engines) >= 12, "the items came again")
    for replica in site.engines:
        replica.breaks_after = 2
    time.sleep(2)
    for replica in site.engines:
        replica.breaks_after = None
    calm = time.monotonic()
    results = site.read_all(site.daemons[0], 2, timeout=5)
    check([r["state"] for r in results] == ["completed"] * 2, "the items are completed: %s" % results)
    check(time.monotonic() - calm < 4, "the items waited for too long")


def loads_reach_other_hosts(site):
    """Guards against load reports that only the host knows which sent the request, and against a header that breaks messages."""
    for replica in site.plain:
        replica.load = "3,1,8,150"

    def accepted():
        check(site.lookup(site.daemons[0], "load")[0] == 200, "lookups are served")
        time.sleep(0.05)
        return any(" accepted=0 " not in line for line in site.daemons[1].lines("loads_shared"))

    until(accepted, "the other host has accepted reports", timeout=25)
    check(not site.daemons[0].lines("loads_ignored") + site.daemons[1].lines("loads_ignored"), "all reports are read")
    check(site.lookup(site.daemons[1], "other")[0] == 200, "the other host serves lookups")


TESTS = [
    (loads_reach_other_hosts, {"daemons": 2}),
    (item_under_which_replicas_crashed_is_placed_again, {}),
    (replica_in_need_gets_no_more_than_its_limit, {"daemons": 3}),
    (requests_beyond_all_limits_are_refused_with_a_time, {"daemons": 2}),
    (items_keep_the_limit_of_a_replica, {"daemons": 2}),
    (lookup_reaches_a_named_replica, {}),
    (unknown_routes_and_keys_are_refused, {}),
    (withdrawn_key_stops_at_once_and_without_the_store_in_time, {}),
    (one_daemon_of_a_fleet_watches_the_store, {"daemons": 3}),
    (zone_goes_on_when_its_watching_daemon_hangs, {"daemons": 3}),
    (host_that_the_store_refuses_works_through_another, {"daemons": 2, "events": 10, "pause": 0.1}),
    (host_that_hears_nothing_of_the_store_keeps_its_step, {"daemons": 2, "events": 12, "pause": 0.5}),
    (running_items_of_a_silent_replica_go_on, {"events": 6, "pause": 0.3}),
    (step_is_accepted_once_and_read_at_any_daemon, {"daemons": 2}),
    (step_of_a_killed_daemon_is_taken_over, {"daemons": 2, "events": 12, "pause": 0.25}),
    (sample_is_dead_only_when_its_scoring_call_was_failed, {"plain": 1}),
    (stream_without_end_costs_no_memory, {}),
    (ended_step_starts_nothing_more, {"daemons": 2, "events": 8, "pause": 0.1}),
    (leaving_replica_gets_nothing_new, {}),
    (named_version_reaches_the_replicas_once, {"daemons": 2}),
    (usage_windows_are_sealed_and_reported_once, {"daemons": 2}),
    (host_to_be_emptied_is_answered, {}),
    (malformed_input_is_refused_and_harmless, {}),
]


if __name__ == "__main__":
    sys.exit(run_tests("users_platform", TESTS))
