"""Runs daemons before replicas whose responses break off or fail.

Prints "ok NAME" or "FAIL NAME reason" for each test.
"""

import sys
import time

from harness.site import check, run_tests, until
from software_versions import check_unmixed, resumed_requests, stream

EVENTS = 6
# A response of a plain stand-in replica ends its head after at least as many bytes.
MIN_HEAD_BYTES = 130
# An answer to a request that no replica can answer does not wait for its deadline, which is 3 s.
AT_ONCE_S = 1.5


def response_whose_head_breaks_off_is_not_an_answer(site):
    """Guards against a 200 with an empty or short body that is made of a part of a replica's head."""
    daemon = site.daemons[0]
    for cut in [1, 12, 15, 16, 17, 40, 60, 80, 100, MIN_HEAD_BYTES]:
        for replica in site.plain:
            replica.cut_response_at = cut
        for path in ("/open/1", "/once/1"):
            status, body, _ = site.lookup(daemon, "cut-%d-%s" % (cut, path[1:5]), path)
            check(status in (502, 504), "%s cut after %d bytes: %d %r" % (path, cut, status, body))


def request_is_served_by_the_next_replica_after_a_broken_head(site):
    """Guards against a broken head that fails a request which another replica can run, or that joins its answer."""
    site.plain[0].cut_response_at = 100
    for i in range(20):
        status, body, headers = site.lookup(site.daemons[0], "next-%d" % i)
        check(status == 200 and body == b"answer to question", "%d %r" % (status, body))
        check(headers["Response-Signature"] == "signed-next-%d" % i, "signature of another answer")
    check(site.plain[0].requests, "the broken replica was asked")


def item_whose_stream_broke_gets_no_text_of_a_failure(site):
    """Guards against the text of a failed response in the middle of a sample, and against taking one for its end."""
    broken, failing = site.engines
    for status in (500, 503, 429, 404, 206, 204):
        broken.breaks_after, failing.statuses = 3, [status] * 2
        name = "step-%d" % status
        check(site.submit(site.daemons[0], name, items=4) == 202, "accepted")
        until(lambda: not failing.statuses, "the failures were sent")
        broken.breaks_after = None
        results = site.read_all(site.daemons[0], 4, name)
        check({r["state"] for r in results} == {"completed"}, "%d: %s" % (status, results))
        check_unmixed(results, EVENTS)
    check(resumed_requests(site.engines), "streams were resumed")


def stream_of_a_caller_that_broke_is_not_joined_with_a_failure(site):
    """Guards against a caller's stream that broke off and looks complete, or holds the text of a failure."""
    broken, failing = site.engines
    for status in (500, 503, 404):
        broken.breaks_after, failing.statuses = 3, [status] * 20
        for i in range(6):
            result, events = stream(site.daemons[0], "stream-%d-%d" % (status, i))
            check(result != 200, "%d, after a failure with %d: %s" % (result, status, events))
    broken.breaks_after, failing.statuses = None, []
    for i in range(4):
        result, events = stream(site.daemons[0], "whole-%d" % i)
        check(result == 200 and len(events) == EVENTS, "%d: %s" % (result, events))


def refusal_that_promises_nothing_is_not_passed_on_as_a_promise(site):
    """Guards against a 429 or 503 for a request that a replica may have run: callers repeat it."""
    daemon = site.daemons[0]
    for refusal in (503, 429, 408):
        for replica in site.plain:
            replica.statuses = [refusal] * 8
        status, _, headers = site.lookup(daemon, "once-%d" % refusal, "/once/1")
        check(status == 502, "%d after a %d" % (status, refusal))
        check("Response-Signature" not in headers, "a failure of this service has no signature")
        for replica in site.plain:
            replica.statuses = []
        site.plain[0].statuses = [refusal] * 2
        check(all(site.lookup(daemon, "again-%d-%d" % (refusal, i))[0] == 200 for i in range(4)), "served by another replica")


