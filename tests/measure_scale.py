"""Measures what coordination costs a daemon as the deployment grows.

Varies one factor at a time with real daemon processes. Prints one JSON line for
each point, and one with a linear fit for each figure of a factor. All replicas
are addresses of a single test double.
"""

import argparse
import json
import os
import pathlib
import re
import statistics
import sys
import tempfile
import threading
import time
import uuid

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from harness import client  # noqa: E402
from harness.deployment import NET, PLATFORM, STORE, Deployment, ready  # noqa: E402

ZONES = [{"availability_zone": f"zone-{i}", "region": f"region-{i % 3}"} for i in range(8)]
BASE = {"daemons": 9, "replicas": 18, "accounts": 8, "changes_per_minute": 0}
POINTS = {
    "daemons": [3, 9, 18, 32, 48],
    "replicas": [18, 300, 600, 1200],
    "accounts": [8, 200, 400],
    "changes_per_minute": [0, 30, 120],
    # Daemons again, with 60 changes a minute, to measure the time until a change
    # is accepted, that is, in force on all daemons.
    "daemons_changing": [3, 9, 18, 32, 48],
}


def point_of_factor(factor, value):
    if factor == "daemons_changing":
        return {**BASE, "daemons": value, "changes_per_minute": 60}
    return {**BASE, factor: value}


CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
SETTLE_S = 8


class ScaleDeployment(Deployment):
    """A deployment of the size of a point, without load."""

    def __init__(self, folder, point):
        self.point = point
        super().__init__("ashby", folder, settings={"log": {"level": "info", "path": "unused"},
                                                    "address_lifetime_ms": 10000})

    def _plan_daemons(self, _count_per_zone):
        plan = []
        for index in range(self.point["daemons"]):
            zone = ZONES[index % len(ZONES)]
            host = f"127.{NET}.{index % len(ZONES) + 1}.{index // len(ZONES) + 1}"
            plan.append({"name": f"daemon-{index}", "callers": f"{host}:7000",
                         "daemons": f"{host}:7100", "advertised": f"{host}:7100",
                         "ip": host, "store": STORE, "platform": PLATFORM, **zone})
        return plan

    def _plan_replicas(self):
        return []

    def daemon_settings(self, daemon):
        settings = super().daemon_settings(daemon)
        settings["log"] = {"level": "info", "path": str(self.folder / f"{daemon['name']}.log")}
        return settings

    def configure(self):
        """Stores one upstream with many replica addresses, and the accounts."""
        first = self.daemons[0]["callers"]
        port = 8100
        self.start_process("replicas", [self.build / "tests/double_service", "--listen", f"0.0.0.0:{port}"])
        replicas = [{"address": f"127.{NET}.{100 + i // 250}.{i % 250 + 1}:{port}", **ZONES[i % len(ZONES)]}
                    for i in range(self.point["replicas"])]
        client.put(first, self.operator,
                   upstream={"name": "many", "kind": "KIND_SERVICE", "replicas": replicas})
        for index in range(self.point["accounts"]):
            client.put(first, self.operator, account={"name": f"account-{index}"})

    def read_control_costs(self):
        """Returns the latest cumulative control_cost fields of each daemon."""
        found = {}
        for daemon in self.daemons:
            text = (self.folder / f"{daemon['name']}.log").read_text(errors="replace")
            lines = [line for line in text.splitlines() if "event=control_cost" in line]
            found[daemon["name"]] = {k: int(v) for k, v in re.findall(r"(\w+)=(\d+)(?= |$)", lines[-1])} if lines else {}
        return found


