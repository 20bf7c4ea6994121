"""Checks the Promela models under spec/ with spin.

Each model is checked once as it is and must hold, then once for each mechanism
that a -D switch removes: there spin must find a violation. Prints one line for
each check.
"""

import concurrent.futures
import dataclasses
import pathlib
import re
import subprocess
import sys
import tempfile
import time

SPEC = pathlib.Path(__file__).resolve().parent.parent / "spec"
WORKERS = 4
MEMORY_LIMIT_MB = 700
CHECK_TIMEOUT_S = 80


@dataclasses.dataclass(frozen=True)
class Check:
    """One run of a model; if removed is set, that switch must cause a violation."""

    name: str
    model: str
    switches: tuple = ()
    removed: str = ""

    def label(self):
        if not self.removed:
            return self.name
        if self.removed.startswith("NO_"):
            return f"{self.name}.without_{self.removed[3:].lower()}"
        return f"{self.name}.with_{self.removed.lower()}"


def checks(name, model, switches, removals):
    """Returns the check of a model with switches, and one check for each removal."""
    result = [Check(name, model, tuple(switches))]
    return result + [Check(name, model, tuple(switches), removed) for removed in removals]


# A switch named NO_X removes mechanism X; the others replace a mechanism by the
# mistake that they name.
CHECKS = [
    *checks(
        "orders", "orders", [],
        ["NO_WAIT", "NO_CHECK", "NO_DRIFT_MARGIN", "NO_COMPARE", "ASSUME_WON", "EXPIRY_FROM_ANSWER"],
    ),
    *checks("orders_fenced", "orders", ["HONOURS", "END=4"], ["NO_FENCING"]),
    *checks(
        "admission", "admission", [],
        ["NO_RECORD", "NO_COMPARE", "NO_NONCE", "ASSUME_CREATED", "NOT_RUN_AFTER_SEND",
         "RUN_WHEN_OWNER_GONE", "RETRY_AFTER_REFUSAL"],
    ),
    *checks(
        "config_write", "config_write", [],
        ["NO_HEAD_COMPARE", "NO_READ_BACK", "NO_CONFLICT_SEARCH", "NO_EXPECTED_VERSION"],
    ),
    *checks(
        "trust", "config_trust", [],
        ["NO_WAIT", "NO_HIGHER", "NO_EXPIRY", "NO_MAJORITY_TO_ACCEPT", "NO_MAJORITY_TO_TRUST", "APPLY_LOWER"],
    ),
    # Safe too: the implementation counts only peers without store contact in a
    # majority, which is stricter than safety needs.
    *checks("trust_any_peer_votes", "config_trust", ["IGNORE_STORE_CONTACT"], []),
    *checks("trust_late_answers", "config_trust", ["DELAY", "T=0"], ["AGE_FROM_RECEIPT"]),
    *checks("trust_restart", "config_trust", ["RESTART", "T=0"], ["NO_ESTABLISHED", "PROOF_BEFORE_START"]),
    *checks("trust_host_removed", "config_trust", ["SETS=1"], ["NO_RETIRED"]),
    *checks("trust_hosts_added", "config_trust", ["SETS=2", "T=0"], ["NO_SERIAL", "TRUST_UNNAMED"]),
    *checks(
        "steps", "steps", [],
        ["NO_STORE_READ", "NO_ADOPTION", "KEEP_OLD_COPY", "NO_CLAIM_SETTLED", "NO_LOG_CHECK", "NO_COMPARE"],
    ),
    *checks(
        "usage", "usage", [],
        ["NO_LEASE", "NO_SEAL", "NO_COMPARE", "ASSUME_SEALED", "RECOUNT_ON_RESEND", "NO_CHECK"],
    ),
]


def find_number(pattern, text):
    found = re.search(pattern, text)
    return found[1] if found else "?"


def run(check, folder):
    """Returns (passed, line). A search that reaches a memory or depth limit does not pass."""
    started = time.monotonic()
    work_folder = pathlib.Path(folder) / check.label()
    work_folder.mkdir()
    switches = [f"-D{switch}" for switch in (*check.switches, check.removed) if switch]
    commands = [
        ["spin", *switches, "-a", str(SPEC / f"{check.model}.pml")],
        ["gcc", "-O1", "-w", "-DSAFETY", "-DBFS", f"-DMEMLIM={MEMORY_LIMIT_MB}", "-o", "pan", "pan.c"],
        ["./pan"],
    ]
    output = ""
    for command in commands:
        done = subprocess.run(
            command, cwd=work_folder, stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
            text=True, errors="replace", timeout=CHECK_TIMEOUT_S, check=False,
        )
        output = done.stdout
        if done.returncode != 0 and command[0] != "./pan":
            return False, f"FAIL {check.label()} {command[0]}: {output.strip()[-300:]}"
    errors = find_number(r"errors: (\d+)", output)
    complete = "Search not completed" not in output
    violated = errors not in ("0", "?") and "assertion violated" in output
    states = find_number(r"(\d+) states, stored", output)
    depth = find_number(r"depth reached (\d+)", output)
    figures = f"states={states} depth={depth} seconds={time.monotonic() - started:.1f}"
    if check.removed:
        verdict = "caught" if violated else "not caught"
        return violated, f"{'ok' if violated else 'FAIL'} {check.label()} {verdict} {figures}"
    passed = errors == "0" and complete
    reason = "holds" if passed else "violated" if violated else "search not completed"
    return passed, f"{'ok' if passed else 'FAIL'} {check.label()} {reason} {figures}"


def main():
    with tempfile.TemporaryDirectory() as folder:
        with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
            # Checks without a removal search the whole state space; they take
            # longest and so start first.
            order = sorted(CHECKS, key=lambda check: bool(check.removed))
            results = list(pool.map(lambda check: run(check, folder), order))
    for _, line in results:
        print(line)
    return 0 if all(passed for passed, _ in results) else 1


if __name__ == "__main__":
    sys.exit(main())
