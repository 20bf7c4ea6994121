"""Runs daemons and replicas in three regions, with routes and accounts that allow some of them, and evacuated zones.

Prints "ok NAME" or "FAIL NAME reason" for each test.
"""

import base64
import json
import sys
import threading
import time

from harness.site import check, config, run_tests, until
from owners_of_steps import RECORD_PREFIX, owner_name

ZONES = {"z1": "r1", "z2": "r2", "z3": "r3"}
# An evacuation takes effect within this time.
EVACUATE_S = 5
# A host that ended leaves the address answers, and its steps have another owner, within this time.
TAKEOVER_S = 12
PLACES = {"daemons": 3, "plain": 3, "engines": 3, "zones": ZONES}


def restrict(site, version, routes, account=None, **changes):
    """Sets the allowed regions of routes, by name, and of the account; waits until all hosts know them."""
    value = config(version, **changes)
    for route in value["routes"]:
        if route["name"] in routes:
            route["allowedRegions"] = routes[route["name"]]
    if account is not None:
        value["tenants"][0]["allowedRegions"] = account
    site.store.put("op/config", value)
    running = [d for d in site.daemons if d.process.poll() is None]
    until(lambda: all(d.last_event("config", "version=%d" % version) for d in running), "the configuration is in force")


def all_routes(regions):
    return {name: regions for name in ("open", "once", "keyed", "stream", "step")}


def served_by(replicas, prefix):
    """Returns the zones of the replicas that got requests whose id begins with prefix."""
    return {r.zone for r in replicas if any(str(request[0]).startswith(prefix) for request in list(r.requests))}


def send_all_kinds(site, prefix, count=6):
    """Sends lookups, keyed lookups and streams to each host; returns (status, seconds) of each."""
    answers = []
    for number, daemon in enumerate([d for d in site.daemons if d.process.poll() is None] * count):
        for path, headers in (("/open/1", {}), ("/once/1", {}), ("/keyed/1", {"Authorization": "Bearer key-a"}),
                              ("/stream/1", {"Model": "m"})):
            started = time.monotonic()
            status, _, answer = site.lookup(daemon, "%s-%d%s" % (prefix, number, path[1:3]), path, **headers)
            answers.append((path, status, time.monotonic() - started, answer.get("Retry-After")))
    return answers


def check_refused(answers):
    for path, status, took, retry_after in answers:
        check(status == 503 and took < 0.3 and retry_after, "%s: %d after %.2f s, Retry-After %s" % (path, status, took, retry_after))


def restricted_requests_stay_in_their_region(site):
    """Guards against lookups and streams that run elsewhere since their region is far, busy or has no replica left."""
    replicas = [*site.plain, *site.engines]
    restrict(site, 3, all_routes(["r2"]))
    answers = send_all_kinds(site, "in")
    check(all(status == 200 for _, status, _, _ in answers), "answers: %s" % answers)
    check(served_by(replicas, "in") == {"z2"}, "zones: %s" % served_by(replicas, "in"))
    site.plain[1].pause = 1.2  # longer than the delay of a hedge
    check(site.lookup(site.daemons[0], "hedged")[0] == 200, "a slow replica answers")
    site.plain[1].statuses = [500] * 3
    site.lookup(site.daemons[0], "retried")
    check(served_by(replicas, "hedged") | served_by(replicas, "retried") == {"z2"}, "hedges and retries stay there")
    for replica in (site.plain[1], site.engines[1]):
        replica.crash()
        site.store.remove("servers/" + replica.name)
    time.sleep(0.5)
    check_refused(send_all_kinds(site, "gone", 2))
    check(not served_by(replicas, "gone"), "zones of refused requests: %s" % served_by(replicas, "gone"))
    restrict(site, 4, all_routes([]))
    check(site.lookup(site.daemons[0], "open")[0] == 200, "an empty list allows all regions")


