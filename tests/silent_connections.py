"""Runs daemons whose open connections go silent for good, without a reset, while new ones work.

Prints "ok NAME" or "FAIL NAME reason" for each test.
"""

import sys
import threading
import time

from harness.partition import silence_connections
from harness.site import check, config, run_tests, until

# Bounds of the users' platform: hosts are in touch again this long after a disruption, and then keep the others.
CONTACT_S, DRAIN_S, REVOKE_S, APPLY_S = 4.0, 3.0, 5.0, 3.0
MARGIN_S = 0.3
READERS, FILL_S, ITEMS = 12, 3, 24
KEY = {"Authorization": "Bearer key-a"}


def fill_pools(site, step):
    """Lets each daemon but the owner open as many connections to the store as waiting readers of a running batch job need."""
    check(site.submit(site.daemons[0], step, items=ITEMS) == 202, "accepted")
    end = time.monotonic() + FILL_S

    def read(daemon):
        while time.monotonic() < end:
            daemon.call("GET", "/lots/%s?after=%d" % (step, ITEMS - 1), headers={**KEY, "Wait-Ms": "500"})
            time.sleep(0.1)

    readers = [threading.Thread(target=read, args=(d,), daemon=True) for d in site.daemons for _ in range(READERS)]
    for reader in readers:
        reader.start()
    for reader in readers:
        reader.join()
    check(site.daemons[0].call("DELETE", "/lots/" + step, headers=KEY)[0] == 200, "ended")


class Lookups:
    """Sends lookups to all daemons until stop() is called; keeps when each was sent and its status."""

    def __init__(self, site, path="/open/1", **headers):
        self.site, self.path, self.headers = site, path, headers
        self.sent, self.statuses, self.ended = {}, {}, threading.Event()
        self.threads = [threading.Thread(target=self.send, args=(n, d), daemon=True) for n, d in enumerate(site.daemons)]
        for thread in self.threads:
            thread.start()

    def send(self, number, daemon):
        count = 0
        while not self.ended.wait(0.05):
            name, count = "lookup-%s-%d-%d" % (self.path[1:3], number, count), count + 1
            self.sent[name] = time.monotonic()
            try:
                self.statuses[name] = self.site.lookup(daemon, name, self.path, **self.headers)[0]
            except OSError as error:
                self.statuses[name] = repr(error)

    def stop(self):
        self.ended.set()
        for thread in self.threads:
            thread.join()

    def after(self, start):
        """Returns the statuses of lookups that were sent after this time."""
        return [self.statuses[name] for name, sent in self.sent.items() if sent >= start]


def silence_store(site, acknowledges):
    return sum(daemon.store_endpoint.silence_open_connections(acknowledges) for daemon in site.daemons)


def late_requests(replica, sent, silent_at, acknowledged_at):
    """Requests that were sent while their host was in touch, and arrived when it should not have sent them."""
    return [round(at - acknowledged_at, 2) for request, at in zip(list(replica.requests), list(replica.arrivals))
            if at > acknowledged_at + DRAIN_S + MARGIN_S and sent.get(request[0], 0) > silent_at + CONTACT_S]


def draining_replica_is_left(site):
    """Guards against a pool of silent connections to the store that costs a timeout for each, while registrations are old."""
    lookups = Lookups(site)
    for replica, acknowledges in zip(site.plain, (True, False)):
        fill_pools(site, "filler-" + replica.name)
        count, silent_at = silence_store(site, acknowledges), time.monotonic()
        check(count > 2 * READERS, "%d connections were open" % count)
        time.sleep(1)
        replica.drain()
        acknowledged_at = time.monotonic()
        time.sleep(8)
        late = late_requests(replica, lookups.sent, silent_at, acknowledged_at)
        check(not late, "acknowledges=%s: late requests (s after the report): %s" % (acknowledges, late))
    lookups.stop()
    check(set(lookups.statuses.values()) == {200}, "%s" % set(lookups.statuses.values()))


def configuration_and_keys_are_in_force(site):
    """Guards against a withdrawn key that is accepted, or a new route that is refused, as the store went silent."""
    for version, acknowledges in ((3, True), (4, False)):
        key = "key-%d" % version
        site.store.put("op/config", config(version=10 * version, keys=(key, "key-a")))
        headers = {"Authorization": "Bearer " + key}
        until(lambda: all(site.lookup(d, "key", "/keyed/1", **headers)[0] == 200 for d in site.daemons), "the key is known")
        fill_pools(site, "filler-%d" % version)
        keyed = Lookups(site, "/keyed/1", **headers)
        time.sleep(0.3)
        silence_store(site, acknowledges)
        silent_at = time.monotonic()
        time.sleep(0.5)
        changed = config(version=10 * version + 1, keys=("key-a",))
        changed["routes"].append(dict(changed["routes"][0], name="new-%d" % version, pathPrefix="/new%d/" % version))
        site.store.put("op/config", changed)
        acknowledged_at = time.monotonic()
        time.sleep(max(CONTACT_S + APPLY_S - 0.5, REVOKE_S) + MARGIN_S)
        added = [site.lookup(d, "new", "/new%d/1" % version)[0] for d in site.daemons]
        time.sleep(1)
        keyed.stop()
        check(added == [200] * len(site.daemons), "%.1f s after the silence the new route gets %s" % (
            time.monotonic() - silent_at, added))
        late = keyed.after(acknowledged_at + REVOKE_S)
        check(late and 200 not in late, "the withdrawn key was accepted")


