"""Starts a deployment: test doubles and daemons as separate processes."""

import hashlib
import json
import os
import pathlib
import signal
import subprocess
import time

from harness import client

ROOT = pathlib.Path(__file__).resolve().parents[2]
BOOTSTRAP_KEY = "ak_bootstrap_0123456789abcdef"
CLUSTER_SECRET = "local-cluster-secret"
# Second octet of all loopback addresses; runs with different values can share
# a machine.
NET = os.environ.get("AGATETIDE_NET", "0")
STORE = f"127.{NET}.0.10:2379"
PLATFORM = f"127.{NET}.0.11:2390"


class Deployment:
    """One deployment as described by deploy/<name>/deployment.json."""

    def __init__(self, name, folder, daemons_per_zone=3, build="release", settings=None,
                 double_options=None, proxy=None):
        self.spec = json.loads((ROOT / "deploy" / name / "deployment.json").read_text())
        self.schema = (ROOT / "deploy" / name / "schema.proto").read_text()
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.build = ROOT / "build" / build
        self.extra_settings = settings or {}
        self.proxy = proxy
        # Additional command line options by program name of the test double.
        self.double_options = double_options or {}
        self.daemons = self._plan_daemons(daemons_per_zone)
        self.replicas = self._plan_replicas()
        self.processes = {}
        self.commands = {}
        self.operator = BOOTSTRAP_KEY
        self.keys = {}
        self.key_ids = {}

    def _plan_daemons(self, count_per_zone):
        plan = []
        for zone_index, zone in enumerate(self.spec["zones"]):
            for index in range(count_per_zone):
                host = f"127.{NET}.{zone_index + 1}.{index + 1}"
                daemon = {"name": f"daemon-{zone_index + 1}-{index + 1}", "callers": f"{host}:7000", "ip": host,
                          "daemons": f"{host}:7100", "advertised": f"{host}:7100",
                          "store": STORE, "platform": PLATFORM, **zone}
                if self.proxy:
                    self._route_through_proxy(daemon, zone_index, index)
                plan.append(daemon)
        return plan

    def _route_through_proxy(self, daemon, zone_index, index):
        """Routes the links of a daemon through the proxy, except those to upstreams."""
        proxy_host = f"127.{NET}.{zone_index + 101}.{index + 1}"
        daemon.update(advertised=f"{proxy_host}:7100", store=f"{proxy_host}:2379", platform=f"{proxy_host}:2390")
        self.proxy.forward(daemon["advertised"], daemon["daemons"], destination=daemon["ip"], udp=True)
        self.proxy.forward(daemon["store"], STORE, source=daemon["ip"], destination="store")
        self.proxy.forward(daemon["platform"], PLATFORM, source=daemon["ip"], destination="platform")

    def _plan_replicas(self):
        plan = []
        for upstream_index, upstream in enumerate(self.spec["upstreams"]):
            for index in range(upstream["replicas"]):
                zone_index = index % len(self.spec["zones"])
                zone = self.spec["zones"][zone_index]
                plan.append({"upstream": upstream["name"], "kind": upstream["kind"],
                             "address": f"127.{NET}.{20 + upstream_index}.{index + 1}:8000",
                             "preemptible": index % 2 == 1, "zone_number": zone_index + 1, **zone})
        return plan

    def start_process(self, name, command):
        log = open(self.folder / f"{name}.out", "ab")
        self.commands[name] = command
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)
        log.close()

    def restart(self, name):
        self.start_process(name, self.commands[name])

    def signal(self, name, signal_number):
        self.processes[name].send_signal(signal_number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def start_doubles(self):
        self.start_process("store", [self.build / "tests/double_store", "--listen", STORE])
        self.start_process("platform", [self.build / "tests/double_platform", "--listen", PLATFORM])
        for replica in self.replicas:
            program = "double_engine" if replica["kind"] == "engine" else "double_service"
            self.start_process(replica["address"],
                               [self.build / "tests" / program, "--listen", replica["address"],
                                "--zone", str(replica["zone_number"]), *self.double_options.get(program, [])])

    def daemon_settings(self, daemon):
        settings = {
            "listen": {"callers": daemon["callers"], "daemons": daemon["daemons"]},
            "advertise": {"daemons": daemon["advertised"]},
            "availability_zone": daemon["availability_zone"],
            "region": daemon["region"],
            "store": [daemon["store"]],
            "platform": daemon["platform"],
            "cluster_secret": CLUSTER_SECRET,
            "bootstrap_key_sha256": hashlib.sha256(BOOTSTRAP_KEY.encode()).hexdigest(),
            "seeds": [other["advertised"] for other in self.daemons],
            "log": {"level": "debug", "path": str(self.folder / f"{daemon['name']}.log")},
            "address_lifetime_ms": 2000,
            "usage_window_ms": 5000,
        }
        settings.update(self.extra_settings)
        return settings

    def start_daemon(self, daemon):
        path = self.folder / f"{daemon['name']}.json"
        path.write_text(json.dumps(self.daemon_settings(daemon), indent=2))
        self.start_process(daemon["name"], [self.build / "agatetided", "--settings", path])

    def start(self):
        self.start_doubles()
        wait_until(lambda: reachable(STORE, "/stats"), 10, "store double")
        for daemon in self.daemons:
            self.start_daemon(daemon)
        self.wait_ready()

    def wait_ready(self, timeout=30):
        for daemon in self.daemons:
            wait_until(lambda d=daemon: ready(d["callers"]), timeout, f"{daemon['name']} ready")

        def all_daemons_alive():
            status = client.call(self.daemons[0]["callers"], "agatetide.v1.Admin/Status", {}, self.operator)
            alive = [host for host in status["hosts"] if host["state"] == "alive"]
            return len(alive) == len(self.daemons)

        wait_until(all_daemons_alive, timeout, "membership")

    def configure(self):
        """Stores schema, accounts, upstreams, routes, staleness bounds and weights, and grants keys."""
        first = self.daemons[0]["callers"]

        def put(**kind):
            client.put(first, self.operator, **kind)

        put(schema={"name": self.spec["schema"], "source": self.schema})
        for account in self.spec["accounts"]:
            put(account=account)
        for upstream in self.spec["upstreams"]:
            replicas = [{"address": r["address"], "availability_zone": r["availability_zone"],
                         "region": r["region"], "preemptible": r["preemptible"], "cost": 1.0}
                        for r in self.replicas if r["upstream"] == upstream["name"]]
            put(upstream={"name": upstream["name"], "kind": "KIND_" + upstream["kind"].upper(),
                          "model": upstream.get("model", ""), "replicas": replicas,
                          "checks_fencing": upstream.get("checks_fencing", False)})
        for route in self.spec["routes"]:
            put(route=route)
        for bound in self.spec["staleness_bounds"]:
            put(staleness_bound=bound)
        for weights in self.spec["weights"]:
            put(weights=weights)
        for account in self.spec["accounts"]:
            self.grant_key(account["name"])

    def grant_key(self, account):
        first = self.daemons[0]["callers"]
        granted = client.call(first, "agatetide.v1.Admin/GrantKey", {"account": account}, self.operator)
        self.keys[account], self.key_ids[account] = granted["key"], granted["id"]
        if any(a["name"] == account and a.get("operator_role") for a in self.spec["accounts"]):
            self.operator = granted["key"]
        return granted

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                try:
                    os.kill(process.pid, signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
        for process in self.processes.values():
            process.wait()

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()


def reachable(address, path):
    try:
        return client.http_request(address, "GET", path, timeout=1)[0] == 200
    except OSError:
        return False


def ready(address):
    return reachable(address, "/readyz")


def wait_until(condition, timeout, description, pause=0.05):
    """Polls until the condition holds; returns the seconds it took or raises TimeoutError."""
    started = time.monotonic()
    last_error = None
    while time.monotonic() - started < timeout:
        try:
            if condition():
                return time.monotonic() - started
        except (client.CallError, OSError) as error:
            last_error = error
        time.sleep(pause)
    raise TimeoutError(f"{description} not reached in {timeout} s: {last_error}")