def regions_of_route_and_account_both_apply(site):
    """Guards against requests that follow one list alone, or any region when the two have none in common."""
    key = {"Authorization": "Bearer key-a"}
    restrict(site, 3, {"keyed": ["r1", "r3"]}, ["r3", "r2"])
    for number, daemon in enumerate(site.daemons * 5):
        check(site.lookup(daemon, "both-%d" % number, "/keyed/1", **key)[0] == 200, "a region of both lists serves")
    check(served_by(site.plain, "both") == {"z3"}, "zones: %s" % served_by(site.plain, "both"))
    restrict(site, 4, {"keyed": ["r1"]}, ["r2"])
    for number, daemon in enumerate(site.daemons):
        started = time.monotonic()
        status = site.lookup(daemon, "none-%d" % number, "/keyed/1", **key)[0]
        check(status == 503 and time.monotonic() - started < 0.3, "status %d without a common region" % status)
    check(site.submit(site.daemons[0], "step-none") == 202, "a step without a restricted route needs the account's region")
    restrict(site, 5, {"keyed": ["r1"], "step": ["r1"]}, ["r2"])
    check(site.submit(site.daemons[0], "step-never") == 503, "a step without an allowed region is refused")
    check(not [k for k in site.store.keys(RECORD_PREFIX) if "step-never" in k], "a refused step is not stored")
    check(not served_by(site.plain, "none"), "a refused request reached a replica")


def owner_of(site, step):
    """Returns the host that the record of a step names."""
    data = base64.b64decode(site.store.items[RECORD_PREFIX + step]["value"])
    return next((d for d in site.daemons if d.name.encode() + b"#" in data), None)


def submit_large(site, daemon, step, items=8):
    """Submits a step of more bytes than hosts of one region pass on to each other; returns the status."""
    body = base64.b64encode(b"x" * 400000).decode()
    value = {"step": 0, "model": "m", "minVersion": 1, "desired": 1, "items": [
        {"id": "%s-item-%d" % (step, i), "path": "/step/x/%d" % i, "headers": {"Model": "m", "Length-Hint": "64"},
         "body": body, "tokens": 10, "group": "g"} for i in range(items)]}
    return daemon.call("POST", "/step/" + step, json.dumps(value), {"Attempt-Id": step, "Authorization": "Bearer key-a"})[0]


def steps_run_in_their_region(site):
    """Guards against steps whose items, scoring calls or bodies go to hosts and replicas of other regions."""
    restrict(site, 3, all_routes(["r2"]), limits={"maxHeaderBytes": 4096, "maxBodyBytes": 8000000})
    for number, daemon in enumerate(site.daemons):
        check(site.submit(daemon, "small-%d" % number) == 202, "a step is accepted")
        check(len(site.read_all(daemon, 6, "small-%d" % number)) == 6, "the step ends")
    check(submit_large(site, site.daemons[0], "large") == 202, "a large step is accepted")
    check(len(site.read_all(site.daemons[0], 8, "large")) == 8, "the large step ends")
    for step in ("small-0", "small-1", "small-2", "large"):
        check(owner_of(site, step) is site.daemons[1], "%s runs outside its region" % step)
    check(served_by(site.engines, "small") | served_by(site.engines, "large") == {"z2"}, "items ran elsewhere")
    check(served_by(site.plain, "small") == {"z2"}, "scoring calls ran elsewhere")
    site.daemons[1].stop()
    until(lambda: len(site.addresses(site.daemons[0], "", "")) == 2, "the host of the region is gone")
    check(site.submit(site.daemons[0], "late") == 503, "a step without a host in its region is refused")
    check(not [k for k in site.store.keys(RECORD_PREFIX) if "late" in k], "a refused step is not stored")


def taken_over_by(daemon, step):
    return any("step=%s " % step in line for line in daemon.lines("step_taken_over"))


