"""Runs daemons whose steps change hands while hosts freeze, end, or get no answer to a claim.

Prints "ok NAME" or "FAIL NAME reason" for each test.
"""

import base64
import signal
import sys
import time

from harness.site import check, run_tests, until
from unknown_writes import LOG_PREFIX, submit_and_find_hosts

RECORD_PREFIX = "agatetide/step/"
# A claim whose answer is lost takes effect after this time.
LATE_S = 3.0
TRIES, MODELS = 6, 20
# A host that is frozen for longer is taken over.
TAKEOVER_S = 4


def items_begun(site, step):
    return sum(request[0].startswith(step + "-item") for engine in site.engines for request in list(engine.requests))


def check_runs(site, step, reader, seconds):
    """Checks that items of the step begin, or results appear, within this time."""
    begun, listed = items_begun(site, step), len(site.read(reader, step)["results"])
    until(lambda: items_begun(site, step) > begun or len(site.read(reader, step)["results"]) > listed,
          "the step runs", timeout=seconds)


def owner_name(site, host):
    """Returns the name of a running daemon as records of steps have it."""
    return ("%s#%s" % (host.name, site.store.value("agatetide/live/host/" + host.name)["incarnation"])).encode()


def host_runs_a_step_that_comes_back_to_it(site):
    """Guards against a host that gets a step back, and takes its stopped copy of before for the running step."""
    owner, other = submit_and_find_hosts(site, "step-1", items=40)
    until(lambda: items_begun(site, "step-1"), "items run")
    # The other host becomes the owner, as after a freeze of this one.
    data = base64.b64decode(site.store.items[RECORD_PREFIX + "step-1"]["value"])
    check(owner_name(site, owner) in data, "the record names its owner")
    site.store.put_bytes(RECORD_PREFIX + "step-1", data.replace(owner_name(site, owner), owner_name(site, other)))
    until(lambda: any("reason=superseded" in line for line in owner.lines("step_stopped")), "the owner stops its copy")
    other.stop()
    until(lambda: any("step=step-1 " in line for line in owner.lines("step_taken_over")), "the owner takes it over", timeout=20)
    check_runs(site, "step-1", owner, 6)
    check(len(site.read_all(owner, 40, "step-1", timeout=40)) == 40, "the step ends")


def other_owner(site, step, owner):
    """Freezes the owner of a step until another host has taken it over and listed results; returns that host."""
    owner.process.send_signal(signal.SIGSTOP)
    others = [d for d in site.daemons if d is not owner]

    def has_taken_over(daemon):
        return any("step=%s " % step in line for line in daemon.lines("step_taken_over"))

    until(lambda: any(has_taken_over(d) for d in others), "another host takes it over", timeout=20)
    other = next(d for d in others if has_taken_over(d))
    until(lambda: site.read(other, step)["results"], "it lists results")
    return other


def host_drops_its_old_copy_when_it_claims_the_step(site):
    """Guards against a host that claims a step before it has noticed that it lost it, and goes on with its copy of before."""
    owner, _ = submit_and_find_hosts(site, "step-1", items=60)
    until(lambda: items_begun(site, "step-1"), "items run")
    other = other_owner(site, "step-1", owner)
    claims = []

    def refuses_call(path, call):
        """Keeps the host from reading its record and from appending, until it claims the step."""
        keys = [w["key"] for w in call["writes"]] if path == "/kv-txn" else [call.get("key", "")]
        if path == "/kv-txn" and RECORD_PREFIX + "step-1" in keys:
            claims.append(time.monotonic())
        return not claims and any(key == RECORD_PREFIX + "step-1" or key.startswith(LOG_PREFIX) for key in keys)

    owner.store_endpoint.refuses_call = refuses_call
    other.stop()
    owner.process.send_signal(signal.SIGCONT)
    until(lambda: claims, "the first host claims the step", timeout=20)
    check(len(site.read_all(owner, 60, "step-1", timeout=30)) == 60, "the step ends")
    claimed = next(line for line in owner.lines("step_taken_over") if "step=step-1 " in line)
    late = [line for line in owner.lines("step_stopped") if "reason=superseded" in line and line > claimed]
    check(not late, "the copy from before the claim was stopped after it: %s" % late)


