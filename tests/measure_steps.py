"""Measures rollout steps with the baseline and the current policies in turn.

Prints one JSON line for each run. The capacity bound of a round of steps is the
larger of two times: the tokens of the delivered samples over the sum of slots x
decoding rate of all engines, and the tokens of the longest delivered sample over
the rate of the fastest engine. The list bound is the capacity bound plus the
second time: a scheduler that does not know the lengths may start the longest
sample last.
"""

import argparse
import json
import pathlib
import statistics
import sys
import tempfile
import threading
import time
import uuid

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from harness import client  # noqa: E402
from harness.deployment import PLATFORM, STORE, Deployment  # noqa: E402

SLOTS, DECODE_STEP_MS, TOKENS_PER_DECODE_STEP = 16, 40, 4
SLOW_DECODE_STEP_MS = 200
REGULAR_ENGINES = 3
TRAINERS, PROMPTS, SAMPLES_PER_PROMPT, ENOUGH_PER_PROMPT, MAX_TOKENS, LONG_SAMPLE_INTERVAL = 3, 48, 8, 6, 192, 8
ACTIVATION_PAUSE_MS = 400
# Few enough that the samples a step needs fit the slots of the preemptible engines.
RECLAIM_PROMPTS = 4
BASELINE = {"step_group": "launch_all", "staleness": "at_delivery",
            "weights": "all_at_once", "trainer_upstreams": "any"}
REPETITIONS = 3