def steps_are_taken_over_in_their_regions(site):
    """Guards against steps that a host outside their regions takes over, and against those that nobody takes over."""
    restrict(site, 3, {"step": ["r2", "r3"], "open": ["r2", "r3"]})
    outside = site.daemons[0]
    check(site.submit(outside, "step-1", items=30) == 202, "the step is accepted")
    owner = owner_of(site, "step-1")
    check(owner is not outside, "a host outside got the step")
    other = next(d for d in site.daemons if d not in (owner, outside))
    owner.stop()
    until(lambda: taken_over_by(other, "step-1"), "the host of the other allowed region takes it over", timeout=TAKEOVER_S)
    other.stop()
    time.sleep(TAKEOVER_S)  # The lease of the host ends, and the leader sweeps.
    check(not taken_over_by(outside, "step-1"), "a host outside took the step over")
    other.start()
    until(lambda: taken_over_by(other, "step-1") and owner_of(site, "step-1") is other, "it runs again", timeout=TAKEOVER_S)
    check(len(site.read_all(outside, 30, timeout=40)) == 30, "the step ends")
    check("z1" not in served_by(site.engines, "step-1"), "items ran outside their regions")


def leader_leaves_steps_to_their_regions(site):
    """Guards against steps that only the leader's sweep finds, and that no host takes over since the leader may not."""
    until(lambda: any(d.last_event("leadership", "held=true") for d in site.daemons), "a host leads")
    leader = next(d for d in site.daemons if d.last_event("leadership", "held=true"))
    allowed = next(d for d in site.daemons if d is not leader)
    region = "r%d" % (site.daemons.index(allowed) + 1)
    restrict(site, 3, {"step": [region], "open": [region]})
    time.sleep(6)  # Hosts that have just started scan all steps themselves.
    check(site.submit(leader, "step-1", items=30) == 202, "the step is accepted")
    name = owner_name(site, allowed)
    gone = name.replace(allowed.name.encode(), b"host-9")
    data = base64.b64decode(site.store.items[RECORD_PREFIX + "step-1"]["value"])
    check(name in data, "the record names a host of the allowed region")
    site.store.put_bytes(RECORD_PREFIX + "step-1", data.replace(name, gone))
    until(lambda: taken_over_by(allowed, "step-1"), "a host of the region takes it over", timeout=TAKEOVER_S)
    check(leader.last_event("recovery_requested", "host=" + allowed.name), "the leader asked it")
    check(not any(taken_over_by(d, "step-1") for d in site.daemons if d is not allowed), "another host took it over")
    check(len(site.read_all(leader, 30, timeout=40)) == 30, "the step ends")


def zones_used(site, prefix, daemons, count=30):
    """Sends lookups to the hosts; returns the zones of the replicas that got them."""
    for number in range(count):
        for daemon in daemons:
            status = site.lookup(daemon, "%s-%d-%s" % (prefix, number, daemon.name))[0]
            check(status == 200, "lookup %d: %d" % (number, status))
    return served_by(site.plain, prefix)


def evacuation_takes_effect_and_ends(site):
    """Guards against work that still goes to an evacuated zone, and against zones that stay empty after the end of it."""
    engine = site.engines[1]
    answers = []
    engine.pause, engine.events = 0.3, 8
    stream = threading.Thread(target=lambda: answers.append(
        site.lookup(site.daemons[1], "long-stream", "/stream/1", Model="m", **{"Timeout-Ms": "4000"})[0]))
    check("z2" in zones_used(site, "before", site.daemons, 10), "the zone is used")
    stream.start()
    until(lambda: any(r[0] == "long-stream" for r in engine.requests), "the stream runs in the zone")
    site.submit(site.daemons[1], "queue", items=60)
    until(lambda: served_by([engine], "queue"), "items run in the zone")
    site.store.put("op/evacuate/z2", "any value")
    until(lambda: all(d.last_event("zone_evacuated", "zone=z2") for d in site.daemons), "all hosts know it", timeout=EVACUATE_S)
    begun = len(engine.requests)
    check(zones_used(site, "during", site.daemons) == {"z1", "z3"}, "the zone got lookups")
    check(len(site.read_all(site.daemons[1], 60, "queue", timeout=40)) == 60, "the step ends")
    check(len(engine.requests) == begun, "the engine of the zone got items that had waited")
    stream.join()
    check(answers == [200], "the running stream goes on: %s" % answers)
    site.store.put("op/version/m", {"model": "m", "version": 2})
    until(lambda: engine.orders, "an engine of the zone is still told to load weights")
    site.store.remove("op/evacuate/z2")
    until(lambda: all(d.last_event("evacuation_ended", "zone=z2") for d in site.daemons), "all hosts know its end", timeout=EVACUATE_S)
    check("z2" in zones_used(site, "after", site.daemons[1:2], 10), "the zone is used again")


