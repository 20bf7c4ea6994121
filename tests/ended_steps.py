"""Runs daemons whose steps are ended while work of their items is under way.

Prints "ok NAME" or "FAIL NAME reason" for each test.
"""

import sys
import time

from harness.site import check, config, run_tests, until

# Requests of items may reach replicas for this long after the end of their step was acknowledged.
CANCEL_S = 3.0
WORK_S = 6.0


def scoring_calls_end_with_their_step(site):
    """Guards against a second copy of a scoring call that starts long after the end of its step."""
    changed = config(version=3)
    # The copy is sent after 0.6 of the target latency, 3.6 s.
    changed["routes"][0].update(targetLatencyMs=6000, timeoutMs=10000)
    site.store.put("op/config", changed)
    time.sleep(1)
    for replica in site.plain:
        replica.pause, replica.requests, replica.arrivals = WORK_S, [], []
    check(site.submit(site.daemons[0], "step", items=4) == 202, "accepted")
    until(lambda: sum(len(r.requests) for r in site.plain) == 4, "all items are being scored")
    status, _, _ = site.daemons[0].call("DELETE", "/lots/step", headers={"Authorization": "Bearer key-a"})
    acknowledged_at = time.monotonic()
    check(status == 200, "ended")
    time.sleep(WORK_S)
    late = [round(t - acknowledged_at, 1) for r in site.plain for t in r.arrivals if t > acknowledged_at + CANCEL_S]
    check(not late, "scoring calls arrived %s s after the end" % late)


TESTS = [(scoring_calls_end_with_their_step, {"daemons": 1, "plain": 3})]


if __name__ == "__main__":
    sys.exit(run_tests("ended_steps", TESTS))
