"""A site of the users' platform for tests: doubles of the platform, and daemons."""

import base64
import contextlib
import http.client
import json
import os
import pathlib
import resource
import signal
import subprocess
import sys
import tempfile
import time
import traceback

from harness.log_reader import LogReader
from harness.ports import free_port
from harness.users_platform import PlatformApi, Replica, Store, StoreEndpoint

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
DAEMON = ROOT / "build/release/agatetided"
HOST = "site.example"
WINDOW_S = 1
MAX_ADDRESSES = 64  # in one answer


class Daemon:
    """One daemon process on an entry host of its own, with an IP address of its own."""

    def __init__(self, site, number, listens_for_peers=True, program=DAEMON, memory_mb=None, zone="z1", zones=None,
                 limits=(), log_pipes=False, blocked_signals=()):
        """limits: pairs of a limit of the kernel, as in module resource, and its value; blocked_signals: blocked by the
        starter; with log_pipes, the log is read through a pipe."""
        self.program, self.limits, self.blocked_signals = program, limits, blocked_signals
        zones = zones or {"z1": "r1"}
        self.name, self.store_endpoint = "host-%d" % number, StoreEndpoint(site.store)
        self.address = "127.0.1.%d" % (number + 1)
        self.front_port, self.directory_port, self.ready_port, self.peer_port = (free_port(self.address) for _ in range(4))
        settings = {
            "node": self.name, "ip": self.address, "internalPorts": [self.peer_port, 0] if listens_for_peers else [],
            "zone": zone, "region": zones[zone], "zones": zones,
            "listen": {"front": "%s:%d" % (self.address, self.front_port), "ready": "%s:%d" % (self.address, self.ready_port),
                       "directory": "%s:%d" % (self.address, self.directory_port)},
            "limits": {"maxFds": 1024, **({} if memory_mb is None else {"memoryMb": memory_mb})},
            "bounds": {"revokeMs": 5000, "graceS": 2, "usageWindowS": WINDOW_S, "ttl_max_s": 5},
            "platform": {"address": self.store_endpoint.address}, "cloudApi": {"address": site.platform_api.address}}
        self.folder = tempfile.TemporaryDirectory()
        self.settings_path = pathlib.Path(self.folder.name) / "node.json"
        self.settings_path.write_text(json.dumps(settings))
        self.log = open(pathlib.Path(self.folder.name) / "log", "w+")
        self.log_reader = LogReader(self.log) if log_pipes else None
        self.start()

    def set_limits(self):
        """Runs in the process of the daemon, before its program does."""
        for kind, value in self.limits:
            resource.setrlimit(kind, (value, value))

    def start(self):
        self.launch()
        until(lambda: self.is_ready(), self.name + " is ready", self.process)

    def launch(self):
        """Starts the process, without a wait until it is ready."""
        output = self.log_reader.writer if self.log_reader else self.log
        # The process inherits the mask of this thread.
        mask = signal.pthread_sigmask(signal.SIG_BLOCK, self.blocked_signals)
        try:
            self.process = subprocess.Popen(
                [str(self.program), "--platform-role", "entry"], stdout=output, stderr=output,
                preexec_fn=self.set_limits if self.limits else None,
                env={**os.environ, "AGATETIDE_NODE_FILE": str(self.settings_path), "TMPDIR": self.folder.name})
        finally:
            signal.pthread_sigmask(signal.SIG_SETMASK, mask)

    def is_ready(self):
        try:
            return self.call("GET", "/readyz", port=self.ready_port)[0] == 200
        except OSError:
            return False

    def call(self, method, path, body=None, headers=None, port=None, timeout=8):
        connection = http.client.HTTPConnection(self.address, port or self.front_port, timeout=timeout)
        with contextlib.closing(connection):
            connection.request(method, path, body=body, headers={"Host": HOST, **(headers or {})})
            answer = connection.getresponse()
            return answer.status, answer.read(), dict(answer.getheaders())

    def tail(self):
        """Returns the end of the log."""
        return (pathlib.Path(self.folder.name) / "log").read_text(errors="replace")[-600:]

    def lines(self, event):
        """Returns the log lines with this event."""
        log = (pathlib.Path(self.folder.name) / "log").read_text(errors="replace")
        return [line for line in log.splitlines() if "event=%s " % event in line]

    def peak_memory_mb(self):
        """Returns the largest resident memory of the process so far."""
        status = pathlib.Path("/proc/%d/status" % self.process.pid).read_text()
        return int(next(line for line in status.splitlines() if line.startswith("VmHWM")).split()[1]) / 1024

    def last_event(self, event, field):
        """Returns the last log line with this event that contains field; empty if there is none."""
        return next((line for line in reversed(self.lines(event)) if field in line), "")

    def stop(self, signal_number=signal.SIGKILL):
        self.process.send_signal(signal_number)
        return self.process.wait(10)