def host_without_the_store_keeps_its_evacuations(site):
    """Guards against a host that forgets an evacuation when it loses the store, or keeps one that ended meanwhile."""
    lost = site.daemons[1]
    site.store.put("op/evacuate/z2", {})
    until(lambda: all(d.last_event("zone_evacuated", "zone=z2") for d in site.daemons), "all hosts know it", timeout=EVACUATE_S)
    lost.store_endpoint.refuse = True
    until(lambda: lost.lines("store_lost"), "the host has lost the store")
    for number in range(4):
        check("z2" not in zones_used(site, "lost-%d" % number, [lost], 5), "the zone got lookups")
        time.sleep(1)
    site.store.remove("op/evacuate/z2")
    time.sleep(1)
    check(not lost.last_event("evacuation_ended", "zone=z2"), "the host hears nothing")
    lost.store_endpoint.refuse = False
    until(lambda: lost.last_event("evacuation_ended", "zone=z2"), "it learns of the end")
    check("z2" in zones_used(site, "found", [lost], 10), "the zone is used again")


def requests_are_refused_while_all_allowed_zones_are_evacuated(site):
    """Guards against restricted requests that leave their region, or wait, since its zone is evacuated."""
    restrict(site, 3, all_routes(["r2"]))
    site.store.put("op/evacuate/z2", 1)
    until(lambda: all(d.last_event("zone_evacuated", "zone=z2") for d in site.daemons), "all hosts know it", timeout=EVACUATE_S)
    check_refused(send_all_kinds(site, "none", 2))
    check(not served_by([*site.plain, *site.engines], "none"), "a refused request reached a replica")


def address_answers_put_allowed_regions_first(site):
    """Guards against callers that are sent to hosts in regions that their routes do not allow while others are there."""
    def hosts(region):
        by_address = {"%s:%d" % (d.address, d.front_port): d.name for d in site.daemons}
        return [by_address[address] for address in site.addresses(site.daemons[0], region, "z" + region[1:])]

    check(sorted(hosts("r1")) == ["host-0", "host-1", "host-2"], "a region with one host: %s" % hosts("r1"))
    restrict(site, 3, {"open": ["r3"]})
    check(hosts("r1") == ["host-0", "host-2"], "with an allowed region: %s" % hosts("r1"))
    check(hosts("r3")[0] == "host-2" and len(hosts("r3")) == 3, "without a second host: %s" % hosts("r3"))


TESTS = [
    (restricted_requests_stay_in_their_region, PLACES),
    (regions_of_route_and_account_both_apply, PLACES),
    (steps_run_in_their_region, PLACES),
    (steps_are_taken_over_in_their_regions, {**PLACES, "events": 6, "pause": 0.5}),
    (leader_leaves_steps_to_their_regions, {**PLACES, "events": 8, "pause": 0.3}),
    (evacuation_takes_effect_and_ends, PLACES),
    (host_without_the_store_keeps_its_evacuations, {**PLACES, "peers": False}),
    (requests_are_refused_while_all_allowed_zones_are_evacuated, PLACES),
    (address_answers_put_allowed_regions_first, PLACES),
]


if __name__ == "__main__":
    sys.exit(run_tests("allowed_regions", TESTS))