def results_of_another_owner_stay_after_an_end(site):
    """Guards against a host that stops its copy of before, since the step ended, and lists no results of the owner between."""
    owner, _ = submit_and_find_hosts(site, "step-1", items=60)
    until(lambda: items_begun(site, "step-1"), "items run")
    names = {daemon.name: owner_name(site, daemon) for daemon in site.daemons}
    other = other_owner(site, "step-1", owner)
    expected = [r["id"] for r in site.read(other, "step-1")["results"]]
    # The first host claims the step again without knowing it, and a trainer ends it.
    other.stop()
    data = base64.b64decode(site.store.items[RECORD_PREFIX + "step-1"]["value"])
    check(names[other.name] in data and data[-1:] == b"\x00", "the record names the other host, and no end")
    site.store.put_bytes(RECORD_PREFIX + "step-1", data[:-1].replace(names[other.name], names[owner.name]) + b"\x01")
    owner.process.send_signal(signal.SIGCONT)
    until(lambda: any("step=step-1 " in line for line in owner.lines("step_stopped")), "the host stops its copy")
    pages = []
    until(lambda: pages.append(site.read(owner, "step-1")) or sum("status" not in page for page in pages) > 5, "the host lists results")
    for page in pages:
        listed = [r["id"] for r in page["results"]][:len(expected)]
        check("status" in page or listed == expected, "the host lists %s, but %s were read before" % (listed, expected))


def model_of_another_host(site, leader):
    """Returns a model whose steps do not run at the leader."""
    for number in range(MODELS):
        model = "m-%d" % number
        for engine in site.engines:
            engine.versions[model] = 1
            engine.register()
        owner, _ = submit_and_find_hosts(site, "probe-%d" % number, items=1, model=model)
        if owner is not leader:
            return model
    raise AssertionError("all models run at the leader")


def claim_without_an_answer_is_settled(site):
    """Guards against a host that claims a step without an answer, and does not know of it when the claim takes effect."""
    until(lambda: any(d.last_event("leadership", "held=true") for d in site.daemons), "a host leads")
    leader = next(d for d in site.daemons if d.last_event("leadership", "held=true"))
    model = model_of_another_host(site, leader)
    for number in range(TRIES):
        step, claims = "step-%d" % number, []
        owner, _ = submit_and_find_hosts(site, step, items=60, model=model)
        if owner is leader:
            time.sleep(1)  # The other host is not back yet.
            continue

        def is_claim(path, body):
            return path == "/kv-txn" and any(w["key"] == RECORD_PREFIX + step for w in body["writes"])

        def delays_first_claim(path, body):
            if claims or not is_claim(path, body):
                return None
            claims.append(time.monotonic())
            return LATE_S

        for daemon in site.daemons:
            if daemon not in (leader, owner):
                daemon.store_endpoint.delays_call = delays_first_claim
        leader.store_endpoint.refuses_call = is_claim
        owner.process.send_signal(signal.SIGSTOP)
        end = time.monotonic() + TAKEOVER_S
        while not claims and time.monotonic() < end:
            time.sleep(0.02)
        owner.process.send_signal(signal.SIGCONT)
        leader.store_endpoint.refuses_call = None
        if not claims:
            continue  # The leader is the one to take this step over.
        time.sleep(LATE_S + 1)
        check_runs(site, step, leader, 4)
        return
    raise AssertionError("no host but the leader claimed a step")


def read_from_the_start_lists_all_there_is(site):
    """Guards against a host that, once it has read some results of a step, lists no more to readers from the start."""
    _, reader = submit_and_find_hosts(site, "step-1", items=20)
    until(lambda: site.read(reader, "step-1")["results"], "the reader knows of some results")
    until(lambda: len(site.read(reader, "step-1")["results"]) == 20, "the reader lists all")


TESTS = [
    (read_from_the_start_lists_all_there_is, {"daemons": 2, "events": 8, "pause": 0.1}),
    (host_runs_a_step_that_comes_back_to_it, {"daemons": 2, "events": 20, "pause": 0.1}),
    (host_drops_its_old_copy_when_it_claims_the_step, {"daemons": 2, "events": 20, "pause": 0.1}),
    (results_of_another_owner_stay_after_an_end, {"daemons": 2, "events": 20, "pause": 0.1}),
    (claim_without_an_answer_is_settled, {"daemons": 4, "events": 20, "pause": 0.1}),
]


if __name__ == "__main__":
    sys.exit(run_tests("owners_of_steps", TESTS))
