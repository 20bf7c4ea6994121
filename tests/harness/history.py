"""Histories of callers, and a checker that names the broken guarantees."""

import dataclasses
import http.client
import json
import socket
import threading
import time
import uuid

from harness import client

ACCEPT_S = 7.0
LEAVE_S = 3.0


@dataclasses.dataclass
class Event:
    """One observation. kind is call, use (of a key), withdrawn, seen (keys at
    upstreams), run, sample, order, window, leaving, work, accepted or
    configuration; the other fields depend on it."""

    kind: str
    at: float = 0.0
    end: float = 0.0
    id: str = ""
    outcome: str = ""  # "ok", "cut" or an error code.
    execution: str = ""
    value: object = None
    key: str = ""
    account: str = ""
    host: str = ""
    idempotent: bool = True
    version: int = 0
    draining: bool = False


def check(events):
    """Returns the set of guarantees that the history breaks."""
    by_kind = {}
    for event in events:
        by_kind.setdefault(event.kind, []).append(event)
    broken = set()
    for rule in (_calls, _keys, _samples, _platform, _leaving, _configuration):
        broken |= rule(by_kind)
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
        if use.outcome == "ok" and use.id in withdrawn and use.at > withdrawn[use.id] + ACCEPT_S:
            broken.add("G6")
        if use.outcome == "ok" and use.account not in ("", use.value):
            broken.add("G4")
    if any(seen.version > 0 for seen in by_kind.get("seen", [])):
        broken.add("G5")
    return broken


def _samples(by_kind):
    """A sample event has value (versions named, versions the engines
    reported, newest published version at delivery, bound)."""
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
    fencing = 0
    for order in by_kind.get("order", []):
        if order.version < fencing:
            broken.add("G7")
        fencing = max(fencing, order.version)
    windows = {}
    for window in by_kind.get("window", []):
        if windows.setdefault(window.id, window.value) != window.value:
            broken.add("G8")
    return broken


def _leaving(by_kind):
    leaving = {e.host: e.at for e in by_kind.get("leaving", [])}
    late = [w for w in by_kind.get("work", [])
            if w.host in leaving and w.at > leaving[w.host] + LEAVE_S]
    return {"G12"} if late else set()


def _configuration(by_kind):
    broken = set()
    newest = {}
    for seen in by_kind.get("configuration", []):
        if seen.version < newest.get(seen.host, 0):
            broken.add("G14")
        newest[seen.host] = seen.version
        for accepted in by_kind.get("accepted", []):
            if seen.at > accepted.end + ACCEPT_S and seen.version < accepted.version:
                broken.add("G14")
    return broken


def _closed(sock):
    """Whether the host has closed an idle connection, which HTTP allows."""
    try:
        sock.settimeout(0)
        return sock.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


class Caller:
    """Follows address answers for their lifetime, falls back down the list,
    keeps connections open and records what it sees."""

    ATTEMPT_S = 1.0
    OPERATION_S = 5.0

    def __init__(self, history, seeds, key, zone):
        self.history, self.seeds, self.key, self.zone = history, seeds, key, zone
        self.addresses, self.fresh_until = list(seeds), 0.0
        self.connections = {}

    def locate(self):
        now = time.monotonic()
        if now < self.fresh_until:
            return
        for seed in dict.fromkeys(self.addresses + self.seeds):
            try:
                answer = client.call(seed, "agatetide.v1.Directory/Locate", self.zone, self.key, timeout=0.5)
            except client.CallError:
                continue
            if answer["hosts"]:
                self.addresses = [host["address"] for host in answer["hosts"]]
                # The lifetime counts from before the question was sent.
                self.fresh_until = now + answer["lifetime_ms"] / 1000
                return

    def send(self, host, method, body, request, timeout):
        """One attempt on a kept connection; returns (outcome, execution, value)."""
        connection = self.connections.pop(host, None)
        if connection is not None and _closed(connection.sock):
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

    def operate(self, method, body, idempotent=True, draining=False):
        """Sends one request, and the same one through further hosts while no
        answer is final; returns whether it was answered."""
        request = uuid.uuid4().hex
        started = time.monotonic()
        turn = 0
        while time.monotonic() - started < self.OPERATION_S:
            self.locate()
            host = self.addresses[turn % len(self.addresses)]
            turn += 1
            at = time.monotonic()
            outcome, execution, value = self.send(host, method, body, request, self.ATTEMPT_S)
            self.history.append(Event("call", at, time.monotonic(), request, outcome, execution, value,
                                      key="done /" + method if outcome == "ok" else "", host=host,
                                      idempotent=idempotent, draining=draining))
            if outcome == "ok":
                return True
            if outcome == "unreachable":
                self.fresh_until = 0
            elif outcome not in ("timeout", "cut", "unavailable", "data_loss", "outcome_unknown"):
                return False
            time.sleep(0.02)
        return False


class Load:
    """Urgent lookups from each availability zone while a block runs."""

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
            answered = caller.operate(spec["method"], spec["body"], draining=draining)
            self.results.append((at, time.monotonic(), answered))
            time.sleep(pause)

    def healed(self):
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
        """(share answered during the fault, after it, longest gap, recovery, text)."""
        over = self.fault_over or time.monotonic()

        def share(results):
            return sum(r[2] for r in results) / len(results) if results else 1.0

        during = share([r for r in self.results if r[0] <= over])
        after = share([r for r in self.results if r[0] > over])
        ends = sorted(end for _, end, answered in self.results if answered)
        gap = max((b - a for a, b in zip([self.started, *ends], ends)), default=0.0)
        late = [end for at, end, answered in self.results if at > over and not answered]
        recovery = max(late) - over if late else 0.0
        text = (f"lookups {len(self.results)} answered during {during:.2%} after {after:.2%} "
                f"longest gap {gap:.2f} s recovery {recovery:.2f} s")
        return during, after, gap, recovery, text