def odd_answer(line, inner=True):
    """Makes the bytes of an answer with this status line, whose body is itself a whole 200, or a text."""
    def answer(headers):
        name = headers.get("Attempt-Id") or "none"
        fields = "Attempt-Id: %s\r\nResponse-Signature: signed-%s\r\n" % (name, name)
        body = "HTTP/1.1 200 OK\r\n%sContent-Length: 5\r\n\r\ninner" % fields if inner else "trouble"
        return ("%s\r\n%sContent-Length: %d\r\n\r\n%s" % (line, fields, len(body), body)).encode()
    return answer


NO_STATUS = ["HTTP/1.1 000 Trouble", "HTTP/1.1 099 Trouble", "HTTP/1.1 101 Switching", "HTTP/1.1 103 Hints", "HTTP/1.1 199 Trouble",
             "HTTP/1.0 000 Trouble", "HTTP/1.1 20 Short", "HTTP/1.1 2000 Long", "HTTP/1.1 -20 Sign", "HTTP/2 200 OK"]


def status_that_is_none_is_not_an_answer(site):
    """Guards against bytes of a body that a caller gets as the answer, and against a wait for an answer that was given."""
    daemon = site.daemons[0]
    for number, line in enumerate(NO_STATUS):
        for inner in (True, False):
            for replica in site.plain:
                replica.raw_answer = odd_answer(line, inner)
            for path in ("/open/1", "/once/1"):
                started = time.monotonic()
                status, body, headers = site.lookup(daemon, "odd-%d-%d-%s" % (number, inner, path[1:5]), path)
                check(status == 502 and b"inner" not in body, "%s, %s: %d %r" % (line, path, status, body))
                check("Response-Signature" not in headers, "%s: a failure of this service has a signature" % line)
                check(time.monotonic() - started < AT_ONCE_S, "%s, %s: answered late" % (line, path))
    site.plain[1].raw_answer = None
    for i in range(12):
        status, body, _ = site.lookup(daemon, "next-%d" % i)
        check(status == 200 and body == b"answer to question", "another replica serves it: %d %r" % (status, body))


def status_that_is_none_ends_no_item(site):
    """Guards against samples and scores that are made of bytes of a body, and against orders that count as carried out."""
    broken = site.engines[0]
    broken.raw_answer, site.plain[0].raw_answer = odd_answer("HTTP/1.1 000 Trouble"), odd_answer("HTTP/1.1 099 Trouble")
    check(site.submit(site.daemons[0], "step-1", items=6) == 202, "accepted")
    results = site.read_all(site.daemons[0], 6, "step-1", timeout=30)
    check({r["state"] for r in results} == {"completed"}, "%s" % results)
    check_unmixed(results, EVENTS)
    check(broken.requests, "the broken replica was asked")
    check(not any("inner" in r["text"] for r in results), "text of a body in a sample")


def status_above_599_is_returned_as_it_is(site):
    """Guards against another status than the replica gave, beside its signature; requests that may go elsewhere do first."""
    for replica in site.plain:
        replica.statuses = [600] * 40
    status, body, headers = site.lookup(site.daemons[0], "once", "/once/1")
    check(status == 600 and headers["Response-Signature"] == "signed-once", "%d %r" % (status, body))
    site.plain[1].statuses = []
    check(all(site.lookup(site.daemons[0], "next-%d" % i)[0] == 200 for i in range(8)), "another replica serves it")


TESTS = [
    (status_that_is_none_is_not_an_answer, {}),
    (status_that_is_none_ends_no_item, {"events": EVENTS}),
    (status_above_599_is_returned_as_it_is, {}),
    (refusal_that_promises_nothing_is_not_passed_on_as_a_promise, {}),
    (response_whose_head_breaks_off_is_not_an_answer, {}),
    (request_is_served_by_the_next_replica_after_a_broken_head, {}),
    (item_whose_stream_broke_gets_no_text_of_a_failure, {"events": EVENTS, "pause": 0.05}),
    (stream_of_a_caller_that_broke_is_not_joined_with_a_failure, {"events": EVENTS, "pause": 0.02}),
]


if __name__ == "__main__":
    sys.exit(run_tests("broken_responses", TESTS))
