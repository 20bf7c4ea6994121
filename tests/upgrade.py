"""Replaces daemons of an earlier commit by those of this tree, one after the other, under load and faults.

`upgrade.py COMMIT [SEED]` builds COMMIT from the repository's history, prints "ok upgrade.COMMIT.SEED" or
"FAIL upgrade.COMMIT.SEED reason", and ends with 2 if COMMIT cannot be built.
"""

import argparse
import collections
import os
import pathlib
import shutil
import subprocess
import sys
import threading
import time
import traceback

from harness.site import DAEMON, ROOT, check, config, until
from harness.users_platform import DRAIN_S
from soak import Soak

BUILDS = ROOT / "build/upgrade"
HOSTS = 4
MEMORY_MB = 110
KEY_TIME_S = 5
VERSION_TIME_S = 8
CUT_S = 3
LAST_OUTPUT_LINES = 20


class BuildError(Exception):
    """The earlier program cannot be built."""


def run(command, **options):
    done = subprocess.run(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, errors="replace",
                          check=False, **options)
    if done.returncode != 0:
        raise BuildError("%s failed:\n%s" % (" ".join(command[:2]), "\n".join(done.stdout.splitlines()[-LAST_OUTPUT_LINES:])))
    return done.stdout


def resolve(commit):
    try:
        return run(["git", "rev-parse", "--verify", "--quiet", "--end-of-options", commit + "^{commit}"], cwd=ROOT).strip()
    except BuildError as error:
        raise BuildError("%s is not a commit of this repository" % commit) from error


def build(commit):
    """Returns the daemon of a commit, built in a folder of its own; only the program stays there."""
    folder = BUILDS / commit
    program, source, target = folder / "agatetided", folder / "source", folder / "target"
    if program.exists():
        return program
    try:
        source.mkdir(parents=True, exist_ok=True)
        archive = subprocess.run(["git", "archive", commit], cwd=ROOT, stdout=subprocess.PIPE, check=True).stdout
        subprocess.run(["tar", "-x"], cwd=source, input=archive, check=True)
        # The cache also serves copies of the repository in other folders.
        environment = {**os.environ, "CCACHE_BASEDIR": str(folder), "CCACHE_NOHASHDIR": "1"}
        run(["cmake", "-S", str(source), "-B", str(target), "-G", "Ninja", "-DCMAKE_BUILD_TYPE=RelWithDebInfo",
             "-DCMAKE_CXX_COMPILER_LAUNCHER=ccache", "-DAGATETIDE_TESTS=OFF"], env=environment)
        run(["cmake", "--build", str(target), "--target", "agatetided"], env=environment)
        shutil.copy(target / "agatetided", program)
    except (BuildError, OSError, subprocess.CalledProcessError) as error:
        shutil.rmtree(folder, ignore_errors=True)
        if BUILDS.exists() and not any(BUILDS.iterdir()):
            BUILDS.rmdir()
        raise BuildError("%s does not build: %s" % (commit, error)) from error
    finally:
        shutil.rmtree(source, ignore_errors=True)
        shutil.rmtree(target, ignore_errors=True)
    return program


