"""Runs groups of checks; the last line of the output has the totals."""

import argparse
import pathlib
import re
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
GROUP_TIMEOUT_S = 900
SOAK_SEEDS = 5
# The commit from which the upgrade group starts.
UPGRADE_FROM = ROOT / "tests/upgrade-from.txt"


def run(command, timeout=GROUP_TIMEOUT_S):
    """Runs a command and returns (exit code, output)."""
    done = subprocess.run(
        command,
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        errors="replace",
        timeout=timeout,
        check=False,
    )
    return done.returncode, done.stdout


def read_known_failures():
    """Returns the names of tests that are listed as failing because of a known fault."""
    if not KNOWN_RED.exists():
        return set()
    names = re.findall(r"^test: *(\S+)", KNOWN_RED.read_text(), re.MULTILINE)
    return set(names)


def single_check(name, command):
    """Runs a group that counts as one check."""
    code, output = run(command)
    if code != 0:
        print(output)
    return [(name, code == 0)]


def lint(_args):
    return single_check("lint", ["scripts/lint"])


def unit(_args):
    results = []
    for program in sorted((ROOT / "build/release").glob("test_*")):
        if not program.is_file():
            continue
        code, output = run([str(program), "--jobs", "4"])
        totals = re.search(r"Tested: (\d+) \| Passing: (\d+)", output)
        if totals is None:
            print(output)
            results.append((program.name, False))
            continue
        tested, passing = int(totals[1]), int(totals[2])
        if code != 0:
            print(output)
        results += [(program.name, True)] * passing
        results += [(program.name, False)] * (tested - passing)
    return results


def line_checks(command, timeout=GROUP_TIMEOUT_S):
    """Runs a group whose program prints "ok NAME ..." or "FAIL NAME ..." lines."""
    code, output = run(command, timeout)
    print(output, end="")
    results = [
        (line.split()[1], line.startswith("ok "))
        for line in output.splitlines()
        if line.startswith(("ok ", "FAIL ")) and len(line.split()) > 1
    ]
    if code != 0 and all(passed for _, passed in results):
        results.append((command[1] if len(command) > 1 else command[0], False))
    return results


def script(name):
    """Returns a group that runs a script of tests."""
    return lambda _args: line_checks(["/usr/bin/python3", "tests/%s.py" % name])


def soak(args):
    """Runs a few seeds of the soak, each with its own faults."""
    seeds = [str(args.seed + i) for i in range(SOAK_SEEDS)]
    return line_checks(["/usr/bin/python3", "tests/soak.py", *seeds])


def faults(args):
    return line_checks(["/usr/bin/python3", "tests/faults.py", "--seed", str(args.seed)])


def upgrade(args):
    """Plays one upgrade from an earlier commit, if the history holds it."""
    commit = UPGRADE_FROM.read_text().strip()
    if run(["git", "cat-file", "-e", commit + "^{commit}"])[0] != 0:
        print("upgrade: %s is not in the history; not played" % commit)
        return []
    # Most of the time is the build of that commit.
    return line_checks(["/usr/bin/python3", "tests/upgrade.py", commit, str(args.seed)], 2 * GROUP_TIMEOUT_S)


def sanitizers(args):
    """Builds and runs the fuzz program with sanitizers."""
    for command in (["cmake", "--preset", "asan"],
                    ["cmake", "--build", "--preset", "asan", "-j", str(args.jobs), "--target", "fuzz_input"]):
        code, output = run(command)
        if code != 0:
            print(output)
            return [("sanitizers_build", False)]
    # A small quarantine makes freed memory reusable soon, so that the program can
    # measure its growth; an allocation above 64 MiB ends the program.
    options = "ASAN_OPTIONS=quarantine_size_mb=8:max_allocation_size_mb=64"
    return line_checks(["env", options, "build/asan/tests/fuzz_input", str(args.seed)])


GROUPS = {
    "lint": lint,
    "unit": unit,
    "model": script("model"),
    "harness": script("harness_test"),
    "examples": script("examples"),
    "integration": script("integration"),
    "users_platform": script("users_platform"),
    "software_versions": script("software_versions"),
    "planned_stop": script("planned_stop"),
    "process_life": script("process_life"),
    "broken_responses": script("broken_responses"),
    "cut_off_hosts": script("cut_off_hosts"),
    "leaving_replicas": script("leaving_replicas"),
    "allowed_regions": script("allowed_regions"),
    "odd_registrations": script("odd_registrations"),
    "odd_keys": script("odd_keys"),
    "hostile_text": script("hostile_text"),
    "silent_connections": script("silent_connections"),
    "unknown_writes": script("unknown_writes"),
    "owners_of_steps": script("owners_of_steps"),
    "ended_steps": script("ended_steps"),
    "bytes_without_end": script("bytes_without_end"),
    "large_jobs": script("large_jobs"),
    "long_logs": script("long_logs"),
    "untrusted_clients": script("untrusted_clients"),
    "crashing_requests": script("crashing_requests"),
    "soak": soak,
    "upgrade": upgrade,
    "ctl": script("ctl_test"),
    "bad_input": script("bad_input"),
    "faults": faults,
    "sanitizers": sanitizers,
}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("groups", nargs="*", choices=[*GROUPS, []])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4, help="build jobs of the sanitizers group")
    args = parser.parse_args()

    code, output = run(["scripts/build", "release"])
    if code != 0:
        print(output)
        print("0 passed, 1 failed")
        return 1

    known_failures = read_known_failures()
    passed, failed = 0, 0
    for name in args.groups or GROUPS:
        started = time.monotonic()
        results = GROUPS[name](args)
        passed_here = sum(1 for _, result in results if result)
        print(f"group {name}: {passed_here} of {len(results)} in {time.monotonic() - started:.0f} s", flush=True)
        passed += passed_here
        for test, result in results:
            if result:
                continue
            if test in known_failures:
                print(f"known red: {test}")
            else:
                failed += 1
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or passed == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