def all_kinds_of_connections_twice(site):
    """Guards against a second silence, while the first recovery runs, that leaves hosts without store or replicas."""
    check(site.submit(site.daemons[0], "step-1", items=12) == 202, "accepted")
    fill_pools(site, "filler")
    lookups = Lookups(site)
    time.sleep(0.5)
    for _ in range(2):
        silence_store(site, False)
        for server in [r.server for r in site.plain + site.engines] + [site.platform_api.server]:
            server.partition.silence_established()
        silent_at = time.monotonic()
        time.sleep(1.5)
    reports = len(site.platform_api.reports)
    time.sleep(CONTACT_S + 2)
    lookups.stop()
    statuses = lookups.after(silent_at + CONTACT_S)
    check(len(statuses) > 20 and set(statuses) == {200}, "lookups in touch: %s" % statuses)
    check(len(site.read_all(site.daemons[1], 12)) == 12, "the step is complete")
    check(len(site.platform_api.reports) > reports, "usage is reported")


def hosts_hear_from_each_other(site):
    """Guards against a host that the store refuses, and that waits for other hosts on connections that went silent."""
    cut_off, ports = site.daemons[0], [d.peer_port for d in site.daemons]
    cut_off.store_endpoint.refuse = True
    headers = {"Authorization": "Bearer key-old"}
    site.store.put("op/config", config(version=10, keys=("key-old", "key-a")))
    until(lambda: all(site.lookup(d, "key", "/keyed/1", **headers)[0] == 200 for d in site.daemons), "the key is known")
    check(site.submit(cut_off, "step-0", items=6) == 202, "a step is accepted before")
    keyed, lookups = Lookups(site, "/keyed/1", **headers), Lookups(site)
    time.sleep(0.5)
    for pause in (1, 0):  # Again while the first recovery runs.
        count, silent_at = silence_connections([d.process for d in site.daemons], ports), time.monotonic()
        check(count > 1, "%d ends of connections between hosts were open" % count)
        time.sleep(pause)
    changed = config(version=11, keys=("key-a",))
    changed["routes"].append(dict(changed["routes"][0], name="new", pathPrefix="/new/"))
    site.store.put("op/config", changed)
    acknowledged_at = time.monotonic()
    time.sleep(max(CONTACT_S + APPLY_S, REVOKE_S) + MARGIN_S)
    added = [site.lookup(d, "new", "/new/1")[0] for d in site.daemons]
    time.sleep(1)
    keyed.stop()
    lookups.stop()
    check(added == [200] * len(site.daemons), "the new route gets %s" % added)
    late = keyed.after(acknowledged_at + REVOKE_S)
    check(late and 200 not in late, "the withdrawn key was accepted")
    statuses = lookups.after(silent_at)
    check(set(statuses) == {200}, "lookups: %s" % set(statuses))
    for number, daemon in enumerate(site.daemons):
        check(site.submit(daemon, "step-after-%d" % number, items=6) == 202, "%s accepts a step" % daemon.name)
    for name in ["step-0", *("step-after-%d" % n for n in range(len(site.daemons)))]:
        check(len(site.read_all(cut_off, 6, name)) == 6, name + " is complete")


def relayed_requests_are_answered(site):
    """Guards against a host cut off from all replicas that passes requests on over connections that went silent."""
    cut_off = site.daemons[0]
    for replica in [*site.plain, *site.engines]:
        replica.server.partition.cut(cut_off.address)
    until(lambda: site.lookup(cut_off, "relayed")[0] == 200, "requests are passed on")
    lookups = Lookups(site)
    time.sleep(1)
    for pause in (1.5, 0):
        count = silence_connections([d.process for d in site.daemons], [d.peer_port for d in site.daemons])
        check(count > 1, "%d ends of connections between hosts were open" % count)
        silent_at = time.monotonic()
        time.sleep(pause)
    time.sleep(CONTACT_S + 2)
    lookups.stop()
    statuses = lookups.after(silent_at + CONTACT_S)
    check(len(statuses) > 20 and set(statuses) == {200}, "lookups in touch: %s" % statuses)


TESTS = [
    (draining_replica_is_left, {"daemons": 3, "plain": 3, "events": 20, "pause": 0.2}),
    (configuration_and_keys_are_in_force, {"daemons": 3, "events": 20, "pause": 0.2}),
    (hosts_hear_from_each_other, {"daemons": 3, "events": 20, "pause": 0.1}),
    (relayed_requests_are_answered, {"daemons": 3}),
    (all_kinds_of_connections_twice, {"daemons": 3, "events": 20, "pause": 0.1}),
]


if __name__ == "__main__":
    sys.exit(run_tests("silent_connections", TESTS))
