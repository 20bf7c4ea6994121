"""Drives agatetidectl against a running deployment."""

import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from harness import client  # noqa: E402
from harness.deployment import ROOT, Deployment  # noqa: E402
from whole_path import run_parts  # noqa: E402

PROGRAM = ROOT / "build/release/agatetidectl"
DONE, FAILED, USAGE, NOT_PERMITTED, CONFLICT, UNAVAILABLE, DIFFERS = 0, 1, 2, 3, 4, 5, 7


def start(deployment, *arguments, key=None, host=0):
    environment = dict(os.environ, AGATETIDE_KEY=key or deployment.operator,
                       AGATETIDE_HOST=deployment.daemons[host]["callers"])
    return subprocess.Popen([PROGRAM, *arguments], env=environment, text=True,
                            stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=subprocess.PIPE)


def finish(process, expected):
    """Returns (standard output, standard error) after checking the exit code."""
    stdout, stderr = process.communicate(timeout=60)
    assert process.returncode == expected, f"exit code {process.returncode}, not {expected}: {stdout}{stderr}"
    return stdout, stderr


def ctl(deployment, *arguments, expected=DONE, **options):
    return finish(start(deployment, *arguments, **options), expected)


def find_object(deployment, command, name):
    stdout, _ = ctl(deployment, command, "list", "--json")
    found = [item for item in json.loads(stdout)["objects"] if item["object"].endswith("/" + name)]
    return found[0] if found else None


def objects(deployment):
    """Guards against a put that resets fields that it does not name."""
    ctl(deployment, "accounts", "put", "guests", "weight=2.5")
    ctl(deployment, "accounts", "put", "guests", "operator_role=no")
    account = find_object(deployment, "accounts", "guests")["value"]["account"]
    assert account["weight"] == 2.5, account
    stdout, _ = ctl(deployment, "accounts")
    assert "guests" in stdout and stdout.startswith("VERSION"), stdout
    ctl(deployment, "placements", "put", "report-api@midlands-a", "regular=3")
    assert find_object(deployment, "placements", "report-api@midlands-a")["value"]["placement"]["regular"] == 3
    ctl(deployment, "staleness", "put", "repair", "max_versions=2")
    ctl(deployment, "weights", "put", "repair", "version=3", "uri=weights/3")
    ctl(deployment, "routes", "put", "ashby.v1.Defects/Find", "request_class=urgent")
    assert find_object(deployment, "routes", "ashby.v1.Defects/Find")["value"]["route"]["upstream"] == "report-api"
    ctl(deployment, "accounts", "delete", "guests")
    assert find_object(deployment, "accounts", "guests") is None
    ctl(deployment, "accounts", "delete", "guests", expected=FAILED)
    return "5 kinds put, listed and deleted"


def race(deployment):
    """Guards against concurrent puts of two operators that silently overwrite each other."""
    version = str(find_object(deployment, "accounts", "office")["version"])
    puts = [start(deployment, "accounts", "put", "office", f"weight={2 + index}",
                  "--expected-version", version, host=host) for index, host in enumerate((0, -1))]
    results = [(process.communicate(timeout=60)[1], process.returncode) for process in puts]
    assert sorted(code for _, code in results) == [DONE, CONFLICT], results
    winner = [code for _, code in results].index(DONE)
    assert find_object(deployment, "accounts", "office")["value"]["account"]["weight"] == 2 + winner
    message = results[1 - winner][0]
    assert "--expected-version" in message and "another operator" in message, message
    ctl(deployment, "accounts", "put", "office", "weight=9", "--expected-version", "0", expected=CONFLICT)
    return "one of two puts won, the other failed with a remedy"


def caller_key(deployment):
    """Guards against operator commands that accept a caller's key or an unknown key."""
    caller = deployment.keys["inspectors"]
    for arguments in (["accounts", "list"], ["accounts", "put", "x"], ["keys", "grant", "inspectors"],
                      ["status"], ["usage"], ["drain", "replica", "x"]):
        ctl(deployment, *arguments, key=caller, expected=NOT_PERMITTED)
    ctl(deployment, "status", key="ak_none_00", expected=NOT_PERMITTED)
    assert find_object(deployment, "accounts", "x") is None
    return "refused with exit code 3"


def keys(deployment):
    """Guards against a key rotation after which no key or still the old key is valid."""
    method, body = deployment.spec["lookup"]["method"], deployment.spec["lookup"]["body"]
    old = deployment.keys["inspectors"]
    process = start(deployment, "keys", "rotate", "inspectors", "--withdraw-after", "2", "--json")
    new = json.loads(process.stdout.readline())["key"]
    for key in (old, new):
        client.call(deployment.daemons[1]["callers"], method, body, key)
    finish(process, DONE)
    ctl(deployment, "call", method, json.dumps(body), key=old, expected=NOT_PERMITTED)
    ctl(deployment, "call", method, json.dumps(body), key=new, host=2)
    stdout, stderr = ctl(deployment, "keys", "rotate", "inspectors", "--json")
    assert "keys withdraw" in stderr, stderr
    ctl(deployment, "keys", "withdraw", json.loads(stdout)["id"])
    stdout, _ = ctl(deployment, "keys", "list")
    assert new.split("_", 2)[2] not in stdout
    deployment.keys["inspectors"] = new
    with tempfile.NamedTemporaryFile("w") as file:
        file.write(new + "\n")
        file.flush()
        ctl(deployment, "call", method, json.dumps(body), "--key-file", file.name, key="ak_none_00")
    return "both keys worked until the old one was withdrawn"


