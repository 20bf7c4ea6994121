"""The end of a run of the soak: all hosts lose power, and impatient readers read steps again.

The methods are those of a soak (see soak.py), whose site and read results they use.
"""

import concurrent.futures
import http.client
import json
import random
import signal
import time

from harness.site import MAX_ADDRESSES, Daemon, check, until
from soak_disruptions import KEY, LONG_STEP_ITEMS

# Readers allow no wait, leave after this time, and ask another host this often for a page, as the users' readers do.
PATIENCE_S, ATTEMPTS = 1.5, 7
# A host keeps a log that it has read after its reader has left, so each attempt for a page needs a host of its own.
HOSTS = ATTEMPTS + 1
# Pause after an attempt that failed at once.
RETRY_S = 0.2
STEPS, READERS = 8, 4
# Logs of jobs in runs with long results, and the path to the store in these, as between regions.
JOB_ITEMS = 24
LOG_BYTES, SECONDS_PER_MB = (1000000, 3000000), (0.2, 0.5)
SHARE_OF_LONG_RESULTS = 0.5
# A job of the largest size that runs after the faults, since many jobs during faults end early.
LAST_JOB = "soak-job-last"


class End:
    """What a soak does after its other checks, and the long results it prepares for that."""

    def prepare_end(self, seed):
        """Draws whether the run has long results and a long path to the store."""
        # Numbers of its own, so that a seed draws the same disruptions as without this part.
        self.seed, self.end_random = seed, random.Random("end-%d" % seed)
        self.results = {}  # by step: those that were read
        self.attempts = []  # of the reads at the end, as (daemon, status, seconds)
        self.seconds_per_mb = 0
        if self.end_random.random() < SHARE_OF_LONG_RESULTS:
            # Most draws are near the upper end, where a whole log takes longer than readers wait.
            self.seconds_per_mb = self.end_random.triangular(*SECONDS_PER_MB, SECONDS_PER_MB[1])
        for engine in self.site.engines:
            engine.event_bytes = self.size_of_events
        for daemon in self.site.daemons:
            daemon.store_endpoint.seconds_per_mb = self.seconds_per_mb

    def size_of_events(self, request_id):
        """Returns the bytes of each event of a step, from its name or from the id of one of its items."""
        name = request_id.partition("-item-")[0]
        if not self.seconds_per_mb or not name.startswith(("soak-job", "soak-step", "soak-large", "soak-long")):
            return 0
        # Short steps have as long texts as others, and shorter logs.
        items = LONG_STEP_ITEMS if name.startswith("soak-long") else JOB_ITEMS
        log_bytes = LOG_BYTES[1] if name == LAST_JOB else random.Random("%d-%s" % (self.seed, name)).randint(*LOG_BYTES)
        return log_bytes // (items * self.site.engines[0].events)

    def lose_power(self):
        """Kills all daemons at the same moment, and starts them again and others beside them."""
        for daemon in self.site.daemons:
            daemon.process.send_signal(signal.SIGKILL)
        for daemon in self.site.daemons:
            daemon.process.wait(10)
        with concurrent.futures.ThreadPoolExecutor(READERS) as pool:
            list(pool.map(lambda d: d.start(), self.site.daemons))
            first = self.site.daemons[0]
            added = list(pool.map(lambda i: Daemon(self.site, i, program=first.program, memory_mb=self.memory_mb, **self.site.daemon_options),
                                  range(len(self.site.daemons), HOSTS)))
        for daemon in added:
            daemon.store_endpoint.seconds_per_mb = self.seconds_per_mb
        self.site.daemons += added
        count = min(len(self.site.daemons), MAX_ADDRESSES)
        until(lambda: all(len(self.site.addresses(d)) == count for d in self.site.daemons), "all hosts are known again")

    def ask(self, daemon, name, position):
        """Returns a page of results, and the attempt as (daemon, status, seconds)."""
        started, status, body = time.monotonic(), "no answer", b""
        try:
            status, body, _ = daemon.call("GET", "/lots/%s?after=%d" % (name, position), headers=KEY, timeout=PATIENCE_S)
        except (OSError, http.client.HTTPException):
            pass
        took = time.monotonic() - started
        if took > PATIENCE_S:
            status = "no answer"
        return json.loads(body)["results"] if status == 200 else [], (daemon.name, status, round(took, 2))

    def read_again(self, name, turn):
        """Reads a step page by page, each at another host, and returns what is wrong with it; empty if nothing is."""
        known, position, attempts = self.results[name], 0, []
        while position < len(known):
            page, attempt = self.ask(self.site.daemons[turn % len(self.site.daemons)], name, position)
            turn += 1
            attempts.append(attempt)
            self.attempts.append(attempt)
            expected = known[position:position + len(page)]
            if page[:len(expected)] != expected:
                return "%s has other results than before from position %d at %s: %s, %s" % (
                    name, position, attempt[0], [r["id"] for r in page][:3], [r["id"] for r in expected][:3])
            if page:
                position, attempts = position + len(page), []
            elif len(attempts) == ATTEMPTS:
                return "%s can't be read from position %d of %d: %s" % (name, position, len(known), attempts)
            else:
                time.sleep(RETRY_S if attempt[2] < RETRY_S else 0)
        return ""

    def check_end(self):
        """No step whose results were read is lost when all hosts have lost power; returns what was read."""
        check(self.site.submit(self.site.daemons[0], LAST_JOB, JOB_ITEMS) == 202, "the last job is accepted")
        self.results[LAST_JOB] = self.site.read_all(self.site.daemons[0], JOB_ITEMS, LAST_JOB, timeout=20)
        self.note_memory()
        self.lose_power()
        names = sorted((n for n in self.results if self.results[n]), key=lambda n: (-len(json.dumps(self.results[n])), n))
        # Half of them are the longest ones.
        names, others = names[:STEPS // 2], names[STEPS // 2:]
        names += self.end_random.sample(others, min(len(others), STEPS - len(names)))
        with concurrent.futures.ThreadPoolExecutor(READERS) as pool:
            wrong = list(filter(None, pool.map(self.read_again, names, range(len(names)))))
        check(not wrong, "after all hosts lost power: " + "; ".join(wrong))
        self.note_memory()
        self.check_memory()
        failed = sum(status != 200 for _, status, _ in self.attempts)
        return "%d steps read again, the longest of %d KB at %.2f s/MB (%d of %d attempts failed, %.2f s at most)" % (
            len(names), len(json.dumps(self.results[names[0]])) // 1000, self.seconds_per_mb, failed, len(self.attempts),
            max(a[2] for a in self.attempts))
