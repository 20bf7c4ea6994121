"""Runs daemons while callers repeat requests under which the replicas that run them end.

Prints "ok NAME" or "FAIL NAME reason" for each test.
"""

import collections
import http.client
import itertools
import signal
import sys
import threading
import time

from harness.site import check, config, run_tests, until
from harness.users_platform import RESTART_S

CONTACT_S = 4
# A request crashes this many replicas before it must be refused.
CRASHES = 3
# Times that it may run later than CONTACT_S after its last allowed crash.
LATE_RUNS = 3
REPEAT_S = 0.6
SOUND_REQUESTS_PER_S = 20
KEY_A = {"Authorization": "Bearer key-a"}
KEY_B = {"Authorization": "Bearer key-b"}


def send(daemon, name, path, body, timeout_ms=3000, **headers):
    """Returns the status and headers of the answer; status 0 if there is none."""
    try:
        status, _, answered = daemon.call("POST", path, body, {
            "Attempt-Id": name, "Timeout-Ms": str(timeout_ms), **headers}, timeout=timeout_ms / 1000 + 2)
        return status, answered
    except (OSError, http.client.HTTPException):
        return 0, {}


def replicas(site):
    return [*site.plain, *site.engines]


def crash_under(site, *bodies):
    for replica in replicas(site):
        replica.crashing_bodies |= set(bodies)


def runs(site, body):
    """Returns when replicas began to run this body, in order."""
    return sorted(t for r in replicas(site) for t, (_, _, _, b) in zip(r.arrivals, r.requests) if b == body)


def crashes(site):
    return sorted(t for r in replicas(site) for t, _ in r.crashes)


def late_runs(site, body):
    """Returns the number of runs later than CONTACT_S after the third crash, and of all."""
    ended, all_runs = crashes(site), runs(site, body)
    if len(ended) < CRASHES:
        return 0, len(all_runs)
    return sum(t > ended[CRASHES - 1] + CONTACT_S for t in all_runs), len(all_runs)


class Repeated:
    """Repeats a request through all daemons in turn; keeps its answers as (time, status, seconds, headers)."""

    def __init__(self, site, body, path="/open/1", **headers):
        self.site, self.body, self.path, self.headers = site, body, path, headers
        self.answers = []
        self.numbers = itertools.count()

    def send(self, daemon):
        started = time.monotonic()
        name = "%s-%d" % (self.body.decode(), next(self.numbers))
        status, headers = send(daemon, name, self.path, self.body, **self.headers)
        self.answers.append((started, status, time.monotonic() - started, headers))
        return status

    def run(self, seconds):
        end = time.monotonic() + seconds
        for daemon in itertools.cycle(self.site.daemons):
            if time.monotonic() >= end:
                return
            self.send(daemon)
            time.sleep(REPEAT_S)

    def statuses(self):
        return collections.Counter(status for _, status, *_ in self.answers)


class SoundCallers:
    """Sends sound requests, each with a body of its own, through all daemons."""

    def __init__(self, site, path="/open/1"):
        self.site, self.path, self.statuses, self.running = site, path, collections.Counter(), True
        self.threads = [threading.Thread(target=self.run, args=(n,)) for n in range(4)]
        for thread in self.threads:
            thread.start()

    def run(self, number):
        for count in itertools.count():
            if not self.running:
                return
            name = "sound-%d-%d" % (number, count)
            daemon = self.site.daemons[(number + count) % len(self.site.daemons)]
            self.statuses[send(daemon, name, self.path, name.encode(), 1000)[0]] += 1
            time.sleep(len(self.threads) / SOUND_REQUESTS_PER_S)

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join()
        return self.statuses


def check_refused_in_time(site, repeated):
    late, total = late_runs(site, repeated.body)
    check(len(crashes(site)) >= CRASHES, "replicas ended %d times" % len(crashes(site)))
    check(late <= LATE_RUNS, "%d of %d runs came later than %d s after the third crash: %s" %
          (late, total, CONTACT_S, dict(repeated.statuses())))


def check_refusals(site, repeated):
    """Once the request is refused, it is refused at once, and with a time to come back."""
    allowed = crashes(site)[CRASHES - 1] + CONTACT_S
    refusals = [(status, took, headers) for at, status, took, headers in repeated.answers if at > allowed and status == 503]
    check(refusals, "no refusal: %s" % dict(repeated.statuses()))
    for status, took, headers in refusals:
        check(took < 0.5 and float(headers.get("Retry-After", 0)) > 0, "%d after %.2f s, %s" % (status, took, headers))


def idempotent_request_that_crashes_replicas_is_refused(site):
    """Guards against a caller that ends replica after replica by repeating one request through all hosts,
    each attempt of which is sent to several replicas."""
    crash_under(site, b"crash")
    repeated, sound = Repeated(site, b"crash"), SoundCallers(site)
    repeated.run(16)
    statuses = sound.stop()
    check_refused_in_time(site, repeated)
    check_refusals(site, repeated)
    served = statuses[200] / sum(statuses.values())
    check(served > 0.95, "sound requests: %s" % dict(statuses))


