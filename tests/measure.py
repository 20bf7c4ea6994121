"""Measures scenarios with real daemons and test doubles on loopback.

Each repetition starts the deployment with the baseline policies and then with
the current ones, so that changes in the state of the machine affect both. The
result is one JSON line for each set of policies; figures are medians over the
repetitions, with the lowest and highest value in "spread".

The test doubles of upstreams simulate the latency between regions: a request
from a daemon of another region waits one round trip before it is served.
Latency between callers and daemons is not simulated.
"""

import argparse
import datetime
import json
import os
import pathlib
import re
import signal
import statistics
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from harness import client  # noqa: E402
from harness.deployment import NET, ROOT, STORE, Deployment, reachable, wait_until  # noqa: E402

BASELINE = {"queue": "fifo", "replica_choice": "round_robin", "concurrency": "fixed", "headroom": "none",
            "hedging": "none", "retry_budget": "none", "ejection": "none", "addresses": "static"}
POLICIES = {"baseline": BASELINE, "current": {}}

SERVICE_MS = 60
SERVICE_SLOTS = 8
LOOKUP_TIMEOUT_MS = 2000
WARMUP_S = 2.0
# Arrival rates of flows, in requests per second; that of the flooding account is a
# multiple of the service's capacity.
QUIET_RATE = 25.0
BACKGROUND_RATE = 6.0
FLOOD_CAPACITY_RATIO = 1.5
OVERHEAD_RATE = 200.0
ECHO = f"127.{NET}.0.12:2400"
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    """Returns the CPU time of a process, user and system, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mb(pid):
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status)[1]) / 1024


def peer_bytes(deployment):
    """Returns the bytes that all daemons sent to each other, from the last total in each log."""
    total = 0
    for daemon in deployment.daemons:
        log = (deployment.folder / f"{daemon['name']}.log").read_text(errors="replace")
        found = re.findall(r"peer_bytes_sent=(\d+)", log)
        if not found:
            return None
        total += int(found[-1])
    return total


def run_plan(deployment, flows, args, warmup=WARMUP_S):
    """Runs the load client; returns its report with the CPU time and memory of the daemons."""
    plan = {"seed": args.seed, "seconds": args.seconds, "warmup_s": warmup, "flows": flows}
    pids = {d["name"]: deployment.processes[d["name"]].pid for d in deployment.daemons}
    before = {name: cpu_seconds(pid) for name, pid in pids.items()}
    store_before = client.get_json(STORE, "/stats")
    started = time.monotonic()
    load = subprocess.run([deployment.build / "tests/load_client"], input=json.dumps(plan), text=True,
                          stdout=subprocess.PIPE, check=True, timeout=args.seconds + warmup + 60)
    elapsed_s = time.monotonic() - started
    store_after = client.get_json(STORE, "/stats")
    report = json.loads(load.stdout)
    report["store_calls_per_s"] = sum(store_after[k] - store_before[k] for k in ("reads", "writes")) / elapsed_s
    report["daemons"] = {name: {"processor_share": round((cpu_seconds(pid) - before[name]) / elapsed_s, 4),
                                "resident_mb": round(resident_mb(pid), 1)} for name, pid in pids.items()}
    return report


def stop_daemons(deployment):
    """Stops the daemons with SIGTERM, so that they log their totals."""
    for daemon in deployment.daemons:
        deployment.signal(daemon["name"], signal.SIGTERM)
    for daemon in deployment.daemons:
        deployment.processes[daemon["name"]].wait(timeout=20)


def create_deployment(args, policies, daemons_per_zone=1, double_options=None):
    """Returns a deployment, not started, whose upstreams serve at a known rate."""
    folder = tempfile.mkdtemp(prefix="agatetide-measure-")
    settings = {"policies": policies, "log": {"level": args.log_level}, "address_lifetime_ms": 100, "drain_time_ms": 3000}
    spec = json.loads((ROOT / "deploy" / args.deployment / "deployment.json").read_text())
    region_ms = str(int(2 * spec["latency_ms"]["region"]))
    options = double_options or {
        "double_service": ["--service-ms", str(SERVICE_MS), "--slots", str(SERVICE_SLOTS), "--region-ms", region_ms],
        "double_engine": ["--region-ms", region_ms]}
    deployment = Deployment(args.deployment, folder, daemons_per_zone, settings=settings, double_options=options)
    base_settings = deployment.daemon_settings

    def daemon_settings(daemon):
        settings = base_settings(daemon)
        settings["log"]["path"] = str(deployment.folder / f"{daemon['name']}.log")
        return settings

    deployment.daemon_settings = daemon_settings
    return deployment


def capacity_per_s(deployment, upstream):
    """Returns how many requests per second the replicas of a plain service can serve."""
    replicas = sum(1 for r in deployment.replicas if r["upstream"] == upstream)
    return replicas * SERVICE_SLOTS * 1000 / SERVICE_MS


def lookup_upstream(deployment):
    method = deployment.spec["lookup"]["method"]
    return next(r["upstream"] for r in deployment.spec["routes"] if r["method"] == method)


def caller_accounts(deployment):
    """Returns the accounts that send lookups; the last one overloads the service in broadcast."""
    return [a for a in deployment.spec["accounts"]
            if not a.get("operator_role") and not a["name"].endswith("trainer")]


def lookup_flow(deployment, account, rate, label):
    spec = deployment.spec["lookup"]
    return {"label": label, "account": account, "method": spec["method"], "body": spec["body"],
            "key": deployment.keys[account], "hosts": [d["callers"] for d in deployment.daemons],
            "rate": rate, "timeout_ms": LOOKUP_TIMEOUT_MS}


def background_flow(deployment):
    spec = deployment.spec["background"]
    return {"label": "background/others", "account": spec["account"], "method": spec["method"], "body": spec["body"],
            "key": deployment.keys[spec["account"]], "hosts": [d["callers"] for d in deployment.daemons],
            "rate": BACKGROUND_RATE, "timeout_ms": 20000}


def quiet_flows(deployment):
    """Returns urgent lookups of all accounts but the last at a low rate, and background work."""
    flows = [lookup_flow(deployment, a["name"], QUIET_RATE, "urgent/others") for a in caller_accounts(deployment)[:-1]]
    return [*flows, background_flow(deployment)]


def broadcast_flows(deployment):
    flooding = caller_accounts(deployment)[-1]["name"]
    rate = FLOOD_CAPACITY_RATIO * capacity_per_s(deployment, lookup_upstream(deployment))
    return [*quiet_flows(deployment), lookup_flow(deployment, flooding, rate, "urgent/flooding")]


def fair_shares(offered, weights, total):
    """Returns the weighted max-min fair shares of a capacity by account."""
    shares, unsatisfied, remaining = {}, dict(offered), total
    while unsatisfied:
        share_per_weight = remaining / sum(weights[name] for name in unsatisfied)
        satisfied = [name for name, rate in unsatisfied.items() if rate <= share_per_weight * weights[name]]
        if not satisfied:
            shares.update({name: share_per_weight * weights[name] for name in unsatisfied})
            break
        for name in satisfied:
            shares[name] = unsatisfied.pop(name)
            remaining -= shares[name]
    return shares


def lowest_fair_share_ratio(deployment, report, seconds):
    """Returns (account, ratio) with the lowest ratio of goodput of lookups to the fair share."""
    lookups = [f for f in report["flows"] if f["label"].startswith("urgent")]
    weights = {a["name"]: a.get("weight", 1) for a in deployment.spec["accounts"]}
    offered = {f["account"]: f["sent"] / seconds for f in lookups}
    shares = fair_shares(offered, weights, capacity_per_s(deployment, lookup_upstream(deployment)))
    ratios = {f["account"]: f["answered"] / seconds / shares[f["account"]] for f in lookups if shares[f["account"]]}
    return min(ratios.items(), key=lambda item: item[1])


def measure_lookups_once(args, policies, make_flows, prepare=None):
    """Starts the deployment and runs the flows; returns (figures, details) of one repetition."""
    deployment = create_deployment(args, policies)
    with deployment:
        deployment.configure()
        if prepare:
            prepare(deployment)
        report = run_plan(deployment, make_flows(deployment), args)
        stop_daemons(deployment)
        report["peer_bytes"] = peer_bytes(deployment)
    account, ratio = lowest_fair_share_ratio(deployment, report, args.seconds)
    refused = {}
    for flow in report["flows"]:
        for kind, count in flow["refused"].items():
            name = f"{flow['label']} {kind}"
            refused[name] = refused.get(name, 0) + count
    sent = sum(f["sent"] for f in report["flows"] if f["label"] == "urgent/others")
    answered = sum(f["answered"] for f in report["flows"] if f["label"] == "urgent/others")
    shares = [d["processor_share"] for d in report["daemons"].values()]
    figures = {"worst_served_ratio": ratio, "store_calls_per_s": report["store_calls_per_s"],
               "peer_bytes": report["peer_bytes"], "urgent_others_answered": answered / sent if sent else None,
               "daemon_processor_share": max(shares),
               "daemon_resident_mb": max(d["resident_mb"] for d in report["daemons"].values())}
    for label, times in report["labels"].items():
        for key in ("p50_ms", "p99_ms", "p999_ms"):
            figures[f"{label} {key}"] = times[key]
    return figures, {"refused": refused, "worst_served_account": account, "daemons": report["daemons"]}


def summarize(name, policy, args, repetitions):
    """Returns the medians and the spread of the figures over the repetitions."""
    line = {"scenario": name, "policies": policy, "deployment": args.deployment, "seed": args.seed,
            "seconds": args.seconds, "repetitions": len(repetitions),
            "date": datetime.datetime.now(datetime.timezone.utc).date().isoformat(),
            "load_average": round(os.getloadavg()[0], 1), "figures": {}, "spread": {}}
    for key in sorted({key for figures, _ in repetitions for key in figures}):
        values = [figures[key] for figures, _ in repetitions if figures.get(key) is not None]
        if values:
            line["figures"][key] = round(statistics.median(values), 4)
            line["spread"][key] = [round(min(values), 4), round(max(values), 4)]
    line["details"] = [details for _, details in repetitions]
    return line


def measure_interleaved(name, args, measure_once):
    """Repeats a scenario, alternating between the baseline and the current policies."""
    results = {policy: [] for policy in POLICIES}
    for _ in range(args.repetitions):
        for policy, settings in POLICIES.items():
            results[policy].append(measure_once(args, settings))
    return [summarize(name, policy, args, repetitions) for policy, repetitions in results.items()]


def quiet(args):
    """Urgent lookups of several accounts at a low rate, and background work."""
    return measure_interleaved("quiet", args, lambda a, p: measure_lookups_once(a, p, quiet_flows))


def broadcast(args):
    """The quiet load and a flood of lookups from one account."""
    return measure_interleaved("broadcast", args, lambda a, p: measure_lookups_once(a, p, broadcast_flows))


def slow_replica(args):
    """The quiet load while one replica takes ten times as long as the others."""
    def prepare(deployment):
        replica = next(r for r in deployment.replicas if r["upstream"] == lookup_upstream(deployment))
        client.control(replica["address"], {"service_ms": 10 * SERVICE_MS})

    return measure_interleaved("slow_replica", args, lambda a, p: measure_lookups_once(a, p, quiet_flows, prepare))


def measure_direct_and_via_daemon(deployment, args):
    """Sends the same lookups directly to a replica and through the daemon of its region."""
    spec = deployment.spec["lookup"]
    daemon = deployment.daemons[0]
    replica = next(r for r in deployment.replicas
                   if r["upstream"] == lookup_upstream(deployment) and r["region"] == daemon["region"])
    via_daemon = lookup_flow(deployment, spec["account"], OVERHEAD_RATE, "through the daemon")
    via_daemon["hosts"] = [daemon["callers"]]
    direct = {**via_daemon, "label": "direct", "hosts": [replica["address"]], "key": ""}
    return run_plan(deployment, [direct, via_daemon], args)["labels"]


def requests_per_core(pid, flow, args):
    """Returns the requests per second of CPU time of one process, under a closed loop."""
    before = cpu_seconds(pid)
    plan = {"seed": args.seed, "seconds": args.seconds, "warmup_s": 0.0, "flows": [{**flow, "closed": 16}]}
    load = subprocess.run([ROOT / "build/release/tests/load_client"], input=json.dumps(plan), text=True,
                          stdout=subprocess.PIPE, check=True, timeout=args.seconds + 60)
    return json.loads(load.stdout)["flows"][0]["answered"] / (cpu_seconds(pid) - before)


def measure_overhead_once(args, policies):
    """Measures the latency that the daemon adds, and its requests per core relative to an echo server."""
    options = {"double_service": ["--service-ms", "0", "--slots", "1000"]}
    deployment = create_deployment(args, policies, double_options=options)
    with deployment:
        deployment.configure()
        deployment.start_process("echo", [deployment.build / "tests/double_echo", "--listen", ECHO])
        wait_until(lambda: reachable(ECHO, "/"), 10, "echo")
        labels = measure_direct_and_via_daemon(deployment, args)
        daemon = deployment.daemons[0]
        flow = lookup_flow(deployment, deployment.spec["lookup"]["account"], 0.0, "closed")
        flow["hosts"] = [daemon["callers"]]
        served = requests_per_core(deployment.processes[daemon["name"]].pid, flow, args)
        echoed = requests_per_core(deployment.processes["echo"].pid, {**flow, "hosts": [ECHO], "key": ""}, args)
    via_daemon, direct = labels["through the daemon"], labels["direct"]
    figures = {f"added {key}": via_daemon[key] - direct[key] for key in ("p50_ms", "p99_ms", "p999_ms")}
    figures.update({f"direct {key}": direct[key] for key in ("p50_ms", "p99_ms")})
    figures.update({"requests_per_core": served, "echo_requests_per_core": echoed, "share_of_echo": served / echoed})
    return figures, {}


def overhead(args):
    """The overhead of the daemon: added latency, and requests per core."""
    return measure_interleaved("overhead", args, measure_overhead_once)


SCENARIOS = {"quiet": quiet, "broadcast": broadcast, "slow_replica": slow_replica, "overhead": overhead}
try:
    from measure_steps import SCENARIOS as STEP_SCENARIOS
    SCENARIOS.update(STEP_SCENARIOS)
except ImportError:
    pass


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenario", choices=sorted(SCENARIOS))
    parser.add_argument("--deployment", default="ashby", choices=["ashby", "stolvaerkstedet"])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--repetitions", type=int, default=3)
    parser.add_argument("--log-level", default="info", choices=["debug", "info"])
    args = parser.parse_args()
    for line in SCENARIOS[args.scenario](args):
        print(json.dumps(line), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
