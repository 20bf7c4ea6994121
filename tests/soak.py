"""Runs daemons on doubles of the users' platform under random, overlapping faults and changes.

`soak.py SEED...` prints "ok soak.SEED" or "FAIL soak.SEED reason" for each seed;
`--only KIND` draws one kind of disruption alone, `--program PATH` runs other daemons.
"""

import argparse
import collections
import http.client
import random
import signal
import sys
import threading
import time
import traceback

from harness.site import DAEMON, HOST, Site, check, config, until
from harness.users_platform import DRAIN_S
import crashing_requests
from soak_disruptions import KEY, LONG_STEP_ITEMS, TENANT_OF_OTHERS, Disruptions
from soak_end import JOB_ITEMS, End
from soak_logs import Logs
from soak_store import StoreEntries
from software_versions import add_engines, check_unmixed, software_of, stream

EVENTS = 6
FAULTS_S = 9
CALM_S = 25
# Repetitions of a request that crashes replicas, after the faults have ended.
LATE_REPETITIONS = 12
# What a daemon stays below its memory.
MEMORY_MARGIN_MB = 5
MAX_BODY_BYTES = 33554432
# A result that was read is listed by all hosts after this time. Hosts are in touch again this long after a disruption.
SETTLE_S, CONTACT_S = 1.0, 4.0
MARGIN_S = 0.5
# What a lookup allows, from its arrival at a host.
REQUEST_TIMEOUT_S = 2
# A caller waits this long for an answer.
CALLER_TIMEOUT_S = 6
# Results are still read for this long after the faults.
WATCH_S = 9


def site_config(version):
    return config(version, limits={"maxHeaderBytes": 4096, "maxBodyBytes": MAX_BODY_BYTES})


