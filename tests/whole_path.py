"""Drives the whole path once and prints one "ok" line for each part."""

import argparse
import pathlib
import signal
import sys
import tempfile
import time
import uuid

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from harness import client  # noqa: E402
from harness.deployment import PLATFORM, Deployment, wait_until  # noqa: E402


def lookup(deployment):
    """A caller asks any daemon for addresses and gets a whole answer there."""
    spec = deployment.spec["lookup"]
    key = deployment.keys[spec["account"]]
    zone = deployment.spec["zones"][1]
    caller = client.Caller(deployment.daemons[0]["callers"], key, zone["availability_zone"], zone["region"])
    addresses = caller.locate()
    started = time.monotonic()
    answer = client.call(addresses[0], spec["method"], spec["body"], key)
    assert answer["result"], answer
    took = (time.monotonic() - started) * 1000
    return f"answered by {addresses[0]} of {len(addresses)} in {took:.1f} ms"


def booking_once(deployment):
    """A non-idempotent call sent twice with one id through two hosts runs once."""
    spec = deployment.spec["booking"]
    key = deployment.keys[spec["account"]]
    request_id = uuid.uuid4().hex
    first, second = deployment.daemons[0]["callers"], deployment.daemons[-1]["callers"]
    answers = [client.call(host, spec["method"], spec["body"], key, request_id) for host in (first, second)]
    services = [r["address"] for r in deployment.replicas if r["kind"] == "service"]
    runs = sum(client.get_json(s, "/seen")["runs"].get(request_id, 0) for s in services)
    assert runs == 1, f"{runs} runs"
    assert answers[0] == answers[1], answers
    return f"sent to 2 hosts, ran {runs} time"


def collect_step(deployment, prompts=4, samples=4, tokens=32, enough=3, host=None):
    """Runs one trainer step; returns (samples by index, seconds)."""
    spec = deployment.spec["trainer"]
    key = deployment.keys[spec["account"]]
    host = host or deployment.daemons[1]["callers"]
    origin = {"model": spec["model"], "prompts": [f"prompt {i}" for i in range(prompts)],
              "samples_per_prompt": samples, "max_tokens": tokens, "enough_per_prompt": enough}
    started = time.monotonic()
    step = client.call(host, "agatetide.v1.Rollout/StartStep", origin, key, uuid.uuid4().hex)
    have, complete = {}, False
    while not complete and time.monotonic() - started < 60:
        answer = client.call(host, "agatetide.v1.Rollout/Collect",
                             {"step": step["step"], "have": list(have), "wait_ms": 2000}, key)
        for sample in answer["samples"]:
            assert sample["index"] not in have, "delivered twice"
            have[sample["index"]] = sample
        complete = answer["complete"]
    assert complete, f"{len(have)} samples"
    return have, time.monotonic() - started


def trainer_step(deployment):
    """A step's samples arrive and each names its weight versions."""
    have, took = collect_step(deployment)
    assert all(sample["weight_versions"] for sample in have.values())
    versions = sorted({v for sample in have.values() for v in sample["weight_versions"]})
    return f"{len(have)} samples in {took:.2f} s, weight versions {','.join(versions)}"


def step_takeover(deployment):
    """The owner of a step dies; the trainer goes on through another daemon,
    gets each sample once, and another account with the handle gets none of them."""
    spec = deployment.spec["trainer"]
    key = deployment.keys[spec["account"]]
    other = next(k for name, k in deployment.keys.items()
                 if name not in (spec["account"], "operators"))
    owner, next_host = deployment.daemons[1], deployment.daemons[4]["callers"]
    origin = {"model": spec["model"], "prompts": ["a", "b", "c", "d"], "samples_per_prompt": 32, "max_tokens": 400}
    step = client.call(owner["callers"], "agatetide.v1.Rollout/StartStep", origin, key, uuid.uuid4().hex)["step"]
    have = {}

    def collect(host, wait=2000):
        request = {"step": step, "have": list(have), "wait_ms": wait, "origin": origin}
        answer = client.call(host, "agatetide.v1.Rollout/Collect", request, key)
        for sample in answer["samples"]:
            assert sample["index"] not in have, "delivered twice"
            assert sample["weight_versions"], "no weight version"
            have[sample["index"]] = sample
        return answer["complete"]

    collect(next_host)
    before = len(have)
    deployment.kill(owner["name"])
    stolen = client.call(next_host, "agatetide.v1.Rollout/Collect",
                         {"step": step, "wait_ms": 0, "origin": {**origin, "prompts": ["x"]}}, other)
    assert not stolen["samples"], "another account got samples"
    started = time.monotonic()
    while not collect(next_host):
        assert time.monotonic() - started < 60, f"{len(have)} samples"
    took = time.monotonic() - started
    assert sorted(have) == list(range(128)), f"{len(have)} samples"
    client.call(next_host, "agatetide.v1.Rollout/CancelStep", {"step": step}, other)
    deployment.restart(owner["name"])
    deployment.wait_ready()
    return f"128 samples, {before} before the owner died, the rest {took:.2f} s after"