def request_with_a_key_that_crashes_replicas_is_refused(site):
    """Guards against a request of one client account that ends replicas, and against refusing the same request
    of another account, or another one of the same account."""
    site.store.put("op/config", config(3, tenants=[{"name": "first", "apiKeys": ["key-a"]},
                                                   {"name": "second", "apiKeys": ["key-b"]}]))
    until(lambda: all(d.last_event("config", "version=3") for d in site.daemons), "the accounts are known")
    crash_under(site, b"crash")
    repeated = Repeated(site, b"crash", "/keyed/1", **KEY_A)
    repeated.run(12)
    check_refused_in_time(site, repeated)
    for replica in replicas(site):
        replica.crashing_bodies.clear()
    until(lambda: not any(r.ending.locked() for r in site.plain), "all replicas are back")
    for daemon in site.daemons:
        check(repeated.send(daemon) == 503, "refused by all: %s" % dict(repeated.statuses()))
        check(send(daemon, "other-account", "/keyed/1", b"crash", **KEY_B)[0] == 200, "another account")
        check(send(daemon, "other-body", "/keyed/1", b"sound", **KEY_A)[0] == 200, "another body")
        check(send(daemon, "other-path", "/keyed/2", b"crash", **KEY_A)[0] == 200, "another path")


def hosts_that_see_one_crash_each_refuse_the_request(site):
    """Guards against a request whose crashes no host counts, since it runs once through each of several hosts;
    the promise that a refused request has not run must be true."""
    crash_under(site, b"crash")
    repeated = Repeated(site, b"crash", "/once/1")
    repeated.run(12)
    check_refused_in_time(site, repeated)
    check_refusals(site, repeated)
    check(repeated.statuses()[503] + len(runs(site, b"crash")) <= len(repeated.answers), "a refused request has run")


def stream_that_crashes_replicas_is_refused(site):
    """Guards against a stream that ends each replica, also when its caller resumes it at other hosts."""
    crash_under(site, b"crash")
    repeated = Repeated(site, b"crash", "/stream/1", Model="m")
    repeated.run(12)
    check_refused_in_time(site, repeated)


def killed_hosts_go_on_refusing(site):
    """Guards against a verdict that ends with the processes that found it."""
    crash_under(site, b"crash")
    repeated = Repeated(site, b"crash")
    repeated.run(4)
    check(len(crashes(site)) >= CRASHES, "replicas ended %d times" % len(crashes(site)))
    for daemon in site.daemons:
        daemon.stop()
    for daemon in site.daemons:
        daemon.start()
    time.sleep(CONTACT_S)
    repeated.run(6)
    check_refused_in_time(site, repeated)


def frozen_host_refuses_after_it_goes_on(site):
    """Guards against a host that stood still while the others learned that a request crashes replicas."""
    crash_under(site, b"crash")
    frozen, *others = site.daemons
    frozen.process.send_signal(signal.SIGSTOP)
    repeated = Repeated(site, b"crash")
    for daemon in itertools.islice(itertools.cycle(others), 4):
        repeated.send(daemon)
        time.sleep(REPEAT_S)
    frozen.process.send_signal(signal.SIGCONT)
    time.sleep(CONTACT_S)
    before = len(runs(site, b"crash"))
    for _ in range(6):
        repeated.send(frozen)
    check(len(runs(site, b"crash")) - before <= 1, "%d runs through the frozen host" % (len(runs(site, b"crash")) - before))


def host_that_the_store_refuses_learns_of_crashes(site):
    """Guards against a host that does not hear of crashes because the store refuses it alone."""
    site.daemons[0].store_endpoint.refuse = True
    time.sleep(CONTACT_S)
    crash_under(site, b"crash")
    repeated = Repeated(site, b"crash", "/once/1")
    repeated.run(12)
    check_refused_in_time(site, repeated)


def crashes_of_a_cut_off_host_count(site):
    """Guards against crashes that nobody counts since the host reaches its replicas through another one."""
    for replica in replicas(site):
        replica.server.partition.cut(site.daemons[0].address)
    until(lambda: site.lookup(site.daemons[0], "cut")[0] == 200, "served through others")
    time.sleep(CONTACT_S)
    crash_under(site, b"crash")
    repeated = Repeated(site, b"crash")
    end = time.monotonic() + 16
    while time.monotonic() < end:
        repeated.send(site.daemons[0])
        time.sleep(REPEAT_S)
    check_refused_in_time(site, repeated)


def sound_request_under_which_replicas_ended_is_served(site):
    """Guards against refusing a sound request for good because replicas ended for another reason while they ran it."""
    for replica in site.plain:
        replica.pause = 0.3
    stop = threading.Event()

    def end_replicas():
        while not stop.is_set():
            for replica in site.plain:
                if b"sound" in [r[3] for r in replica.requests[-1:]]:
                    replica.end_process(0.2)
            time.sleep(0.05)

    ending = threading.Thread(target=end_replicas)
    ending.start()
    repeated = Repeated(site, b"sound", "/once/1")
    repeated.run(5)
    stop.set()
    ending.join()
    check(len(repeated.answers) > CRASHES and not repeated.statuses()[200], "%s" % dict(repeated.statuses()))
    calm = time.monotonic()
    until(lambda: repeated.send(site.daemons[0]) == 200, "served", timeout=16)
    until(lambda: all(repeated.send(d) == 200 for d in site.daemons), "served by all hosts", timeout=6)
    check(time.monotonic() - calm < 20, "served after %.1f s: %s" % (time.monotonic() - calm, dict(repeated.statuses())))


