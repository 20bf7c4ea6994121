"""Runs a daemon with little memory before clients that do not respect limits.

Checks only what does not depend on the speed of the machine. Prints "ok NAME" or "FAIL NAME reason" for each test.
"""

import pathlib
import sys
import time

from harness import untrusted_client as clients
from harness.site import check, config, run_tests, until

MEMORY_MB = 64
# Header lines and small bodies cost less; their fault shows under a lower limit.
LOW_MEMORY_MB = 40
MAX_FDS = 1024
# Resident memory after a flood; a daemon that has just started has about 21 MB.
FALLBACK_MB = 34
# In this time the memory must have been returned. Longer than the daemon's transfer timeout.
FALLBACK_TIMEOUT_S = 30
MAX_BODY_BYTES = 4000000
CLIENTS = 40
# Of the kinds that cost little memory each.
MANY_CLIENTS = 160
# A replica that works on requests for this long makes their number at one time certain.
REPLICA_PAUSE_S = 1


def resident_mb(daemon):
    status = pathlib.Path("/proc/%d/status" % daemon.process.pid).read_text()
    return int(next(line for line in status.splitlines() if line.startswith("VmRSS")).split()[1]) / 1024


def descriptors(daemon):
    return len(list(pathlib.Path("/proc/%d/fd" % daemon.process.pid).iterdir()))


def allow_bodies(site):
    limits = {"maxHeaderBytes": clients.MAX_HEADER_BYTES, "maxBodyBytes": MAX_BODY_BYTES}
    site.store.put("op/config", config(version=5, limits=limits))
    # The limit is in force once a body over the former one is accepted.
    until(lambda: site.daemons[0].call("POST", "/open/1", b"x" * 1500000, {
        "Attempt-Id": "large", "Timeout-Ms": "3000"})[0] == 200, "the limit is in force")


def withstand(site, *kinds, count=CLIENTS, memory_mb=MEMORY_MB):
    """Runs crowds at once; checks what must hold in the flood and after it."""
    daemon = site.daemons[0]
    allow_bodies(site)
    start_mb = resident_mb(daemon)
    for replica in site.plain:
        replica.pause = REPLICA_PAUSE_S
    crowds = [clients.Crowd(daemon, count=count, **kind) for kind in kinds]
    try:
        for crowd in crowds:
            crowd.wait()
        check(daemon.process.poll() is None, "the daemon ended")
        flood_mb, open_descriptors = daemon.peak_memory_mb(), descriptors(daemon)
    finally:
        for crowd in crowds:
            crowd.close()
    for replica in site.plain:
        replica.pause = 0
    served = []

    def is_served():
        try:
            served.append(site.lookup(daemon, "after")[0])
        except OSError as error:
            served.append(repr(error))
        return served[-1] == 200

    until(is_served, "an ordinary lookup is served", daemon.process, FALLBACK_TIMEOUT_S)
    end = time.monotonic() + FALLBACK_TIMEOUT_S
    while resident_mb(daemon) >= FALLBACK_MB and time.monotonic() < end:
        time.sleep(0.2)
    after_mb = resident_mb(daemon)
    measured = "%.0f MB before, peak %.0f MB, %.0f MB after, %d descriptors" % (
        start_mb, flood_mb, after_mb, open_descriptors)
    print("%d clients of %d kinds: %s" % (count * len(kinds), len(kinds), measured), file=sys.stderr, flush=True)
    check(max(flood_mb, daemon.peak_memory_mb()) < memory_mb, "%d MB are allowed: %s" % (memory_mb, measured))
    check(open_descriptors < MAX_FDS, "%d descriptors are allowed: %s" % (MAX_FDS, measured))
    check(after_mb < FALLBACK_MB, "%d MB are allowed after the flood: %s" % (FALLBACK_MB, measured))


SHORT_LINES = {"requests": clients.requests_of_lines(["a:b\r\n"], "content-length: 8", b"question"),
               "repeats": clients.REPEATS}
ODD_LINES = {"requests": clients.requests_of_lines(clients.ODD_LINES, "content-length: 8", b"question"),
             "repeats": clients.REPEATS}
LINES_WITHOUT_BODY = {"requests": clients.requests_of_lines(["a:b\r\n", *clients.ODD_LINES], clients.NO_BODY_COMES, b"q")}
TRAILERS = {"requests": [lambda: clients.endless(clients.head("", clients.CHUNKED) + b"1\r\nb\r\n0\r\n", b"t: v\r\n"),
                         lambda: clients.endless(clients.head("", clients.CHUNKED) + b"0\r\nt: ", b"v")]}