def step_cancel(deployment):
    """A cancel through another daemon stops the engines' work for the step."""
    spec = deployment.spec["trainer"]
    key = deployment.keys[spec["account"]]
    origin = {"model": spec["model"], "prompts": ["p"], "samples_per_prompt": 512, "max_tokens": 4000}
    step = client.call(deployment.daemons[1]["callers"], "agatetide.v1.Rollout/StartStep",
                       origin, key, uuid.uuid4().hex)["step"]
    time.sleep(1)
    started = time.monotonic()
    client.call(deployment.daemons[4]["callers"], "agatetide.v1.Rollout/CancelStep", {"step": step}, key)
    engines = [r["address"] for r in deployment.replicas if r["kind"] == "engine"]

    def quiet():
        counts = [[client.get_json(e, "/seen")["tokens"] for e in engines] for _ in range(2) if not time.sleep(0.2)]
        return counts[0] == counts[1]

    wait_until(quiet, 10, "engines quiet")
    return f"engines quiet {time.monotonic() - started:.2f} s after the cancel"


def weights(deployment):
    """A published version is active on all engines."""
    model = deployment.spec["trainer"]["model"]
    engines = [r["address"] for r in deployment.replicas if r["kind"] == "engine"]
    started = time.monotonic()
    client.put(deployment.daemons[2]["callers"], deployment.operator,
               weights={"model": model, "version": "2", "uri": "weights/2"})

    def active():
        return all(client.get_json(e, "/load").get("weight_version", 0) >= 2 for e in engines)

    wait_until(active, 20, "weights")
    return f"version 2 on {len(engines)} engines in {time.monotonic() - started:.2f} s"


def orders(deployment):
    """An operator's placement reaches the platform as an order."""
    zone = deployment.spec["zones"][0]["availability_zone"]
    upstream = deployment.spec["upstreams"][0]["name"]
    client.put(deployment.daemons[0]["callers"], deployment.operator,
               placement={"upstream": upstream, "availability_zone": zone, "regular": 2, "preemptible": 1})
    took = wait_until(lambda: client.get_json(PLATFORM, "/state")["orders"], 20, "order")
    order = client.get_json(PLATFORM, "/state")["orders"][0]
    return f"sequence {order['sequence']} with fencing number {order['fencing_number']} in {took:.2f} s"


def withdrawn_key(deployment):
    """A withdrawn key is refused by all daemons."""
    spec = deployment.spec["lookup"]
    granted = client.call(deployment.daemons[0]["callers"], "agatetide.v1.Admin/GrantKey",
                          {"account": spec["account"]}, deployment.operator)
    started = time.monotonic()
    client.call(deployment.daemons[3]["callers"], "agatetide.v1.Admin/WithdrawKey",
                {"id": granted["id"]}, deployment.operator)
    refused = 0
    for daemon in deployment.daemons:
        try:
            client.call(daemon["callers"], spec["method"], spec["body"], granted["key"])
        except client.CallError as error:
            refused += error.code == "unauthenticated"
    took = time.monotonic() - started
    assert refused == len(deployment.daemons), f"{refused} daemons refused"
    assert took < 7, took
    return f"refused by {refused} of {len(deployment.daemons)} daemons {took:.2f} s after the request"


def usage(deployment):
    """A usage window is reported once, and no upstream has seen a key."""
    took = wait_until(lambda: client.get_json(PLATFORM, "/state")["usage"], 30, "usage report")
    state = client.get_json(PLATFORM, "/state")
    assert state["conflicting_windows"] == 0, state
    seen = sum(client.get_json(r["address"], "/seen")["keys_seen"] for r in deployment.replicas)
    assert seen == 0, f"{seen} keys seen"
    return f"{len(state['usage'])} windows reported, 0 conflicts, waited {took:.1f} s"


def drain(deployment):
    """SIGTERM leaves the address answers and exits with code 0."""
    daemon = deployment.daemons[-1]
    started = time.monotonic()
    deployment.signal(daemon["name"], signal.SIGTERM)
    code = deployment.processes[daemon["name"]].wait(timeout=40)
    assert code == 0, code
    addresses = client.Caller(deployment.daemons[0]["callers"], "").locate()
    assert daemon["callers"] not in addresses
    return f"exit code 0 in {time.monotonic() - started:.1f} s"


PARTS = [lookup, booking_once, trainer_step, step_takeover, step_cancel, weights, orders, withdrawn_key, usage, drain]


def run_parts(deployment, parts):
    failed = 0
    for part in parts:
        try:
            print(f"ok {part.__name__} {part(deployment)}", flush=True)
        except (AssertionError, TimeoutError, client.CallError, OSError) as error:
            failed += 1
            print(f"FAIL {part.__name__} {type(error).__name__}: {error}", flush=True)
    return failed


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default="ashby", choices=["ashby", "stolvaerkstedet"])
    parser.add_argument("--once", action="store_true")
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        with Deployment(args.deployment, folder) as deployment:
            deployment.configure()
            if args.once:
                return 1 if run_parts(deployment, PARTS) else 0
            run_parts(deployment, PARTS[:-1])
            print_hints(deployment)
            signal.pause()
    return 0


def print_hints(deployment):
    spec = deployment.spec["lookup"]
    print(f"\nThe deployment keeps running; end it with Ctrl-C. Logs are in {deployment.folder}.")
    print(f"  operator key: {deployment.operator}")
    print(f"  {spec['account']} key: {deployment.keys[spec['account']]}")
    print(f"  curl -H 'authorization: Bearer KEY' -H 'content-type: application/json' "
          f"-d '{{}}' http://{deployment.daemons[0]['callers']}/{spec['method']}")


if __name__ == "__main__":
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        sys.exit(0)
