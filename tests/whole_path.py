"""Starts a deployment, runs end-to-end checks and prints an "ok" or "FAIL" line for each."""

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
    """Guards against address answers that name a host which does not serve the caller."""
    spec = deployment.spec["lookup"]
    key = deployment.keys[spec["account"]]
    zone = deployment.spec["zones"][1]
    caller = client.DirectoryClient(deployment.daemons[0]["callers"], key, zone["availability_zone"], zone["region"])
    addresses = caller.locate()
    started = time.monotonic()
    answer = client.call(addresses[0], spec["method"], spec["body"], key)
    assert answer["result"], answer
    took_ms = (time.monotonic() - started) * 1000
    return f"answered by {addresses[0]} of {len(addresses)} in {took_ms:.1f} ms"


def booking_once(deployment):
    """Guards against a non-idempotent call that runs twice when it is sent through two hosts with one id."""
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
    """Runs one rollout step; returns (samples by index, seconds)."""
    spec = deployment.spec["trainer"]
    key = deployment.keys[spec["account"]]
    host = host or deployment.daemons[1]["callers"]
    origin = {"model": spec["model"], "prompts": [f"prompt {i}" for i in range(prompts)],
              "samples_per_prompt": samples, "max_tokens": tokens, "enough_per_prompt": enough}
    started = time.monotonic()
    step = client.call(host, "agatetide.v1.Rollout/StartStep", origin, key, uuid.uuid4().hex)
    samples_by_index, complete = {}, False
    while not complete and time.monotonic() - started < 60:
        answer = client.call(host, "agatetide.v1.Rollout/Collect",
                             {"step": step["step"], "have": list(samples_by_index), "wait_ms": 2000}, key)
        for sample in answer["samples"]:
            assert sample["index"] not in samples_by_index, "delivered twice"
            samples_by_index[sample["index"]] = sample
        complete = answer["complete"]
    assert complete, f"{len(samples_by_index)} samples"
    return samples_by_index, time.monotonic() - started


def trainer_step(deployment):
    """Guards against samples that are missing or do not name their weight versions."""
    samples_by_index, took_s = collect_step(deployment)
    assert all(sample["weight_versions"] for sample in samples_by_index.values())
    versions = sorted({v for sample in samples_by_index.values() for v in sample["weight_versions"]})
    return f"{len(samples_by_index)} samples in {took_s:.2f} s, weight versions {','.join(versions)}"


def step_takeover(deployment):
    """Guards against lost or repeated samples when the daemon that owns a step is
    killed, and against samples of the step for another account with its id."""
    spec = deployment.spec["trainer"]
    key = deployment.keys[spec["account"]]
    other = next(k for name, k in deployment.keys.items()
                 if name not in (spec["account"], "operators"))
    owner, next_host = deployment.daemons[1], deployment.daemons[4]["callers"]
    origin = {"model": spec["model"], "prompts": ["a", "b", "c", "d"], "samples_per_prompt": 32, "max_tokens": 400}
    step = client.call(owner["callers"], "agatetide.v1.Rollout/StartStep", origin, key, uuid.uuid4().hex)["step"]
    samples_by_index = {}

    def collect(host, wait=2000):
        request = {"step": step, "have": list(samples_by_index), "wait_ms": wait, "origin": origin}
        answer = client.call(host, "agatetide.v1.Rollout/Collect", request, key)
        for sample in answer["samples"]:
            assert sample["index"] not in samples_by_index, "delivered twice"
            assert sample["weight_versions"], "no weight version"
            samples_by_index[sample["index"]] = sample
        return answer["complete"]

    collect(next_host)
    before = len(samples_by_index)
    deployment.kill(owner["name"])
    foreign_answer = client.call(next_host, "agatetide.v1.Rollout/Collect",
                                 {"step": step, "wait_ms": 0, "origin": {**origin, "prompts": ["x"]}}, other)
    assert not foreign_answer["samples"], "another account got samples"
    started = time.monotonic()
    while not collect(next_host):
        assert time.monotonic() - started < 60, f"{len(samples_by_index)} samples"
    took_s = time.monotonic() - started
    assert sorted(samples_by_index) == list(range(128)), f"{len(samples_by_index)} samples"
    client.call(next_host, "agatetide.v1.Rollout/CancelStep", {"step": step}, other)
    deployment.restart(owner["name"])
    deployment.wait_ready()
    return f"128 samples, {before} before the owner was killed, the rest {took_s:.2f} s after"


def step_cancel(deployment):
    """Guards against engines that go on with a step that another daemon cancelled."""
    spec = deployment.spec["trainer"]
    key = deployment.keys[spec["account"]]
    origin = {"model": spec["model"], "prompts": ["p"], "samples_per_prompt": 512, "max_tokens": 4000}
    step = client.call(deployment.daemons[1]["callers"], "agatetide.v1.Rollout/StartStep",
                       origin, key, uuid.uuid4().hex)["step"]
    time.sleep(1)
    started = time.monotonic()
    client.call(deployment.daemons[4]["callers"], "agatetide.v1.Rollout/CancelStep", {"step": step}, key)
    engines = [r["address"] for r in deployment.replicas if r["kind"] == "engine"]

    def engines_idle():
        counts = [[client.get_json(e, "/seen")["tokens"] for e in engines] for _ in range(2) if not time.sleep(0.2)]
        return counts[0] == counts[1]

    wait_until(engines_idle, 10, "engines idle")
    return f"engines idle {time.monotonic() - started:.2f} s after the cancel"


def weights(deployment):
    """Guards against a published weight version that does not reach all engines."""
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
    """Guards against an operator's placement that does not reach the platform as an order."""
    zone = deployment.spec["zones"][0]["availability_zone"]
    upstream = deployment.spec["upstreams"][0]["name"]
    client.put(deployment.daemons[0]["callers"], deployment.operator,
               placement={"upstream": upstream, "availability_zone": zone, "regular": 2, "preemptible": 1})
    took_s = wait_until(lambda: client.get_json(PLATFORM, "/state")["orders"], 20, "order")
    order = client.get_json(PLATFORM, "/state")["orders"][0]
    return f"sequence {order['sequence']} with fencing token {order['fencing_number']} in {took_s:.2f} s"


def withdrawn_key(deployment):
    """Guards against a withdrawn key that some daemon still accepts."""
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
    took_s = time.monotonic() - started
    assert refused == len(deployment.daemons), f"{refused} daemons refused"
    assert took_s < 7, took_s
    return f"refused by {refused} of {len(deployment.daemons)} daemons {took_s:.2f} s after the request"


def usage(deployment):
    """Guards against usage windows with conflicting reports, and against keys that reach an upstream."""
    took_s = wait_until(lambda: client.get_json(PLATFORM, "/state")["usage"], 30, "usage report")
    state = client.get_json(PLATFORM, "/state")
    assert state["conflicting_windows"] == 0, state
    seen = sum(client.get_json(r["address"], "/seen")["keys_seen"] for r in deployment.replicas)
    assert seen == 0, f"{seen} keys seen"
    return f"{len(state['usage'])} windows reported, 0 conflicts, waited {took_s:.1f} s"


def drain(deployment):
    """Guards against a stopped daemon that stays in the address answers or exits with an error."""
    daemon = deployment.daemons[-1]
    started = time.monotonic()
    deployment.signal(daemon["name"], signal.SIGTERM)
    code = deployment.processes[daemon["name"]].wait(timeout=40)
    assert code == 0, code
    addresses = client.DirectoryClient(deployment.daemons[0]["callers"], "").locate()
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
