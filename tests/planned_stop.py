"""Stops daemons as planned work does, while callers go on.

Prints "ok NAME" or "FAIL NAME reason" for each test.
"""

import collections
import http.client
import signal
import sys
import threading
import time

from harness.site import HOST, check, run_tests, until

# Requests that are still unanswered this long after SIGTERM are ended.
LAST_ANSWER_S = 1.55


def draining_host_finishes_and_leaves(site):
    """Guards against a draining host that still takes steps, or exits before its requests are done."""
    first, second = site.daemons
    site.submit(first)
    first.process.send_signal(signal.SIGTERM)
    until(lambda: len(site.addresses(second)) == 1, "the host left the answers", timeout=3)
    check(not first.is_ready(), "not ready")
    check(site.submit(first, "step-2") == 503, "no new step")
    check(site.lookup(first, "late")[0] == 200, "still serves lookups")
    check(first.process.wait(10) == 0, "exit code")
    check(len(site.read_all(second, 6)) == 6, "the step is complete")


def stopping_host_answers_all_it_has_accepted(site):
    """Guards against dropped requests at shutdown: sends on new and on kept connections until one is refused."""
    first, errors, outcomes = site.daemons[0], [], collections.Counter()

    def call(connection, request_id):
        connection.request("POST", "/open/1", b"question", {"Host": HOST, "Attempt-Id": request_id, "Timeout-Ms": "3000"})
        answer = connection.getresponse()
        answer.read()
        outcomes[answer.status] += 1
        return answer.status == 200 and answer.getheader("Connection", "") != "close", answer.status

    def send_repeatedly(number, reuse):
        connection, reusable, status, count = None, False, 200, 0
        while status == 200 and first.process.poll() is None:
            count += 1
            try:
                if not reusable:
                    connection = http.client.HTTPConnection(first.address, first.front_port, timeout=8)
                    connection.connect()
                reusable, status = call(connection, "press-%d-%d" % (number, count))
                reusable = reusable and reuse
            except (OSError, http.client.HTTPException) as error:
                errors.append(repr(error))
                return

    threads = [threading.Thread(target=send_repeatedly, args=(i, i % 2 == 0)) for i in range(6)]
    for thread in threads:
        thread.start()
    time.sleep(0.3)
    first.process.send_signal(signal.SIGTERM)
    for thread in threads:
        thread.join()
    check(first.process.wait(5) == 0, "exit code")
    check(not errors, "failed requests: %s" % errors)
    check(outcomes[200] > 12, "served %s" % outcomes)


def stopping_host_answers_requests_that_outlast_it(site):
    """Guards against dropped requests that a slow replica would answer only after the host has exited."""
    first, outcomes = site.daemons[0], []

    def send_lookup(number):
        try:
            outcomes.append(site.lookup(first, "slow-%d" % number)[0])
        except (OSError, http.client.HTTPException) as error:
            outcomes.append(repr(error))

    for replica in site.plain:
        replica.pause = 1.5
    first.process.send_signal(signal.SIGTERM)
    time.sleep(0.8)
    threads = [threading.Thread(target=send_lookup, args=(i,)) for i in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    check(first.process.wait(5) == 0, "exit code")
    check(outcomes == [504] * 4, "outcomes %s" % outcomes)


def host_stops_in_time_without_the_store(site):
    """Guards against a shutdown that waits for the store."""
    first = site.daemons[0]
    site.submit(first)
    site.store.silent = True
    first.process.send_signal(signal.SIGTERM)
    check(first.process.wait(2) == 0, "exit code")


def send_late_requests(site, path, timeout_s):
    """Stops the first host and sends it requests until it is gone; returns them as (name, sent after, status, took)."""
    first, sent, threads = site.daemons[0], [], []
    first.process.send_signal(signal.SIGTERM)
    stopped_at = time.monotonic()

    def send(name):
        after = time.monotonic() - stopped_at
        try:
            status, _, headers = first.call("POST", path, b"question", {
                "Attempt-Id": name, "Timeout-Ms": str(int(timeout_s * 1000))})
        except (OSError, http.client.HTTPException) as error:
            status, headers = repr(error), {}
        sent.append((name, after, status, time.monotonic() - stopped_at - after))
        check("Retry-After" not in headers, "other hosts serve at once")

    while time.monotonic() - stopped_at < 1.0:
        threads.append(threading.Thread(target=send, args=("late-%d" % len(threads),)))
        threads[-1].start()
        time.sleep(0.05)
    for thread in threads:
        thread.join()
    check(first.process.wait(5) == 0, "exit code")
    return sent


def check_late_requests(site, sent, fits_until_s, margin_s=0.1):
    """Checks that requests were served if they fit, and were otherwise refused at once and not run."""
    ran = {request[0] for replica in site.plain for request in replica.requests}
    cut = [(name, status) for name, _, status, _ in sent if status not in (200, 503)]
    check(not cut, "%d of %d requests were cut: %s" % (len(cut), len(sent), cut[:3]))
    for name, after, status, took in sent:
        description = "%s, sent %.2f s after SIGTERM: %s after %.2f s" % (name, after, status, took)
        if abs(after - fits_until_s) > margin_s:
            check((status == 200) == (after < fits_until_s), description)
        if status == 503:
            check(name not in ran and took < 0.2, "refused at once, not run: " + description)
    check({status for _, _, status, _ in sent} == {200, 503}, "both kinds of requests")


def late_requests_that_may_not_be_repeated_are_not_cut(site):
    """Guards against requests that come late in the grace period, run, and are cut at its end."""
    for replica in site.plain:
        replica.pause = 1.0
    check_late_requests(site, send_late_requests(site, "/once/1", 1.2), LAST_ANSWER_S - 1.2)


def late_requests_are_not_held_until_the_host_is_gone(site):
    """Guards against requests that a host takes and then ends, though another one would have served them."""
    for replica in site.plain:
        replica.pause = 0.75
    for i in range(80):
        threading.Thread(target=site.lookup, args=(site.daemons[0], "usual-%d" % i)).start()
    until(lambda: sum(len(r.requests) for r in site.plain) >= 80, "the usual latency is known")
    time.sleep(1)
    check_late_requests(site, send_late_requests(site, "/open/1", 3), 0.6, margin_s=0.3)


TESTS = [
    (late_requests_that_may_not_be_repeated_are_not_cut, {}),
    (late_requests_are_not_held_until_the_host_is_gone, {}),
    (host_stops_in_time_without_the_store, {"events": 20, "pause": 0.2}),
    (stopping_host_answers_all_it_has_accepted, {"pause": 0.35}),
    (stopping_host_answers_requests_that_outlast_it, {}),
    (draining_host_finishes_and_leaves, {"daemons": 2, "events": 6, "pause": 0.1}),
]


if __name__ == "__main__":
    sys.exit(run_tests("planned_stop", TESTS))
