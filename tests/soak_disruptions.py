"""Disruptions of the soak that hit one write, one pool of connections, or one request.

The methods are those of a soak (see soak.py): they use its site, its random numbers and
its notes of which daemon is disturbed.
"""

import base64
import http.client
import json
import threading
import time

from harness.partition import silence_connections

KEY = {"Authorization": "Bearer key-a"}
# Kinds of writes whose answers are lost, by the prefix of their first key.
WRITES = ["step-log/", "step/", "step-items/", "live/", "usage"]
# Floods that are no answer at all, so that no sample can contain them.
FLOODS = ["no-protocol", "head-lines", "head-value", "interim", "length", "chunk-size", "chunk-extension", "trickle"]
# Readers of a host that keep connections to the store open, for this long.
READERS, FILL_S = 12, 2
# A host that is frozen for longer is taken over.
FREEZE_S = 4.5
LONG_STEP_ITEMS = 500
MAX_JOB_BYTES = 12000000
TENANT_OF_OTHERS = "victim"
SMUGGLED = ("x\r\nContent-Length: 0\r\n\r\nPOST /open/9 HTTP/1.1\r\nHost: h\r\nAttempt-Id: smuggled-%d\r\n"
            "Tenant: " + TENANT_OF_OTHERS + "\r\nContent-Length: 0\r\n\r\n")
LONG_TEXT = "y" * 20000


def hostile_items(number):
    """Returns items with text that would be syntax in a request to a replica, each in another field."""
    def item(path="/step/x/1", name="Note", value="v", group="g"):
        return {"id": "soak-hostile-%d" % number, "path": path, "headers": {"Model": "m", name: value},
                "body": base64.b64encode(b"prompt").decode(), "tokens": 10, "group": group}

    smuggled = SMUGGLED % number
    return [item(value=smuggled), item(name="A: b\r\nTenant"), item(name="Tenant "), item(path="/step/x/1 HTTP/1.1\r\nA: b"),
            item(path="/step/x/1 /open/9"), item(path="/step/x/\x00"), item(name="\u00fcber"), item(value=LONG_TEXT + "\n"),
            {**item(), "scorer": {"id": "soak-score-%d" % number, "host": "h", "path": "/a" + smuggled, "body": ""}}]