def until(condition, description, process=None, timeout=12):
    """Waits until the condition holds; raises AssertionError after the timeout or if the process ends."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if condition():
            return
        if process is not None and process.poll() is not None:
            raise AssertionError("%s: the process ended with %d" % (description, process.returncode))
        time.sleep(0.03)
    raise AssertionError("timed out: " + description)


def config(version=2, keys=("key-a",), **changes):
    route = {"host": HOST, "priority": 2, "maxAttempts": 3, "timeoutMs": 4000, "targetLatencyMs": 500}
    routes = [
        {**route, "name": "open", "pathPrefix": "/open/", "routeType": "idempotent", "service": "plain", "anonymous": True},
        {**route, "name": "once", "pathPrefix": "/once/", "routeType": "non_idempotent", "service": "plain", "anonymous": True},
        {**route, "name": "keyed", "pathPrefix": "/keyed/", "routeType": "idempotent", "service": "plain"},
        {**route, "name": "stream", "pathPrefix": "/stream/", "routeType": "streaming", "service": "engine",
         "resumable": True, "anonymous": True},
        {**route, "name": "step", "pathPrefix": "/step/", "routeType": "rollout", "service": "engine",
         "dueMs": 5000, "retentionS": 40}]
    return {"version": version, "routes": routes, "limits": {"maxHeaderBytes": 4096, "maxBodyBytes": 1000000},
            "services": [{"name": "plain"}, {"name": "engine", "engine": {"slots": 8}}],
            "tenants": [{"name": "acct", "apiKeys": list(keys)}], **changes}


class Site:
    """The test doubles of the platform, replicas and daemons of one test."""

    def __init__(self, daemons=1, plain=2, engines=2, events=4, pause=0.0, peers=True, program=DAEMON, memory_mb=None,
                 zones=None, **options):
        """With zones (region by zone), daemons and replicas are placed in the zones by turns; options: those of Daemon."""
        names = sorted(zones) if zones else ["z1"]
        self.store, self.platform_api = Store(), PlatformApi()
        self.store.put("op/config", config())
        self.plain = [Replica(self.store, "plain-%d" % i, "plain", names[i % len(names)]) for i in range(plain)]
        self.engines = [Replica(self.store, "engine-%d" % i, "engine", names[i % len(names)], {"m": 1}, events, pause)
                        for i in range(engines)]
        self.daemons, self.daemon_options = [], options
        try:
            for i in range(daemons):
                self.daemons.append(Daemon(self, i, peers, program, memory_mb, names[i % len(names)], zones, **options))
            until(lambda: self.lookup(self.daemons[0], "warm")[0] == 200, "the first lookup succeeds")
            # A caller of an unknown region gets the hosts of all regions.
            asks = {"region": "", "zone": ""} if zones else {}
            until(lambda: all(len(self.addresses(d, **asks)) == min(daemons, MAX_ADDRESSES) for d in self.daemons), "all hosts are known")
        except Exception:
            self.close()
            raise

    def addresses(self, daemon, region="r1", zone="z1"):
        target = "/resolve?name=%s&region=%s&zone=%s" % (HOST, region, zone)
        body = daemon.call("GET", target, port=daemon.directory_port)[1]
        return json.loads(body).get("addrs", [])

    def lookup(self, daemon, request_id, path="/open/1", **headers):
        return daemon.call("POST", path, b"question", {"Attempt-Id": request_id, "Timeout-Ms": "3000", **headers})

    def submit(self, daemon, request_id="step-1", items=6, **fields):
        step = {"step": 0, "model": "m", "minVersion": 1, "desired": 1, "items": [
            {"id": "%s-item-%d" % (request_id, i), "path": "/step/x/%d" % i, "headers": {"Model": "m", "Length-Hint": "64"},
             "body": base64.b64encode(b"prompt").decode(), "tokens": 10, "group": "g",
             "scorer": {"id": "%s-score-%d" % (request_id, i), "host": HOST, "path": "/open/score",
                        "body": base64.b64encode(b"score").decode()}} for i in range(items)], **fields}
        return daemon.call("POST", "/step/" + request_id, json.dumps(step),
                           {"Attempt-Id": request_id, "Authorization": "Bearer key-a"})[0]

    def read(self, daemon, request_id="step-1", after=0):
        status, body, _ = daemon.call("GET", "/lots/%s?after=%d" % (request_id, after),
                                      headers={"Authorization": "Bearer key-a", "Wait-Ms": "300"})
        return json.loads(body) if status == 200 else {"status": status, "results": [], "nextToken": after}

    def read_all(self, daemon, total, request_id="step-1", timeout=12):
        results = []

        def read_more():
            results.extend(self.read(daemon, request_id, len(results))["results"])
            return len(results) == total

        until(read_more, "%d results of %s" % (total, request_id), timeout=timeout)
        return results

    def check_tasks(self):
        """Fails if an exception has ended a task or an event handler of a host; a limit of its memory allows bad_alloc."""
        for daemon in self.daemons:
            failed = [line for line in daemon.lines("task_failed")
                      if "std::bad_alloc" not in line or not daemon.limits]
            check(not failed, "%s: %s" % (daemon.name, failed[:2]))

    def close(self):
        for daemon in self.daemons:
            if daemon.process.poll() is None:
                daemon.stop()
            if daemon.log_reader:
                daemon.log_reader.close()
            daemon.log.close()
            daemon.folder.cleanup()


def check(condition, description):
    if not condition:
        raise AssertionError(description)


def run_tests(group, tests):
    """Runs the tests that the command line names, or all; returns the exit code."""
    failed = False
    for test, options in tests:
        if len(sys.argv) > 1 and test.__name__ not in sys.argv[1:]:
            continue
        site = None
        try:
            site = Site(**options)
            test(site)
            site.check_tasks()
            print("ok %s.%s" % (group, test.__name__), flush=True)
        except Exception as error:  # pylint: disable=broad-except
            failed = True
            print("FAIL %s.%s %s" % (group, test.__name__, error), flush=True)
            traceback.print_exc()
        finally:
            if site is not None:
                site.close()
    return 1 if failed else 0