def process_usage(pid):
    """Returns (CPU seconds, resident bytes) of a process."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S, int(fields[21]) * PAGE_BYTES


def write_changes(deployment, per_minute, end, accept_seconds):
    """Writes objects at a fixed rate and records the seconds until each is accepted."""
    while time.monotonic() < end:
        started = time.monotonic()
        client.put(deployment.daemons[0]["callers"], deployment.operator,
                   weights={"model": "m", "version": str(time.time_ns()), "uri": uuid.uuid4().hex})
        accept_seconds.append(time.monotonic() - started)
        time.sleep(max(0.0, 60 / per_minute - (time.monotonic() - started)))


def measure(point, seconds):
    with tempfile.TemporaryDirectory() as folder, ScaleDeployment(folder, point) as deployment:
        deployment.configure()
        time.sleep(SETTLE_S)
        pids = {d["name"]: deployment.processes[d["name"]].pid for d in deployment.daemons}
        before = {name: process_usage(pid) for name, pid in pids.items()}
        costs_before = deployment.read_control_costs()
        store_before = client.get_json(STORE, "/stats")
        started = time.monotonic()
        accept_seconds = []
        if point["changes_per_minute"]:
            writer = threading.Thread(target=write_changes, args=(
                deployment, point["changes_per_minute"], started + seconds, accept_seconds))
            writer.start()
            writer.join()
        time.sleep(max(0.0, started + seconds - time.monotonic()))
        elapsed_s = time.monotonic() - started
        after = {name: process_usage(pid) for name, pid in pids.items()}
        costs_after = deployment.read_control_costs()
        store_after = client.get_json(STORE, "/stats")
    # Costs are logged every 5 s, so the interval between two lines is a multiple
    # of 5 s.
    logged_s = max(5.0, 5.0 * round(elapsed_s / 5.0))
    cpu_percent = [(after[n][0] - before[n][0]) / elapsed_s * 100 for n in pids]
    bytes_per_s = [(costs_after[n].get("bytes_sent", 0) - costs_before[n].get("bytes_sent", 0)) / logged_s for n in pids]
    return {
        **point,
        "cpu_percent_mean": round(statistics.mean(cpu_percent), 3),
        "cpu_percent_max": round(max(cpu_percent), 3),
        "rss_mb_max": round(max(after[n][1] for n in pids) / 1e6, 1),
        "bytes_per_s_mean": round(statistics.mean(bytes_per_s)),
        "bytes_per_s_max": round(max(bytes_per_s)),
        "store_reads_per_s": round((store_after["reads"] - store_before["reads"]) / elapsed_s, 2),
        "store_writes_per_s": round((store_after["writes"] - store_before["writes"]) / elapsed_s, 2),
        "accepted_s_max": round(max(accept_seconds), 3) if accept_seconds else None,
    }


def measure_outage(daemons):
    """Counts the daemons that are ready while the store is down, every 4 s."""
    with tempfile.TemporaryDirectory() as folder, \
            ScaleDeployment(folder, {**BASE, "daemons": daemons}) as deployment:
        deployment.configure()
        time.sleep(SETTLE_S)
        client.control(STORE, {"down": True})
        counts = []
        for _ in range(5):
            time.sleep(4)
            counts.append(sum(ready(daemon["callers"]) for daemon in deployment.daemons))
    return {"daemons": daemons, "ready_each_4_s_of_store_outage": counts}


def fit(xs, ys):
    """Fits a line by least squares; returns (intercept, slope, largest residual)."""
    mean_x, mean_y = statistics.mean(xs), statistics.mean(ys)
    sum_of_squares = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / sum_of_squares
    intercept = mean_y - slope * mean_x
    return intercept, slope, max(abs(y - intercept - slope * x) for x, y in zip(xs, ys))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--factor", choices=[*POINTS, "outage"])
    args = parser.parse_args()
    if args.factor in (None, "outage"):
        for daemons in POINTS["daemons"]:
            print(json.dumps(measure_outage(daemons)), flush=True)
    for factor, values in POINTS.items():
        if args.factor and factor != args.factor:
            continue
        rows = []
        for value in values:
            rows.append(measure(point_of_factor(factor, value), args.seconds))
            print(json.dumps(rows[-1]), flush=True)
        names = ["accepted_s_max"] if rows[0]["changes_per_minute"] else []
        for name in names + ["cpu_percent_mean", "cpu_percent_max", "rss_mb_max", "bytes_per_s_mean",
                                     "bytes_per_s_max", "store_reads_per_s", "store_writes_per_s"]:
            intercept, slope, residual = fit(values, [row[name] for row in rows])
            print(json.dumps({"factor": factor, "figure": name, "intercept": round(intercept, 4),
                              "slope": round(slope, 6), "largest_residual": round(residual, 4)}), flush=True)


if __name__ == "__main__":
    main()