def schema(deployment):
    """Guards against loading a schema that is invalid or lacks a routed method."""
    folder = pathlib.Path(deployment.folder)
    same, reduced, bad = folder / "ashby.proto", folder / "less.proto", folder / "bad.proto"
    same.write_text(deployment.schema)
    reduced.write_text(deployment.schema.replace("rpc FileReport(FileReportRequest) returns (Answer);", ""))
    bad.write_text("syntax = \"proto3\"; message {")
    ctl(deployment, "schema", "diff", same)
    stdout, _ = ctl(deployment, "schema", "check", same)
    assert "ashby.v1.Defects/Find" in stdout, stdout
    stdout, _ = ctl(deployment, "schema", "diff", reduced, "--name", "ashby.proto", expected=DIFFERS)
    assert stdout.startswith("- ashby.v1.Defects/FileReport"), stdout
    _, stderr = ctl(deployment, "schema", "load", reduced, "--name", "ashby.proto", expected=FAILED)
    assert "--force" in stderr, stderr
    _, stderr = ctl(deployment, "schema", "check", bad, expected=FAILED)
    assert "bad.proto:1:" in stderr, stderr
    ctl(deployment, "schema", "load", same)
    return "check, diff and load, removal of a routed method refused"


def drain(deployment):
    """Guards against a drained replica or zone that still gets new work."""
    method, body = deployment.spec["lookup"]["method"], deployment.spec["lookup"]["body"]
    replicas = [r for r in deployment.replicas if r["upstream"] == "report-api"]
    zone = replicas[0]["availability_zone"]
    zone_addresses = [r["address"] for r in replicas if r["availability_zone"] == zone]
    ctl(deployment, "drain", "replica", zone_addresses[0])
    ctl(deployment, "drain", "zone", "report-api", zone)

    def count_calls():
        return sum(sum(client.get_json(a, "/seen")["runs"].values()) for a in zone_addresses)

    before = count_calls()
    for host in deployment.daemons:
        for _ in range(4):
            client.call(host["callers"], method, body, deployment.keys["inspectors"])
    assert count_calls() == before, f"{count_calls() - before} calls"
    stdout, _ = ctl(deployment, "status", "--json")
    leaving = [r["address"] for r in json.loads(stdout)["replicas"] if r["leaving"]]
    assert sorted(leaving) == sorted(zone_addresses), leaving
    ctl(deployment, "drain", "zone", "report-api", zone, "--undo")
    ctl(deployment, "drain", "replica", "127.0.0.1:1", expected=FAILED)
    return f"{len(zone_addresses)} replicas got none of {4 * len(deployment.daemons)} calls"


def status(deployment):
    """Guards against missing hosts, leases, addresses or usage in the output."""
    stdout, _ = ctl(deployment, "status")
    assert all(daemon["callers"] in stdout for daemon in deployment.daemons), stdout
    assert "relay/" in stdout and "quarantined" in stdout, stdout
    stdout, _ = ctl(deployment, "watch", "--count", "2", "--interval", "0", "--json")
    hosts = [json.loads(line)["hosts"] for line in stdout.splitlines()]
    assert len(hosts) == 2 and len(hosts[0]) == len(deployment.daemons)
    stdout, _ = ctl(deployment, "locate", "--zone", deployment.spec["zones"][2]["availability_zone"])
    assert deployment.daemons[-1]["availability_zone"] in stdout.splitlines()[1], stdout
    started = time.monotonic()
    while "inspectors" not in ctl(deployment, "usage", "--windows", "5")[0]:
        assert time.monotonic() - started < 30, "no usage"
        time.sleep(0.5)
    return f"{len(hosts[0])} hosts"


def command_line(deployment):
    """Guards against wrong exit codes, keys in arguments, and missing help or completion."""
    ctl(deployment, "nonsense", expected=USAGE)
    ctl(deployment, "accounts", "put", "a", "wieght=1", expected=USAGE)
    ctl(deployment, "accounts", "put", "a", "weight=heavy", expected=USAGE)
    ctl(deployment, "status", "--key", "ak_x", expected=USAGE)
    ctl(deployment, "status", "--host", "127.0.0.1:1", expected=UNAVAILABLE)
    ctl(deployment, "status", "--host", "127.0.0.1:1," + deployment.daemons[0]["callers"])
    stdout, _ = ctl(deployment, "--help")
    commands = [line.split()[0] for line in stdout.splitlines() if line.startswith("  ")]
    for command in commands:
        stdout, _ = ctl(deployment, command, "--help")
        assert "--json" in stdout and "Exit codes" in stdout, stdout
    script, _ = ctl(deployment, "completion", "bash")
    command = script + "\nCOMP_WORDS=(agatetidectl keys ro); COMP_CWORD=2; _agatetidectl; echo ${COMPREPLY[@]}"
    done = subprocess.run(["bash", "-c", command], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "rotate", done.stdout
    return f"{len(commands)} commands"


PARTS = [objects, race, caller_key, keys, schema, drain, status, command_line]


def main():
    with tempfile.TemporaryDirectory() as folder:
        with Deployment("ashby", folder, daemons_per_zone=1) as deployment:
            deployment.configure()
            return 1 if run_parts(deployment, PARTS) else 0


if __name__ == "__main__":
    sys.exit(main())