class MeasuredDeployment(Deployment):
    """A deployment whose engines have a known speed and produce some long samples."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        engines = [r for r in self.replicas if r["kind"] == "engine"]
        for index, replica in enumerate(engines):
            replica["preemptible"] = index >= REGULAR_ENGINES

    def engines(self):
        return [r for r in self.replicas if r["kind"] == "engine"]

    def start_doubles(self):
        tests = self.build / "tests"
        self.start_process("store", [tests / "double_store", "--listen", STORE])
        self.start_process("platform", [tests / "double_platform", "--listen", PLATFORM])
        for replica in self.replicas:
            command = [tests / "double_service", "--listen", replica["address"]]
            if replica["kind"] == "engine":
                command = [tests / "double_engine", "--listen", replica["address"], "--slots", str(SLOTS),
                           "--step-ms", str(DECODE_STEP_MS), "--long-every", str(LONG_SAMPLE_INTERVAL),
                           "--activate-ms", str(ACTIVATION_PAUSE_MS)]
            self.start_process(replica["address"], command)


class Measurement:
    """Runs trainers, lookups and weight publications, and records their results."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.lock = threading.Lock()
        self.stop = threading.Event()
        self.published = 1
        self.rounds, self.step_times, self.staleness, self.errors = [], [], [], []
        self.delivered = self.duplicates = self.missing_samples = self.mixed_version_samples = 0
        self.lookups = self.lookups_answered = 0
        self.lookup_ms, self.activation_seconds, self.stalls = [], [], []
        self.tokens_per_s = {r["address"]: TOKENS_PER_DECODE_STEP * 1000 / DECODE_STEP_MS for r in deployment.engines()}
        self.tokens_before_restart = {}
        self.all_running = False
        self.prompts = PROMPTS

    def step(self, trainer, number):
        """Runs one step; returns (seconds, tokens, tokens of the longest sample)."""
        spec = self.deployment.spec["trainer"]
        key = self.deployment.keys[spec["account"]]
        daemons = self.deployment.daemons
        host = daemons[trainer % len(daemons)]["callers"]
        origin = {"model": spec["model"], "samples_per_prompt": SAMPLES_PER_PROMPT, "max_tokens": MAX_TOKENS,
                  "prompts": [f"trainer {trainer} step {number} prompt {i}" for i in range(self.prompts)],
                  "enough_per_prompt": ENOUGH_PER_PROMPT}
        started = time.monotonic()
        handle = client.call(host, "agatetide.v1.Rollout/StartStep", origin, key, uuid.uuid4().hex)["step"]
        received, complete = {}, False
        while not complete and time.monotonic() - started < 60:
            before = self.published
            answer = client.call(host, "agatetide.v1.Rollout/Collect",
                                 {"step": handle, "have": list(received), "wait_ms": 2000, "origin": origin}, key)
            with self.lock:
                for sample in answer["samples"]:
                    self.duplicates += sample["index"] in received
                    versions = [int(v) for v in sample["weight_versions"]]
                    self.staleness.append(before - min(versions))
                    self.mixed_version_samples += len(versions) > 1
                    received[sample["index"]] = sample["tokens"]
            complete = answer["complete"]
        self.all_running = False
        took_s = time.monotonic() - started
        groups = [sum(1 for i in received if i // SAMPLES_PER_PROMPT == p) for p in range(self.prompts)]
        with self.lock:
            self.missing_samples += sum(max(0, ENOUGH_PER_PROMPT - g) for g in groups)
            self.delivered += sum(received.values())
            self.step_times.append(took_s)
        return took_s, sum(received.values()), max(received.values(), default=0)

    def run_rounds(self, seconds):
        """Runs rounds until the time is over; in each, all trainers start a step at once."""
        started, number = time.monotonic(), 0
        while time.monotonic() - started < seconds:
            results = [None] * TRAINERS

            def run(trainer, number=number, results=results):
                try:
                    results[trainer] = self.step(trainer, number)
                except (client.CallError, OSError) as error:
                    self.errors.append(str(error))

            threads = [threading.Thread(target=run, args=(t,)) for t in range(TRAINERS)]
            for thread in threads:
                thread.start()
            self.all_running = True
            for thread in threads:
                thread.join()
            done = [r for r in results if r]
            if done:
                capacity = SLOTS * sum(self.tokens_per_s.values())
                bound = max(sum(r[1] for r in done) / capacity,
                            max(r[2] for r in done) / max(self.tokens_per_s.values()))
                longest = max(r[2] for r in done) / max(self.tokens_per_s.values())
                self.rounds.append((max(r[0] for r in done), bound, bound + longest))
            number += 1

    def send_lookups(self):
        spec = self.deployment.spec["lookup"]
        key = self.deployment.keys[spec["account"]]
        host = self.deployment.daemons[0]["callers"]
        while not self.stop.wait(0.1):
            started = time.monotonic()
            self.lookups += 1
            try:
                client.call(host, spec["method"], spec["body"], key, timeout=2)
                self.lookups_answered += 1
                self.lookup_ms.append((time.monotonic() - started) * 1000)
            except (client.CallError, OSError):
                pass

    def engine_tokens(self):
        """Returns the tokens that each engine has generated, also before restarts."""
        tokens = {}
        for engine in self.deployment.engines():
            address = engine["address"]
            try:
                seen = client.get_json(address, "/seen")["tokens"]
            except (OSError, ValueError):
                seen = 0
            tokens[address] = seen + self.tokens_before_restart.get(address, 0)
        return tokens

    def watch_stalls(self):
        """Records the times in which no engine generated a token while all trainers waited."""
        last_total, last_progress = -1, time.monotonic()
        while not self.stop.wait(0.05):
            if not self.all_running:
                last_total, last_progress = -1, time.monotonic()
                continue
            total = sum(self.engine_tokens().values())
            now = time.monotonic()
            if total != last_total:
                if last_total >= 0:
                    self.stalls.append(now - last_progress)
                last_total, last_progress = total, now

    def publish_versions(self, interval):
        """Publishes weight versions and records the seconds until all engines have each."""
        model = self.deployment.spec["trainer"]["model"]
        while not self.stop.wait(interval):
            started = time.monotonic()
            version = self.published + 1
            client.put(self.deployment.daemons[0]["callers"], self.deployment.operator,
                       weights={"model": model, "version": str(version), "uri": f"weights/{version}"})
            self.published = version
            while time.monotonic() - started < 15:
                loads = [client.get_json(e["address"], "/load") for e in self.deployment.engines()]
                if all(load["weight_version"] >= version for load in loads):
                    self.activation_seconds.append(time.monotonic() - started)
                    break
                time.sleep(0.05)
            else:
                self.activation_seconds.append(15.0)

    def reclaim_engines(self, after, notice=2.0, absence=4.0):
        """Stops the preemptible engines of one zone after a notice, and restarts them later."""
        zone = self.deployment.spec["zones"][0]["availability_zone"]
        reclaimed = [e for e in self.deployment.engines() if e["preemptible"] and e["availability_zone"] == zone]
        if self.stop.wait(after):
            return
        for engine in reclaimed:
            client.control(engine["address"], {"leaving": True})
        time.sleep(notice)
        for engine in reclaimed:
            seen = client.get_json(engine["address"], "/seen")["tokens"]
            self.tokens_before_restart[engine["address"]] = seen
            self.deployment.kill(engine["address"])
        self.stop.wait(absence)
        for engine in reclaimed:
            self.deployment.restart(engine["address"])

    def report(self):
        tokens = self.engine_tokens()
        generated = sum(tokens.values())
        preemptible_tokens = sum(tokens[e["address"]] for e in self.deployment.engines() if e["preemptible"])
        bound_ratios = [took_s / bound for took_s, bound, _ in self.rounds]
        list_ratios = [took_s / limit for took_s, _, limit in self.rounds]
        total_bound_s = sum(bound for _, bound, _ in self.rounds)
        idle_s = sum(self.step_times) - TRAINERS * total_bound_s
        return {
            "rounds": len(self.rounds),
            "step_s": round(statistics.mean(self.step_times), 3) if self.step_times else None,
            "bound_s": round(total_bound_s / max(1, len(self.rounds)), 3),
            "step_over_bound": round(statistics.mean(bound_ratios), 3) if bound_ratios else None,
            "worst_step_over_bound": round(max(bound_ratios), 3) if bound_ratios else None,
            "step_over_list_bound": round(statistics.mean(list_ratios), 3) if list_ratios else None,
            "idle_over_bound_s_per_step": round(idle_s / max(1, len(self.step_times)), 3),
            "max_staleness": max(self.staleness, default=None),
            "mixed_versions": self.mixed_version_samples,
            "wasted_share": round(1 - self.delivered / generated, 4) if generated else None,
            "lost": self.missing_samples, "doubled": self.duplicates, "errors": self.errors[:3],
            "cheap_share": round(preemptible_tokens / generated, 3) if generated else None,
            "lookups": self.lookups, "lookups_answered": self.lookups_answered,
            "swap_s": [round(s, 2) for s in self.activation_seconds],
            "longest_stall_ms": round(max(self.stalls, default=0) * 1000),
        }


def run_once(args, policies, scenario):
    settings = {"policies": policies, "log": {"level": "warning"}}
    with tempfile.TemporaryDirectory() as folder:
        with MeasuredDeployment(args.deployment, folder, daemons_per_zone=1, settings=settings) as deployment:
            deployment.configure()
            time.sleep(2)  # Until the duties hold their leases and know the loads.
            run = Measurement(deployment)
            helpers = [threading.Thread(target=run.send_lookups)]
            if scenario == "steps":
                slow = deployment.engines()[-1]["address"]
                client.control(slow, {"step_ms": SLOW_DECODE_STEP_MS})
                run.tokens_per_s[slow] = TOKENS_PER_DECODE_STEP * 1000 / SLOW_DECODE_STEP_MS
            if scenario == "weights":
                helpers.append(threading.Thread(target=run.publish_versions, args=(3.0,)))
                helpers.append(threading.Thread(target=run.watch_stalls))
            if scenario == "reclaim":
                run.prompts = RECLAIM_PROMPTS
                helpers.append(threading.Thread(target=run.reclaim_engines, args=(1.5,)))
            for helper in helpers:
                helper.start()
            run.run_rounds(args.seconds)
            run.stop.set()
            for helper in helpers:
                helper.join()
            time.sleep(0.5)  # Until cancelled streams have ended.
            return run.report()


def make_scenario(name):
    def run(args):
        lines = []
        for repetition in range(getattr(args, "repetitions", REPETITIONS)):
            for label, policies in (("baseline", BASELINE), ("current", {})):
                lines.append({"scenario": name, "policies": label, "repetition": repetition,
                              "deployment": args.deployment, **run_once(args, policies, name)})
                # Printed at once, so that an interrupted measurement keeps its lines.
                getattr(args, "emit", lambda line: None)(lines[-1])
        return lines

    return run


SCENARIOS = {name: make_scenario(name) for name in ("steps", "weights", "reclaim")}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenario", choices=SCENARIOS)
    parser.add_argument("--deployment", default="ashby", choices=["ashby", "stolvaerkstedet"])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--repetitions", type=int, default=REPETITIONS)
    args = parser.parse_args()
    args.emit = lambda line: print(json.dumps(line), flush=True)
    SCENARIOS[args.scenario](args)


if __name__ == "__main__":
    main()
