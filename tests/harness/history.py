"""Records what callers observe, and checks such histories for broken guarantees."""

import dataclasses
import http.client
import json
import socket
import threading
import time
import uuid

from harness import client

# Time after which a withdrawn key must be refused, and a configuration change be
# in force, on every host.
PROPAGATION_LIMIT_S = 7.0
# Time after which a leaving upstream must get no new work.
LEAVING_LIMIT_S = 3.0


@dataclasses.dataclass
class Event:
    """One observation. kind is call, use (of a key), withdrawn (a key), seen (keys
    at upstreams), run (of a request at upstreams), sample, order, window (of
    usage), leaving (an upstream), work (at an upstream), accepted (a
    configuration change) or configuration (of a host). The meaning of the other
    fields depends on the kind."""

    kind: str
    at: float = 0.0
    end: float = 0.0
    id: str = ""
    outcome: str = ""  # "ok", "cut", "timeout", "unreachable" or an error code.
    execution: str = ""
    value: object = None
    key: str = ""
    account: str = ""
    host: str = ""
    idempotent: bool = True
    version: int = 0
    draining: bool = False


def check(events):
    """Returns the set of guarantees that the history breaks.

    G1: a sample names exactly the weight versions that produced it.
    G2: a sample is within the staleness bound when it is delivered.
    G3: each sample of a step is delivered at most once.
    G4: a key acts for its own account only.
    G5: no key reaches an upstream.
    G6: a withdrawn key is refused after PROPAGATION_LIMIT_S.
    G7: the fencing tokens of orders never decrease.
    G8: a usage window is always reported with the same figures.
    G9: an answer belongs to its request, and repeated answers of a request that
        is not idempotent are equal.
    G10: a request that was refused as not run did not run.
    G11: a request that is not idempotent runs at most once.
    G12: a leaving upstream gets no new work after LEAVING_LIMIT_S.
    G13: a draining host cuts no request.
    G14: the configuration of a host never goes back, and a change that was
        accepted is in force after PROPAGATION_LIMIT_S.
    """
    by_kind = {}
    for event in events:
        by_kind.setdefault(event.kind, []).append(event)
    broken = set()
    for check_rule in (_calls, _keys, _samples, _platform, _leaving, _configuration):
        broken |= check_rule(by_kind)
    return broken


def _calls(by_kind):
    broken = set()
    runs = {}
    for run in by_kind.get("run", []):
        runs[run.id] = runs.get(run.id, 0) + run.version
    by_id = {}
    for call in by_kind.get("call", []):
        by_id.setdefault(call.id, []).append(call)
    for request, calls in by_id.items():
        answered = [c for c in calls if c.outcome == "ok"]
        answers = [c.value for c in answered]
        if any(c.value is None or (c.key and c.value.get("result") != c.key) for c in answered):
            broken.add("G9")
        if not calls[0].idempotent:
            if runs.get(request, 0) > 1:
                broken.add("G11")
            if any(a != answers[0] for a in answers):
                broken.add("G9")
        if request in runs and all(c.execution == "not_run" for c in calls):
            broken.add("G10")
        if any(c.draining and c.outcome == "cut" for c in calls):
            broken.add("G13")
    return broken


def _keys(by_kind):
    broken = set()
    withdrawn = {w.id: w.end for w in by_kind.get("withdrawn", [])}
    for use in by_kind.get("use", []):
        if use.outcome == "ok" and use.id in withdrawn and use.at > withdrawn[use.id] + PROPAGATION_LIMIT_S:
            broken.add("G6")
        if use.outcome == "ok" and use.account not in ("", use.value):
            broken.add("G4")
    if any(seen.version > 0 for seen in by_kind.get("seen", [])):
        broken.add("G5")
    return broken


def _samples(by_kind):
    """The value of a sample event is (versions named, versions the engines
    reported, newest published version at delivery, staleness bound)."""
    broken = set()
    delivered = set()
    for sample in by_kind.get("sample", []):
        named, reported, newest, bound = sample.value
        if not named or sorted(named) != sorted(reported):
            broken.add("G1")
        if named and min(named) + bound < newest:
            broken.add("G2")
        if (sample.id, sample.version) in delivered:
            broken.add("G3")
        delivered.add((sample.id, sample.version))
    return broken


def _platform(by_kind):
    broken = set()
    highest_fencing_token = 0
    for order in by_kind.get("order", []):
        if order.version < highest_fencing_token:
            broken.add("G7")
        highest_fencing_token = max(highest_fencing_token, order.version)
    windows = {}
    for window in by_kind.get("window", []):
        if windows.setdefault(window.id, window.value) != window.value:
            broken.add("G8")
    return broken


def _leaving(by_kind):
    leaving = {e.host: e.at for e in by_kind.get("leaving", [])}
    late_work = [w for w in by_kind.get("work", [])
                 if w.host in leaving and w.at > leaving[w.host] + LEAVING_LIMIT_S]
    return {"G12"} if late_work else set()


def _configuration(by_kind):
    broken = set()
    newest = {}
    for seen in by_kind.get("configuration", []):
        if seen.version < newest.get(seen.host, 0):
            broken.add("G14")
        newest[seen.host] = seen.version
        for accepted in by_kind.get("accepted", []):
            if seen.at > accepted.end + PROPAGATION_LIMIT_S and seen.version < accepted.version:
                broken.add("G14")
    return broken