def sound_requests_beside_a_crash_are_not_refused(site):
    """Guards against taking the requests that ended with a replica for the cause of its end."""
    for replica in site.plain:
        replica.pause = 0.2
    results = collections.Counter()

    def call(number):
        results[send(site.daemons[number % len(site.daemons)], "beside-%d" % number, "/open/1", b"beside-%d" % number)[0]] += 1

    for round_number in range(3):
        threads = [threading.Thread(target=call, args=(round_number * 24 + n,)) for n in range(24)]
        for thread in threads:
            thread.start()
        time.sleep(0.1)
        site.plain[round_number].end_process()
        for thread in threads:
            thread.join()
        time.sleep(RESTART_S)
    check(results[200] == 72, "%s" % dict(results))


def broken_answers_are_no_crashes(site):
    """Guards against refusing a request whose answers were lost although the replicas did not end."""
    repeated = Repeated(site, b"sound", "/once/1")
    for replica in site.plain:
        replica.cut_response_at = 0
    for daemon in [*site.daemons] * 2:
        check(repeated.send(daemon) == 502, "the answer is lost: %s" % dict(repeated.statuses()))
    for replica in site.plain:
        replica.cut_response_at = None
    for daemon in site.daemons:
        check(repeated.send(daemon) == 200, "served: %s" % dict(repeated.statuses()))


def request_is_tried_again_when_its_software_version_has_left(site):
    """Guards against refusing a request that only an earlier software version could not bear."""
    crash_under(site, b"crash")
    repeated = Repeated(site, b"crash")
    repeated.run(5)
    check(len(crashes(site)) >= CRASHES, "replicas ended %d times" % len(crashes(site)))
    until(lambda: not any(r.ending.locked() for r in site.plain), "all replicas are back")
    time.sleep(CONTACT_S)
    check(repeated.send(site.daemons[0]) == 503, "refused: %s" % dict(repeated.statuses()))
    for replica in site.plain:
        replica.crashing_bodies.clear()
        replica.software = "v2"
        replica.register()
    time.sleep(1)
    until(lambda: repeated.send(site.daemons[0]) == 200, "served by the new version: %s" % dict(repeated.statuses()), timeout=4)
    until(lambda: all(repeated.send(d) == 200 for d in site.daemons), "served by all hosts: %s" % dict(repeated.statuses()),
          timeout=3)


def lifted_verdict_lets_the_request_run(site):
    """Guards against operators who cannot lift a verdict."""
    crash_under(site, b"crash")
    repeated = Repeated(site, b"crash")
    repeated.run(4)
    for replica in site.plain:
        replica.crashing_bodies.clear()
    until(lambda: not any(r.ending.locked() for r in site.plain), "all replicas are back")
    keys = site.store.keys("agatetide/live/crash/")
    check(len(keys) >= CRASHES, "records: %s" % keys)
    check(repeated.send(site.daemons[0]) == 503, "refused: %s" % dict(repeated.statuses()))
    for key in keys:
        site.store.remove(key)
    time.sleep(0.5)
    for daemon in site.daemons:
        check(repeated.send(daemon) == 200, "served: %s" % dict(repeated.statuses()))


TESTS = [
    (idempotent_request_that_crashes_replicas_is_refused, {"daemons": 3, "plain": 8}),
    (request_with_a_key_that_crashes_replicas_is_refused, {"daemons": 3, "plain": 8}),
    (hosts_that_see_one_crash_each_refuse_the_request, {"daemons": 3, "plain": 8}),
    (stream_that_crashes_replicas_is_refused, {"daemons": 3, "engines": 8}),
    (killed_hosts_go_on_refusing, {"daemons": 3, "plain": 8}),
    (frozen_host_refuses_after_it_goes_on, {"daemons": 3, "plain": 8}),
    (host_that_the_store_refuses_learns_of_crashes, {"daemons": 3, "plain": 8}),
    (crashes_of_a_cut_off_host_count, {"daemons": 3, "plain": 8}),
    (sound_request_under_which_replicas_ended_is_served, {"daemons": 3, "plain": 8}),
    (sound_requests_beside_a_crash_are_not_refused, {"daemons": 3, "plain": 8}),
    (broken_answers_are_no_crashes, {"daemons": 3, "plain": 4}),
    (request_is_tried_again_when_its_software_version_has_left, {"daemons": 3, "plain": 8}),
    (lifted_verdict_lets_the_request_run, {"daemons": 3, "plain": 8}),
]


if __name__ == "__main__":
    sys.exit(run_tests("crashing_requests", TESTS))