class Upgrade(Soak):
    """One upgrade: the soak's callers and checks, with changes of builds in place of its faults."""

    def __init__(self, seed, program, replaces):
        super().__init__(seed, HOSTS, program=program)
        self.old, self.replaces = program, replaces
        self.end = float("inf")
        self.crash_from = float("inf")
        self.replace_times, self.notes = [], collections.Counter()
        self.order = list(self.site.daemons)
        self.random.shuffle(self.order)

    def put_config(self, *keys):
        self.config_version += 1
        self.site.store.put("op/config", config(self.config_version, keys))

    def crash_replicas(self):
        while self.running() and time.monotonic() < self.crash_from:
            time.sleep(0.1)
        super().crash_replicas()

    # Changes

    def prepare_logs(self, seed):
        """The earlier program cannot end while its log is full, and obeys no signal that its starter holds back."""
        super().prepare_logs(seed)
        self.memory_mb = MEMORY_MB
        return {"memory_mb": MEMORY_MB}

    def replace(self, daemon, program, kill=False):
        """Ends a daemon and starts another build in its place."""
        if not self.replaces:
            return
        self.busy.add(daemon.name)
        self.disturbed_at[daemon.address].append(time.monotonic())
        started = time.monotonic()
        if kill:
            self.killed_at[daemon.name].append(started)
            daemon.stop()
        else:
            daemon.process.terminate()
            check(daemon.process.wait(10) == 0, "exit code of a planned stop")
        daemon.program = program
        daemon.start()
        self.replace_times.append(time.monotonic() - started)
        self.release(daemon)
        self.sleep(0.3, 1.0)

    def withdraw_key(self):
        self.put_config("key-a", "key-b")

        def all_answer(status):
            return all(self.site.lookup(d, "key", "/keyed/1", Authorization="Bearer key-b")[0] == status for d in self.site.daemons)

        until(lambda: all_answer(200), "the new key works at all hosts", timeout=KEY_TIME_S)
        self.put_config("key-a")
        until(lambda: all_answer(401), "the withdrawn key is refused by all hosts", timeout=KEY_TIME_S)

    def publish_version(self):
        version = 1 + max(e.versions["m"] for e in self.site.engines)
        self.site.store.put("op/version/m", {"model": "m", "version": version})
        until(lambda: all(e.versions["m"] == version for e in self.site.engines), "all engines have version %d" % version,
              timeout=VERSION_TIME_S)

    def leave(self):
        replica = self.site.plain[0]
        replica.drain()
        time.sleep(DRAIN_S + 0.5)
        before = len(replica.requests)
        time.sleep(1)
        check(len(replica.requests) == before, "requests reach a replica that has left")
        replica.start_again()

    def cut_replicas(self, daemon):
        for replica in [*self.site.engines, *self.site.plain]:
            replica.server.partition.cut(daemon.address)
        time.sleep(CUT_S)
        for replica in [*self.site.engines, *self.site.plain]:
            replica.server.partition.heal(daemon.address)

    def cut_store(self, daemon):
        daemon.store_endpoint.refuse = True
        time.sleep(CUT_S)
        daemon.store_endpoint.refuse = False

    def change_builds(self):
        try:
            first, second, third, fourth = self.order
            self.sleep(1, 2)
            self.replace(first, DAEMON)
            self.withdraw_key()
            self.cut_replicas(first)
            self.cut_store(fourth)
            self.replace(second, DAEMON, kill=True)
            self.publish_version()
            self.cut_store(first)
            self.leave()
            self.replace(third, DAEMON)
            self.crash_from = time.monotonic()
            self.replace(third, self.old)
            self.withdraw_key()
            self.replace(third, DAEMON)
            self.publish_version()
            self.replace(fourth, DAEMON)
            self.sleep(1, 2)
        finally:
            self.end = time.monotonic()

    def work(self):
        callers = [lambda n=n: self.send_requests(n) for n in range(8)]
        return [*callers, self.crash_replicas, self.submit_steps, self.submit_steps_twice, self.take_streams_up,
                self.change_builds]

    def run(self):
        summary = super().run()
        total = sum(self.answers.values())
        longest = max(self.replace_times, default=0)
        return "%s; %d of %d requests failed, replaced in %.1f s at most" % (
            summary, total - self.answers[200], total, longest)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("commit")
    parser.add_argument("seed", nargs="?", type=int, default=1)
    parser.add_argument("--without", action="store_true", help="plays the same day without replacing daemons")
    args = parser.parse_args()
    try:
        program = build(resolve(args.commit))
    except BuildError as error:
        print("upgrade: %s" % error, file=sys.stderr)
        return 2
    name = "upgrade.%s.%d" % (args.commit, args.seed)
    upgrade = None
    try:
        upgrade = Upgrade(args.seed, program, not args.without)
        print("ok %s %s" % (name, upgrade.run()), flush=True)
    except Exception as error:  # pylint: disable=broad-except
        print("FAIL %s %s" % (name, error), flush=True)
        traceback.print_exc()
        return 1
    finally:
        if upgrade is not None:
            upgrade.site.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