EXTENSIONS = {"requests": [lambda: clients.endless(clients.head("", clients.CHUNKED) + b"1;", b"e"),
                           lambda: clients.endless(clients.head("", clients.CHUNKED) + b"1", b";e=v"),
                           lambda: clients.endless(clients.head("", clients.CHUNKED), b"1;e=" + b"v" * 4000 + b"\r\nb\r\n")]}
# One body in four is whole.
BODIES_WITH_LENGTH = {"requests": [lambda: clients.whole(MAX_BODY_BYTES)] +
                                  3 * [lambda: clients.short_of_the_end(MAX_BODY_BYTES, False)]}
BODIES_IN_CHUNKS = {"requests": [lambda: clients.whole(MAX_BODY_BYTES)] +
                                3 * [lambda: clients.short_of_the_end(MAX_BODY_BYTES, True)]}
SMALL_BODIES = {"requests": [lambda: clients.short_of_the_end(60000, False), lambda: clients.short_of_the_end(60000, True)]}
UNREAD = {"requests": [[clients.head("", "content-length: %d" % clients.UNREAD_BYTES) + b"b" * clients.UNREAD_BYTES]],
          "reads": False}


def short_header_lines(site):
    """Guards against header lines that cost many times their bytes once they are parsed."""
    withstand(site, SHORT_LINES, count=MANY_CLIENTS, memory_mb=LOW_MEMORY_MB)


def odd_header_lines(site):
    """Guards against the same cost of empty values, repeated names and folded lines."""
    withstand(site, ODD_LINES, count=MANY_CLIENTS, memory_mb=LOW_MEMORY_MB)


def header_lines_whose_body_does_not_come(site):
    """Guards against parsed header lines that are kept while their request waits for its body."""
    withstand(site, LINES_WITHOUT_BODY, count=MANY_CLIENTS, memory_mb=LOW_MEMORY_MB)


def trailers_without_end(site):
    """Guards against trailers that are buffered without a limit."""
    withstand(site, TRAILERS)


def chunk_extensions_without_end(site):
    """Guards against a chunk extension that is buffered without a limit."""
    withstand(site, EXTENSIONS)


def bodies_with_length_short_of_their_end(site):
    """Guards against large bodies that hold memory, or all of it, while their last byte does not come."""
    withstand(site, BODIES_WITH_LENGTH)


def bodies_in_chunks_short_of_their_end(site):
    """Guards against the same with bodies whose length is not known."""
    withstand(site, BODIES_IN_CHUNKS)


def small_bodies_short_of_their_end(site):
    """Guards against bodies that are small, and therefore not counted, and together exceed the memory."""
    withstand(site, SMALL_BODIES, count=MANY_CLIENTS, memory_mb=LOW_MEMORY_MB)


def unread_responses(site):
    """Guards against responses that are kept for callers that do not read them."""
    withstand(site, UNREAD)


def all_at_once(site):
    """Guards against limits that each hold alone, and together exceed the memory."""
    withstand(site, SHORT_LINES, ODD_LINES, LINES_WITHOUT_BODY, TRAILERS, EXTENSIONS, BODIES_WITH_LENGTH, BODIES_IN_CHUNKS,
              SMALL_BODIES, UNREAD, count=8)


OPTIONS = {"plain": 2, "engines": 0, "memory_mb": MEMORY_MB}
LOW_OPTIONS = {**OPTIONS, "memory_mb": LOW_MEMORY_MB}
TESTS = [
    (short_header_lines, LOW_OPTIONS),
    (odd_header_lines, LOW_OPTIONS),
    (header_lines_whose_body_does_not_come, LOW_OPTIONS),
    (trailers_without_end, OPTIONS),
    (chunk_extensions_without_end, OPTIONS),
    (bodies_with_length_short_of_their_end, OPTIONS),
    (bodies_in_chunks_short_of_their_end, OPTIONS),
    (small_bodies_short_of_their_end, LOW_OPTIONS),
    (unread_responses, OPTIONS),
    (all_at_once, OPTIONS),
]


if __name__ == "__main__":
    sys.exit(run_tests("untrusted_clients", TESTS))