class Soak(Disruptions, End, Logs, StoreEntries):
    """One run: callers, trainers and faults on a site of its own."""

    def __init__(self, seed, daemons, only=None, **options):
        self.random = random.Random(seed)
        self.only = only
        self.site = Site(daemons=daemons, plain=3, engines=3, events=EVENTS, pause=0.05,
                         **self.prepare_logs(seed), **options)
        self.site.store.put("op/config", site_config(3))
        add_engines(self.site, "v2", 2)
        self.prepare_end(seed)
        self.prepare_store(seed)
        self.end = time.monotonic() + FAULTS_S
        self.lock = threading.Lock()
        self.killed_at = collections.defaultdict(list)  # by daemon name
        self.frozen = collections.defaultdict(list)  # from when to when, by daemon name
        self.disturbed_at = collections.defaultdict(list)  # restarts and freezes, by daemon address
        self.busy = set()  # daemons that a fault acts on
        self.unanswered, self.wrong = [], []
        self.answers = collections.Counter()  # by status, 0 if there was none
        self.refused, self.steps, self.streams = set(), [], {}
        self.long_steps, self.large_steps = [], []
        self.listed = {}  # by step: ids of results that were read, and when the last of them was
        self.missing = []  # results that a host should have listed
        self.drained = []  # (replica, when it said so to the store, when it started again)
        self.accepted_hostile = []
        self.peaks = collections.Counter()  # largest resident memory seen, by daemon name
        self.config_version = 3
        self.crashing_body = b"crash-%d" % seed
        self.crashing_path = self.random.choice(["/open/2", "/once/2"])
        for replica in self.site.plain:
            replica.crashing_bodies.add(self.crashing_body)
            replica.keeps_id = self.random.random() < 0.3

    def running(self):
        return time.monotonic() < self.end

    def pick(self):
        return self.site.daemons[self.random.randrange(len(self.site.daemons))]

    def sleep(self, shortest, longest):
        time.sleep(self.random.uniform(shortest, longest))

    # Callers

    def send_requests(self, number):
        """Keeps one connection open and sends requests on it until the process behind it is gone."""
        daemon = self.site.daemons[number % len(self.site.daemons)]
        path = "/once/1" if number % 3 == 0 else "/open/1"
        connection, count = None, 0
        while self.running():
            count += 1
            name, sent_at = "soak-%d-%d" % (number, count), time.monotonic()
            try:
                connection = connection or http.client.HTTPConnection(daemon.address, daemon.front_port, timeout=CALLER_TIMEOUT_S)
                connection.request("POST", path, b"question",
                                   {"Host": HOST, "Attempt-Id": name, "Timeout-Ms": str(1000 * REQUEST_TIMEOUT_S)})
                answer = connection.getresponse()
                body = answer.read()
                self.answers[answer.status] += 1
                if answer.status == 200 and (body != b"answer to question" or
                                             answer.getheader("Response-Signature") != "signed-" + name):
                    self.wrong.append((name, body))
                if answer.status in (429, 503):
                    self.refused.add(name)
                if answer.getheader("Connection", "") == "close":
                    connection = None
            except (OSError, http.client.HTTPException) as error:
                connection = None
                self.answers[0] += 1
                self.unanswered.append((name, daemon.name, sent_at, time.monotonic(), repr(error)))
            time.sleep(0.02)

    def submit_steps(self):
        for number in range(1000):
            if not self.running():
                return
            name = "soak-step-%d" % number
            while self.running():
                try:
                    if self.site.submit(self.pick(), name, items=6) == 202:
                        self.steps.append(name)
                        break
                except (OSError, http.client.HTTPException):
                    pass
                time.sleep(0.1)
            time.sleep(0.4)

    def crash_replicas(self):
        """Repeats a request that crashes each replica which runs it, through all hosts."""
        for number in range(1000):
            if not self.running():
                return
            self.send_crashing_request(self.pick(), "soak-crash-%d" % number)
            self.sleep(0.2, 0.8)

    def send_crashing_request(self, daemon, name):
        return crashing_requests.send(daemon, name, self.crashing_path, self.crashing_body, 1000)[0]

    def take_streams_up(self):
        """Starts streams and takes each up at another host."""
        for number in range(1000):
            if not self.running():
                return
            name = "soak-stream-%d" % number
            for suffix, first in (("", None), ("-a", name), ("-b", name)):
                try:
                    status, events = stream(self.pick(), name + suffix, first, 2)
                except (OSError, http.client.HTTPException):
                    status, events = 0, []
                if status == 200:
                    self.streams.setdefault(name, set()).update(software_of(events))
                elif first is None:
                    break
                time.sleep(0.05)

    # Faults

    def acquire(self):
        """Returns a daemon that no other fault acts on; at least one is left alone."""
        with self.lock:
            free = [d for d in self.site.daemons if d.name not in self.busy]
            if len(free) < 2:
                return None
            daemon = free[self.random.randrange(len(free))]
            self.busy.add(daemon.name)
            self.disturbed_at[daemon.address].append(time.monotonic())
            return daemon

    def release(self, daemon):
        self.disturbed_at[daemon.address].append(time.monotonic())
        self.busy.discard(daemon.name)

    def acquire_this(self, daemon):
        """Returns whether no other fault acts on this daemon, and claims it then."""
        with self.lock:
            if daemon.name in self.busy:
                return False
            self.busy.add(daemon.name)
            self.disturbed_at[daemon.address].append(time.monotonic())
            return True

    def disturb_all(self):
        for daemon in self.site.daemons:
            self.disturbed_at[daemon.address].append(time.monotonic())

    def last_disturbance(self, address, before):
        return max((t for t in list(self.disturbed_at[address]) if t <= before), default=0)

    def kill_and_start(self, daemon):
        self.killed_at[daemon.name].append(time.monotonic())
        self.note_own_end(daemon)
        daemon.stop()
        self.sleep(0, 0.5)
        daemon.start()

    def restart(self, planned):
        daemon = self.acquire()
        if daemon is None:
            return
        if planned:
            for _ in range(self.random.randrange(1, 4)):
                daemon.process.send_signal(signal.SIGTERM)
                self.sleep(0, 0.1)
            check(daemon.process.wait(10) == 0, "exit code of a planned stop")
            self.sleep(0, 0.5)
            daemon.start()
        else:
            self.kill_and_start(daemon)
        self.release(daemon)

    def freeze(self):
        daemon = self.acquire()
        if daemon is not None:
            self.stop_and_continue(daemon, 0.2, 1.5)
            self.release(daemon)

    def stop_and_continue(self, daemon, shortest, longest):
        """Stops the process for some seconds, in which it does nothing."""
        daemon.process.send_signal(signal.SIGSTOP)
        stopped_at = time.monotonic()
        self.sleep(shortest, longest)
        daemon.process.send_signal(signal.SIGCONT)
        self.frozen[daemon.name].append((stopped_at, time.monotonic()))

    def reload(self):
        for _ in range(3):
            for daemon in self.site.daemons:
                may_start = daemon.name in self.busy and not daemon.blocked_signals
                if not may_start and daemon.process.poll() is None:
                    daemon.process.send_signal(signal.SIGHUP)
            self.sleep(0, 0.05)

    def disturb_store(self):
        self.disturb_all()
        self.site.store.refuse = True
        self.sleep(0.1, 1.2)
        self.site.store.refuse = False
        self.disturb_all()

    def change_config(self):
        for _ in range(self.random.randrange(1, 4)):
            with self.lock:
                self.config_version += self.random.randrange(1, 4)
                self.site.store.put("op/config", site_config(self.config_version))
            self.sleep(0, 0.2)

    def break_engine(self):
        engine = self.random.choice(self.site.engines)
        engine.breaks_after = self.random.randrange(EVENTS)
        self.sleep(0.2, 1.0)
        engine.breaks_after = None

    def limit_replica(self):
        replica = self.random.choice(self.site.engines + self.site.plain)
        replica.limit = self.random.uniform(2, 20)
        self.sleep(0.5, 3)
        replica.limit = None

    def cut_off(self):
        """Takes all paths to replicas from some hosts; their open connections hang, live on or are reset."""
        daemons = [d for d in self.site.daemons if self.random.random() < 0.6]
        replicas = [*self.site.engines, *self.site.plain]
        how = self.random.choice(["hang", "live on", "reset"])
        for replica in replicas:
            for daemon in daemons:
                replica.server.partition.cut(daemon.address, established=how == "hang")
                if how == "reset":
                    replica.server.partition.reset(daemon.address)
        self.sleep(0.3, 4)
        for replica in replicas:
            for daemon in daemons:
                replica.server.partition.heal(daemon.address)

    def leave(self):
        """Lets a replica say that it leaves, to the store as well or not, and start again."""
        replica = self.random.choice([self.site.plain[0], self.site.engines[0], self.site.engines[-1]])
        with self.lock:
            if replica.says_leaving or replica.state != "ready":
                return
            replica.says_leaving = {"call", "stream", "report"}
        if self.random.random() < 0.5:
            replica.drain()
        self.sleep(DRAIN_S, DRAIN_S + 2)
        replica.start_again()

    def faults(self):
        """Returns the disruptions by name."""
        return {
            "stop": lambda: self.restart(True), "kill": lambda: self.restart(False), "freeze": self.freeze,
            "reload": self.reload, "disturb_store": self.disturb_store, "change_config": self.change_config,
            "break_engine": self.break_engine, "limit_replica": self.limit_replica, "cut_off": self.cut_off,
            "leave": self.leave, "lose_answers": self.lose_answers, "delay_writes": self.delay_writes,
            "silence": self.silence, "report_draining": self.report_draining, "freeze_and_kill": self.freeze_and_kill,
            "submit_hostile_text": self.submit_hostile_text, "submit_large_job": self.submit_large_job, "flood": self.flood}

    def cause_faults(self):
        faults = self.faults()
        chosen = [faults[self.only]] if self.only else list(faults.values())
        while self.running():
            self.random.choice(chosen)()
            self.sleep(0.05, 0.6)

    # Trainers that end their jobs, and what hosts list of them

    def train(self):
        """Submits jobs, reads some of their results, and ends some jobs then."""
        for number in range(1000):
            if not self.running():
                return
            name = "soak-job-%d" % number
            try:
                if self.site.submit(self.pick(), name, items=JOB_ITEMS) != 202:
                    continue
                end = time.monotonic() + 2
                while time.monotonic() < end and name not in self.listed:
                    self.read_listed(self.pick(), name)
                if self.random.random() < 0.5:
                    self.pick().call("DELETE", "/lots/" + name, headers=KEY)
            except (OSError, http.client.HTTPException):
                pass

    def read_listed(self, daemon, name):
        """Reads a job at a host; notes its results, or those that it should have listed."""
        started = time.monotonic()
        known, known_at = self.listed.get(name, ([], started))
        results = []
        while True:  # A page may have fewer results than are known.
            page = self.site.read(daemon, name, len(results))
            if "status" in page:
                return
            results += page["results"]
            if not page["results"] or len(results) >= len(known):
                break
        found = [r["id"] for r in results]
        if found[:len(known)] != known[:len(found)]:
            self.missing.append((daemon.name, name, "other results", found[:3], known[:3]))
        quiet_since = max(known_at + SETTLE_S, self.last_disturbance(daemon.address, time.monotonic()) + SETTLE_S)
        if len(found) < len(known) and started > quiet_since + CONTACT_S + MARGIN_S:
            self.missing.append((daemon.name, name, "%d of %d results" % (len(found), len(known))))
        with self.lock:
            if len(found) > len(self.listed.get(name, ([], 0))[0]):
                self.listed[name] = (found, time.monotonic())
                self.results[name] = results

    def watch_listed(self):
        """Reads jobs at all hosts until some time after the faults."""
        while time.monotonic() < self.end + WATCH_S:
            for name in list(self.listed)[-8:]:
                try:
                    self.read_listed(self.pick(), name)
                except (OSError, http.client.HTTPException):
                    pass
            time.sleep(0.05)

    def watch_memory(self):
        while time.monotonic() < self.end + WATCH_S:
            self.note_memory()
            time.sleep(0.1)

    def note_memory(self):
        for daemon in self.site.daemons:
            try:
                self.peaks[daemon.name] = max(self.peaks[daemon.name], daemon.peak_memory_mb())
            except (OSError, StopIteration):
                pass  # It has ended.

    # Checks

    def check_memory(self):
        high = {name: round(peak) for name, peak in self.peaks.items() if peak > self.memory_mb - MEMORY_MARGIN_MB}
        check(not high, "peak memory in MB, %d are allowed: %s" % (self.memory_mb, high))

    def check_hostile_text(self):
        check(not self.accepted_hostile, "items with hostile text were accepted: %s" % self.accepted_hostile[:1])
        runs = [r for replica in [*self.site.plain, *self.site.engines] for r in list(replica.requests)]
        smuggled = [r[:2] for r in runs if r[0] is None or r[0].startswith("smuggled") or
                    TENANT_OF_OTHERS in r[2].get("Tenant", "")]
        check(not smuggled, "requests that nobody sent: %s" % smuggled[:3])

    def check_requests(self):
        check(not self.wrong, "answers of other requests: %s" % self.wrong[:3])
        runs = collections.Counter(r[0] for replica in self.site.plain for r in replica.requests)
        once = {n for replica in self.site.plain for n, path, *_ in replica.requests if path.startswith("/once/")}
        check(not [n for n in once if runs[n] > 1], "requests that ran twice: %s" % [n for n in once if runs[n] > 1])
        ran = [n for n in self.refused if runs[n] and n in once]
        check(not ran, "refused requests that ran: %s" % ran)
        lost = [u for u in self.unanswered
                if runs[u[0]] and not self.was_frozen_too_long(*u[1:4])
                and not any(u[2] - 0.5 <= t <= u[3] + 0.5 for t in self.killed_at[u[1]])]
        check(not lost, "requests that ran and got no answer: %s" % lost[:3])

    def was_frozen_too_long(self, name, sent_at, ended_at):
        """Returns whether a caller gave up before its daemon, which was frozen meanwhile, ran for the request's timeout."""
        waited = ended_at - sent_at
        frozen = sum(max(0, min(ended_at, end) - max(sent_at, start)) for start, end in self.frozen[name])
        return waited >= CALLER_TIMEOUT_S and waited - frozen <= REQUEST_TIMEOUT_S + MARGIN_S

    def check_drained(self):
        """No request may reach a replica from a host that has long known that it leaves."""
        late = [(replica.name, sender, told, now) for replica in [*self.site.plain, *self.site.engines]
                for sender, told, now in replica.late_arrivals
                if not any(told - 0.5 <= t <= now for t in self.disturbed_at[sender])]
        check(not late, "requests to replicas that leave: %s" % late[:3])
        for replica, acknowledged_at, end in self.drained:
            for sender, arrival in list(zip(replica.senders, replica.arrivals)):
                in_touch = max(acknowledged_at, self.last_disturbance(sender, arrival) + CONTACT_S)
                check(not in_touch + DRAIN_S + MARGIN_S < arrival < end, "a request of %s reached %s %.1f s after its report" % (
                    sender, replica.name, arrival - acknowledged_at))

    def check_crashing_request(self):
        """A request that crashes replicas is refused by all hosts, and sound ones are not."""
        ended = len(crashing_requests.crashes(self.site))
        time.sleep(crashing_requests.CONTACT_S)
        before = len(crashing_requests.runs(self.site, self.crashing_body))
        for number in range(LATE_REPETITIONS):
            self.send_crashing_request(self.site.daemons[number % len(self.site.daemons)], "late-%d" % number)
            time.sleep(crashing_requests.REPEAT_S)
        late = len(crashing_requests.runs(self.site, self.crashing_body)) - before
        allowed = max(0, crashing_requests.CRASHES - ended) + crashing_requests.LATE_RUNS
        check(late <= allowed, "%d late runs of a request under which %d replicas had ended" % (late, ended))
        until(lambda: all(self.site.lookup(d, "sound")[0] == 200 for d in self.site.daemons), "sound requests are served")
        return "%d replicas crashed, %d late runs" % (len(crashing_requests.crashes(self.site)), late)

    def check_steps(self):
        for name in self.steps:
            results = self.results[name] = self.site.read_all(self.site.daemons[0], 6, name, timeout=CALM_S)
            check(len({r["id"] for r in results}) == 6, "each item once")
            check({r["state"] for r in results} == {"completed"}, "items are completed: %s" % results)
            check_unmixed(results, EVENTS, self.size_of_events(name))
        for name, items in [(n, 24) for n in self.large_steps] + [(n, LONG_STEP_ITEMS) for n in self.long_steps]:
            self.results[name] = self.site.read_all(self.site.daemons[0], items, name, timeout=CALM_S)

    def work(self):
        """Returns what the callers and the causes of faults do, each in a thread of its own."""
        callers = [lambda n=n: self.send_requests(n) for n in range(max(6, len(self.site.daemons)))]
        return [*callers, self.disturb_logs, self.write_odd_entries, self.misbehave_in_store, self.watch_ends,
                self.crash_replicas, self.submit_steps, self.submit_steps_twice, self.take_streams_up, self.train,
                *[self.cause_faults] * (1 if self.only else 3)]

    def run(self):
        failures = []

        def guarded(work):
            try:
                work()
            except Exception as error:  # pylint: disable=broad-except
                failures.append(error)
                traceback.print_exc()

        watchers = [threading.Thread(target=guarded, args=(w,)) for w in (self.watch_listed, self.watch_memory)]
        threads = [threading.Thread(target=guarded, args=(w,)) for w in self.work()]
        for thread in threads + watchers:
            thread.start()
        for thread in threads:
            thread.join()
        check(not failures, "a caller or fault failed: %r" % failures[:1])
        self.check_own_ends()
        self.site.check_tasks()
        until(lambda: all(d.is_ready() for d in self.site.daemons), "all hosts are ready again")
        self.check_hostile_text()
        self.check_memory()
        crashing = self.check_crashing_request()
        self.check_requests()
        self.check_drained()
        mixed = {n: s for n, s in self.streams.items() if len(s) > 1}
        check(not mixed, "streams of two software versions: %s" % mixed)
        self.check_steps()
        for watcher in watchers:
            watcher.join()
        check(not failures, "a reader failed: %r" % failures[:1])
        check(not self.missing, "results that were read are not listed: %s" % self.missing[:3])
        store = self.check_store()
        read_again = self.check_end()
        return "%d steps, %d streams, %d requests refused, %d unanswered, %s, %s, %s" % (
            len(self.steps), len(self.streams), len(self.refused), len(self.unanswered), store, crashing, read_again)

    def submit_steps_twice(self):
        """Submits steps that were accepted once more at another host."""
        while self.running():
            if self.steps:
                try:
                    self.site.submit(self.pick(), self.random.choice(self.steps), items=6)
                except (OSError, http.client.HTTPException):
                    pass
            time.sleep(0.3)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seeds", nargs="*", type=int, default=[1, 2, 3])
    parser.add_argument("--daemons", type=int, default=3)
    parser.add_argument("--only")
    parser.add_argument("--program", default=DAEMON)
    args = parser.parse_args()
    failed = False
    for seed in args.seeds:
        soak = None
        try:
            soak = Soak(seed, args.daemons, args.only, program=args.program)
            print("ok soak.%d %s" % (seed, soak.run()), flush=True)
        except Exception as error:  # pylint: disable=broad-except
            failed = True
            print("FAIL soak.%d %s" % (seed, error), flush=True)
            traceback.print_exc()
        finally:
            if soak is not None:
                soak.site.close()
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
