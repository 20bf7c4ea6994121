"""Runs daemons with little memory before servers that send bytes without end.

Prints "ok NAME" or "FAIL NAME reason" for each test.
"""

import sys
import threading
import time

from harness.flood import KINDS, FloodServer
from harness.site import check, config, run_tests, until

MEMORY_MB = 110
# The daemon stays below its limit by this much, for what the kernel holds of unread bytes.
MARGIN_MB = 10
CALLERS = 24
FLOOD_S = 1.5
# A host that failed is not asked for this long.
PEER_BACKOFF_S = 3
# Lookups of the sound service in a flood that are served, at least.
MIN_SERVED = 0.98


def add_sound_service(site):
    """A route to a service of its own, whose replicas are sound."""
    changed = config(version=5)
    changed["routes"].append(dict(changed["routes"][0], name="sound", pathPrefix="/sound/", service="sound"))
    changed["services"].append({"name": "sound"})
    site.store.put("op/config", changed)
    for replica in site.plain[-2:]:
        replica.service = "sound"
        replica.register()
    until(lambda: all(site.lookup(d, "sound", "/sound/1")[0] == 200 for d in site.daemons), "the sound service is served")


class Callers:
    """Callers of the faulty services, and of the sound one, until stop() is called."""

    def __init__(self, site, kind, daemons=None):
        self.site, self.kind, self.ended, self.sound = site, kind, threading.Event(), []
        self.daemons = daemons or site.daemons
        self.threads = [threading.Thread(target=self.call, args=(i,), daemon=True) for i in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def call(self, number):
        count = 0
        while not self.ended.is_set():
            count += 1
            name = "%s-%d-%d" % (self.kind, number, count)
            daemon = self.daemons[number // 4 % len(self.daemons)]
            try:
                if number % 4 == 0:
                    self.sound.append(self.site.lookup(daemon, name, "/sound/1")[0])
                    self.ended.wait(0.02)
                elif number % 4 == 1:
                    daemon.call("POST", "/stream/1", b"prompt",
                                {"Attempt-Id": name, "Timeout-Ms": "2000", "Model": "m"})
                else:
                    self.site.lookup(daemon, name, "/once/1" if number % 4 == 2 else "/open/1")
            except OSError as error:
                if number % 4 == 0:
                    self.sound.append(repr(error))

    def stop(self):
        self.ended.set()
        for thread in self.threads:
            thread.join()


def check_alive(daemons, kind, sound):
    for daemon in daemons:
        check(daemon.process.poll() is None, "%s: the daemon ended" % kind)
        peak = daemon.peak_memory_mb()
        check(peak < MEMORY_MB - MARGIN_MB, "%s: peak memory of %.0f MB, %d MB are allowed" % (kind, peak, MEMORY_MB))
    served = sound.count(200) / max(1, len(sound))
    check(len(sound) > 10 and served >= MIN_SERVED, "%s: %d of %d sound lookups were served" % (kind, sound.count(200), len(sound)))


def flooding_replicas_exhaust_no_memory(site):
    """Guards against a daemon that keeps what faulty replicas send, until its memory is exhausted and all its requests end."""
    add_sound_service(site)
    faulty = site.plain[:-2] + site.engines
    for number, kind in enumerate(KINDS):
        for replica in faulty:
            replica.flood = None
        until(lambda name="step-%d" % number: site.submit(site.daemons[0], name, items=16, desired=16) == 202, "accepted")
        for replica in faulty:
            replica.flood = kind
        callers = Callers(site, kind)
        time.sleep(FLOOD_S)
        callers.stop()
        check_alive(site.daemons, kind, callers.sound)
        print("%s: peak memory so far %s MB, %d sound lookups" % (
            kind, ["%.0f" % d.peak_memory_mb() for d in site.daemons], len(callers.sound)), file=sys.stderr)
    for replica in faulty:
        replica.flood = None
    until(lambda: all(site.lookup(d, "after")[0] == 200 for d in site.daemons), "lookups are served again")
    for number in range(len(KINDS)):
        check(len(site.read_all(site.daemons[1], 16, "step-%d" % number, timeout=30)) == 16, "step %d ends" % number)


def flooding_scorers_exhaust_no_memory(site):
    """Guards against scoring calls that keep what a faulty scorer sends."""
    add_sound_service(site)
    for kind in ("no-protocol", "length", "chunks", "failure", "trailer"):
        for replica in site.plain[:-2]:
            replica.flood = kind
        check(site.submit(site.daemons[0], "step-" + kind, items=40) == 202, "accepted")
        callers = Callers(site, kind)
        time.sleep(FLOOD_S)
        callers.stop()
        check_alive(site.daemons, kind, callers.sound)


def flooding_store_exhausts_no_memory(site):
    """Guards against a daemon that keeps what a faulty store sends, and against one that does not recover."""
    add_sound_service(site)
    for kind in ("no-protocol", "head-lines", "interim", "length", "chunks", "small-chunks", "chunk-extension", "failure"):
        for daemon in site.daemons:
            daemon.store_endpoint.flood = kind
        callers = Callers(site, kind)
        readers = [threading.Thread(target=site.read, args=(d, "step-%d" % i), daemon=True)
                   for d in site.daemons for i in range(10)]
        for reader in readers:
            reader.start()
        time.sleep(FLOOD_S)
        callers.stop()
        for daemon in site.daemons:
            daemon.store_endpoint.flood = None
        for reader in readers:
            reader.join()
        check_alive(site.daemons, kind, callers.sound)
        print("store %s: peak memory so far %s MB" % (kind, ["%.0f" % d.peak_memory_mb() for d in site.daemons]), file=sys.stderr)
        until(lambda: all(site.lookup(d, "key", "/keyed/1", Authorization="Bearer key-a")[0] == 200 for d in site.daemons),
              "keys are known again")


def flooding_host_exhausts_no_memory(site):
    """Guards against a daemon that keeps what another host sends in place of an answer."""
    add_sound_service(site)
    faulty, others = site.daemons[1], [site.daemons[0], site.daemons[2]]
    # These daemons ask other hosts for what they cannot get from the store.
    for daemon in others:
        daemon.store_endpoint.refuse = True
    for kind in ("no-protocol", "head-value", "length", "small-chunks", "chunk-extension", "failure"):
        until(lambda: all(faulty.address + ":%d" % faulty.front_port in site.addresses(d) for d in others), "the host is known")
        time.sleep(PEER_BACKOFF_S)
        faulty.stop()
        flood = FloodServer(faulty.address, faulty.peer_port, kind)
        callers = Callers(site, kind, others)
        steps = [threading.Thread(target=site.submit, args=(d, "step-%s-%d" % (kind, i)), daemon=True)
                 for d in others for i in range(4)]
        for step in steps:
            step.start()
        until(lambda: flood.calls > 0, "%s: the host is asked" % kind)
        time.sleep(FLOOD_S)
        callers.stop()
        flood.close()
        check_alive(others, kind, callers.sound)
        print("host %s: %d calls, peak memory so far %s MB, %d sound lookups" % (
            kind, flood.calls, ["%.0f" % d.peak_memory_mb() for d in others], len(callers.sound)), file=sys.stderr)
        for step in steps:
            step.join()
        faulty.start()
    for daemon in others:
        daemon.store_endpoint.refuse = False
    until(lambda: all(site.lookup(d, "key", "/keyed/1", Authorization="Bearer key-a")[0] == 200 for d in site.daemons),
          "keys are known again")


TESTS = [
    (flooding_replicas_exhaust_no_memory, {"daemons": 2, "plain": 5, "engines": 4, "memory_mb": MEMORY_MB}),
    (flooding_scorers_exhaust_no_memory, {"daemons": 2, "plain": 5, "engines": 2, "memory_mb": MEMORY_MB}),
    (flooding_host_exhausts_no_memory, {"daemons": 3, "plain": 4, "memory_mb": MEMORY_MB}),
    (flooding_store_exhausts_no_memory, {"daemons": 2, "plain": 4, "memory_mb": MEMORY_MB}),
]


if __name__ == "__main__":
    sys.exit(run_tests("bytes_without_end", TESTS))