def _closed_by_peer(sock):
    """Whether the host has closed an idle connection, as HTTP allows it to."""
    try:
        sock.settimeout(0)
        return sock.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


class Caller:
    """Caller that uses address answers for their lifetime, fails over to the next
    address, keeps connections open and records each attempt."""

    ATTEMPT_S = 1.0
    OPERATION_S = 5.0

    def __init__(self, history, seeds, key, zone):
        self.history, self.seeds, self.key, self.zone = history, seeds, key, zone
        self.addresses, self.addresses_expire_at = list(seeds), 0.0
        self.connections = {}

    def locate(self):
        now = time.monotonic()
        if now < self.addresses_expire_at:
            return
        for seed in dict.fromkeys(self.addresses + self.seeds):
            try:
                answer = client.call(seed, "agatetide.v1.Directory/Locate", self.zone, self.key, timeout=0.5)
            except client.CallError:
                continue
            if answer["hosts"]:
                self.addresses = [host["address"] for host in answer["hosts"]]
                # The lifetime counts from before the lookup was sent.
                self.addresses_expire_at = now + answer["lifetime_ms"] / 1000
                return

    def send(self, host, method, body, request, timeout):
        """Sends one attempt on a kept or new connection; returns (outcome, execution, value)."""
        connection = self.connections.pop(host, None)
        if connection is not None and _closed_by_peer(connection.sock):
            connection.close()
            connection = None
        try:
            if connection is None:
                connection = http.client.HTTPConnection(*host.rsplit(":", 1), timeout=timeout)
                connection.connect()
        except OSError:
            return "unreachable", "not_run", None
        connection.sock.settimeout(timeout)
        try:
            connection.request("POST", "/" + method, json.dumps(body), {
                "content-type": "application/json", "authorization": f"Bearer {self.key}",
                "x-request-id": request, "connect-timeout-ms": str(int(timeout * 1000))})
            response = connection.getresponse()
            decoded = json.loads(response.read() or "{}")
        except TimeoutError:
            connection.close()
            return "timeout", "unknown", None
        except (OSError, http.client.HTTPException, ValueError):
            connection.close()
            return "cut", "unknown", None
        if response.will_close:
            connection.close()
        else:
            self.connections[host] = connection
        if response.status == 200:
            return "ok", "completed", decoded
        return decoded.get("code", "?"), decoded.get("execution", "unknown"), decoded

    def send_until_answered(self, method, body, idempotent=True, draining=False):
        """Sends one request, and again through other hosts with the same id until
        an answer is final; returns whether the request was answered."""
        request = uuid.uuid4().hex
        started = time.monotonic()
        attempt = 0
        while time.monotonic() - started < self.OPERATION_S:
            self.locate()
            host = self.addresses[attempt % len(self.addresses)]
            attempt += 1
            at = time.monotonic()
            outcome, execution, value = self.send(host, method, body, request, self.ATTEMPT_S)
            self.history.append(Event("call", at, time.monotonic(), request, outcome, execution, value,
                                      key="done /" + method if outcome == "ok" else "", host=host,
                                      idempotent=idempotent, draining=draining))
            if outcome == "ok":
                return True
            if outcome == "unreachable":
                self.addresses_expire_at = 0
            elif outcome not in ("timeout", "cut", "unavailable", "data_loss", "outcome_unknown"):
                return False
            time.sleep(0.02)
        return False


class Load:
    """Context manager that sends urgent lookups from each availability zone."""

    def __init__(self, deployment, pause=0.02, draining=False):
        spec = deployment.spec["lookup"]
        seeds = [daemon["callers"] for daemon in deployment.daemons]
        self.history, self.results, self.stop = [], [], threading.Event()
        self.threads = []
        self.fault_over = None
        for index, zone in enumerate(deployment.spec["zones"]):
            caller = Caller(self.history, seeds[index * 3:] + seeds[:index * 3],
                            deployment.keys[spec["account"]], zone)
            self.threads.append(threading.Thread(target=self._run, args=(caller, spec, pause, draining)))

    def _run(self, caller, spec, pause, draining):
        while not self.stop.is_set():
            at = time.monotonic()
            answered = caller.send_until_answered(spec["method"], spec["body"], draining=draining)
            self.results.append((at, time.monotonic(), answered))
            time.sleep(pause)

    def mark_fault_over(self):
        self.fault_over = time.monotonic()

    def __enter__(self):
        self.started = time.monotonic()
        for thread in self.threads:
            thread.start()
        time.sleep(0.3)
        return self

    def __exit__(self, *_):
        self.stop.set()
        for thread in self.threads:
            thread.join()

    def report(self):
        """Returns (share answered during the fault, share answered after it, longest
        time without an answer, time until the last failure after it, text)."""
        fault_end = self.fault_over or time.monotonic()

        def share(results):
            return sum(r[2] for r in results) / len(results) if results else 1.0

        during = share([r for r in self.results if r[0] <= fault_end])
        after = share([r for r in self.results if r[0] > fault_end])
        ends = sorted(end for _, end, answered in self.results if answered)
        gap = max((b - a for a, b in zip([self.started, *ends], ends)), default=0.0)
        failures_after = [end for at, end, answered in self.results if at > fault_end and not answered]
        recovery = max(failures_after) - fault_end if failures_after else 0.0
        text = (f"lookups {len(self.results)} answered during {during:.2%} after {after:.2%} "
                f"longest gap {gap:.2f} s recovery {recovery:.2f} s")
        return during, after, gap, recovery, text