class Disruptions:
    """What a soak disturbs beside restarts, freezes and cuts."""

    # Writes at the store

    def lose_answers(self):
        """A share of the answers to one kind of write is lost, at one host or at all."""
        kind, share = self.random.choice(WRITES[:2] * 3 + WRITES), self.random.uniform(0.1, 0.5)
        daemons = self.site.daemons if self.random.random() < 0.5 else [self.pick()]

        def loses_answer(path, body):
            return (path == "/kv-txn" and any(w["key"].startswith("agatetide/" + kind) for w in body["writes"])
                    and self.random.random() < share)

        for daemon in daemons:
            daemon.store_endpoint.loses_answer = loses_answer
            self.disturbed_at[daemon.address].append(time.monotonic())
        self.sleep(0.5, 3)
        for daemon in daemons:
            daemon.store_endpoint.loses_answer = None
            self.disturbed_at[daemon.address].append(time.monotonic())

    def delay_writes(self):
        """Claims and appends of one host get no answer and are executed seconds later."""
        daemon, late_s = self.pick(), self.random.uniform(0.5, 3)

        def delays_call(path, body):
            is_step = path == "/kv-txn" and any(w["key"].startswith("agatetide/step") for w in body["writes"])
            return late_s if is_step and self.random.random() < 0.3 else None

        daemon.store_endpoint.delays_call = delays_call
        self.disturbed_at[daemon.address].append(time.monotonic())
        self.sleep(0.5, 2)
        daemon.store_endpoint.delays_call = None
        self.disturbed_at[daemon.address].append(time.monotonic() + late_s)

    # Connections

    def fill_pools(self):
        """Lets hosts open as many connections to the store as many waiting readers need."""
        end = time.monotonic() + FILL_S
        name = self.steps[-1] if self.steps else "soak-step-0"

        def read(daemon):
            while time.monotonic() < end:
                try:
                    daemon.call("GET", "/lots/%s?after=5" % name, headers={**KEY, "Wait-Ms": "500"})
                except (OSError, http.client.HTTPException):
                    pass
                time.sleep(0.1)

        readers = [threading.Thread(target=read, args=(d,), daemon=True) for d in self.site.daemons for _ in range(READERS)]
        for reader in readers:
            reader.start()
        for reader in readers:
            reader.join()

    def silence(self):
        """Open connections go silent for good: to the store, between hosts, to replicas, or all of them."""
        kinds = self.random.choice([{"store"}, {"store"}, {"hosts"}, {"replicas"}, {"store", "hosts", "replicas"}])
        if "store" in kinds and self.random.random() < 0.5:
            self.fill_pools()
        if "store" in kinds:
            acknowledges = self.random.random() < 0.5
            for daemon in self.site.daemons:
                daemon.store_endpoint.silence_open_connections(acknowledges)
        if "hosts" in kinds:
            processes = [d.process for d in self.site.daemons if d.process.poll() is None]
            silence_connections(processes, [d.peer_port for d in self.site.daemons])
        if "replicas" in kinds:
            for replica in [*self.site.plain, *self.site.engines]:
                replica.server.partition.silence_established()
        for daemon in self.site.daemons:
            self.disturbed_at[daemon.address].append(time.monotonic())
        if self.random.random() < 0.7:
            self.sleep(0.5, 1.5)
            self.report_draining()

    def report_draining(self):
        """Lets a replica tell the store alone that it leaves, and start again later."""
        replica = self.random.choice([self.site.plain[0], self.site.plain[1]])
        with self.lock:
            if replica.says_leaving or replica.state != "ready":
                return
            replica.state = "draining"
        replica.register()
        acknowledged_at, born = time.monotonic(), replica.born
        self.sleep(9, 11)
        if replica.born == born:
            self.drained.append((replica, acknowledged_at, time.monotonic()))
            replica.start_again()

    # Hosts

    def freeze_and_kill(self):
        """Freezes the host of a long step until another one takes it over, then kills that one."""
        name = "soak-long-%d" % self.random.randrange(10 ** 6)
        first = self.acquire()
        if first is None:
            return
        try:
            accepted = self.site.submit(first, name, items=LONG_STEP_ITEMS) == 202
        except (OSError, http.client.HTTPException):
            accepted = False
        if accepted:
            self.long_steps.append(name)
        owner = next((d for d in self.site.daemons if any("step=%s " % name in line for line in d.lines("step_submitted"))), first)
        if owner is not first:
            self.release(first)
            if not self.acquire_this(owner):
                return
        self.stop_and_continue(owner, FREEZE_S, FREEZE_S + 1)
        second = next((d for d in self.site.daemons if d is not owner and
                       any("step=%s " % name in line for line in d.lines("step_taken_over"))), None)
        self.release(owner)
        if second is not None and self.acquire_this(second):
            self.sleep(0, 4)
            self.kill_and_start(second)
            self.release(second)

    # Requests

    def submit_hostile_text(self):
        """Submits jobs with hostile text at all hosts; each is refused, and its error names the field."""
        number = self.random.randrange(10 ** 6)
        for item in hostile_items(number):
            sound = {**hostile_items(number)[0], "id": "soak-beside-%d" % number, "headers": {"Model": "m"}}
            job = {"step": 0, "model": "m", "minVersion": 1, "desired": 1, "items": [sound, item]}
            try:
                status = self.pick().call("POST", "/step/soak-hostile", json.dumps(job),
                                          {"Attempt-Id": "soak-hostile-job-%d" % number, **KEY})[0]
            except (OSError, http.client.HTTPException):
                continue
            if status == 202:
                self.accepted_hostile.append(item)

    def submit_large_job(self):
        """Submits a job of megabytes until it is accepted or the faults end."""
        name, size = "soak-large-%d" % self.random.randrange(10 ** 6), self.random.randrange(10 ** 6, MAX_JOB_BYTES)
        body = base64.b64encode(b"p" * (size // 24)).decode()
        job = json.dumps({"step": 0, "model": "m", "minVersion": 1, "desired": 1, "items": [
            {"id": "%s-item-%d" % (name, i), "path": "/step/x/%d" % i, "headers": {"Model": "m", "Length-Hint": "64"},
             "body": body, "tokens": 10, "group": "g"} for i in range(24)]})
        while self.running():
            try:
                if self.pick().call("POST", "/step/" + name, job, {"Attempt-Id": name, **KEY}, timeout=15)[0] == 202:
                    self.large_steps.append(name)
                    return
            except (OSError, http.client.HTTPException):
                pass
            self.sleep(0.2, 1)

    def flood(self):
        """A replica sends bytes without end in place of answers."""
        replica = self.random.choice([*self.site.plain, *self.site.engines])
        replica.flood = self.random.choice(FLOODS)
        self.sleep(0.3, 1.5)
        replica.flood = None
