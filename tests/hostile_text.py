"""Runs daemons whose trainers send text that would be syntax in a request to a replica.

Prints "ok NAME" or "FAIL NAME reason" for each test.
"""

import base64
import json
import sys

from harness.site import HOST, check, run_tests, until

KEY = {"Authorization": "Bearer key-a"}
INNER = ("Attempt-Id: x\r\nContent-Length: 0\r\n\r\n"
         "POST /step/x/inner HTTP/1.1\r\nHost: %s\r\nAttempt-Id: inner\r\nTenant: victim\r\nModel: m\r\n"
         "Content-Length: 0\r\n\r\n" % HOST)
# A value that is as long as INNER with its line breaks, and is replaced by it in the store.
PLACEHOLDER = "p" * (len(INNER) + 4)


def item(name, **changes):
    return {"id": name, "path": "/step/x/1", "headers": {"Model": "m"}, "body": base64.b64encode(b"prompt").decode(),
            "tokens": 10, "group": "g", **changes}


def scorer(**changes):
    return {"id": "score", "host": HOST, "path": "/open/score", "body": "", **changes}


def hostile_items():
    """Returns items that are refused, with a word of their error."""
    breaks = ("a\r\n" + INNER, "a\nTenant: victim", "a\rTenant: victim", "a\0b")
    for text in breaks:
        yield item("hostile", headers={"Model": "m", "Note": text}), "Note"
        yield item("hostile", headers={"Model": "m", text: "x"}), "header name"
        yield item("hostile", path="/step/" + text), "path"
        yield item("hostile", scorer=scorer(path="/open/" + text)), "path"
        yield item("hostile", scorer=scorer(host=text)), "host"
        yield item("hostile", scorer=scorer(id=text)), "scorer"
        yield item(text), "id"
    for name in ("Tenant ", "Tenant:", " tenant", "", "T\u00e4nant"):
        yield item("hostile", headers={"Model": "m", name: "victim"}), "header name"
    for path in ("/step/x HTTP/1.1", "/step/x /step/y", "/step/x#y", "/step/\u00e4"):
        yield item("hostile", path=path), "path"


def submit(site, name, items):
    job = {"step": 0, "model": "m", "minVersion": 1, "desired": 1, "items": items}
    return site.daemons[0].call("POST", "/step/" + name, json.dumps(job), {"Attempt-Id": name, **KEY})


def requests_at_replicas(site):
    return [(name, headers) for replica in site.plain + site.engines for name, _, headers, _ in replica.requests]


def batch_job_with_hostile_text_is_refused_whole(site):
    """Guards against text of an item that reaches a replica as a header or a request that nobody sent."""
    refused = 0
    for number, (hostile, word) in enumerate(hostile_items()):
        status, body, _ = submit(site, "job-%d" % number, [item("sound"), hostile])
        check(status == 400 and word in json.loads(body)["message"], "%r: %d %r" % (hostile, status, body))
        refused += 1
    check(not site.store.keys("agatetide/step"), "nothing of it is stored")
    check(site.submit(site.daemons[0], "sound") == 202, "other work goes on")
    check(len(site.read_all(site.daemons[0], 6, "sound")) == 6, "and ends")
    names = {name for name, _ in requests_at_replicas(site)}
    check(not names & {"hostile", "inner", "sound-item"}, "%d refused jobs, but %s ran" % (refused, names))


def reserved_headers_of_an_item_are_dropped(site):
    """Guards against an item that sets what this service says of a request, in any spelling of the name."""
    headers = {name: "victim" for name in ("Tenant", "TENANT", "tenant", "Attempt-ID", "HOST", "Content-length",
                                           "Transfer-Encoding", "expect-instance", "Request-Priority", "Hold", "Expect")}
    check(submit(site, "job", [item("plain-item", headers={"Model": "m", **headers})])[0] == 202, "accepted")
    check(site.read_all(site.daemons[0], 1, "job")[0]["state"] == "completed", "and runs")
    seen = next(headers for name, headers in requests_at_replicas(site) if name == "plain-item")
    check("victim" not in seen.values() and seen["Tenant"] == "acct", "%s" % seen)


def stored_item_with_hostile_text_ends_with_a_reason(site):
    """Guards against such an item of an older build's record: it ends alone, and neither its step nor the daemon does."""
    stored = [item("item-%d" % i, path="/step/x/%d" % i) for i in range(3)]
    stored[1]["headers"]["Note"] = PLACEHOLDER
    stored[2]["scorer"] = scorer(path="/open/" + PLACEHOLDER)
    for engine in site.engines:
        engine.statuses = [503] * 10000
    check(submit(site, "old", stored)[0] == 202, "accepted")
    site.daemons[0].stop()
    hostile = ("\r\n" + INNER + "xx").encode()
    for key in site.store.keys("agatetide/step-items/"):
        data = base64.b64decode(site.store.items[key]["value"])
        check(data.count(PLACEHOLDER.encode()) == 2, "the placeholders are stored as they are")
        site.store.put_bytes(key, data.replace(PLACEHOLDER.encode(), hostile))
    for engine in site.engines:
        engine.statuses = []
    site.daemons[0].start()
    results = {r["id"]: r["state"] for r in site.read_all(site.daemons[0], 3, "old", timeout=20)}
    check(results == {"item-0": "completed", "item-1": "dead", "item-2": "dead"}, "%s" % results)
    check(len(site.daemons[0].lines("item_invalid")) == 2, "the log says why")
    # Replicas may see late what the daemon sent before it was stopped: requests with the placeholder.
    sent = [(name, headers.get("Note")) for name, headers in requests_at_replicas(site)]
    check("inner" not in dict(sent) and all(note == PLACEHOLDER for name, note in sent if name == "item-1"), "%s" % sent)
    until(lambda: site.lookup(site.daemons[0], "after")[0] == 200, "lookups go on")


TESTS = [
    (batch_job_with_hostile_text_is_refused_whole, {}),
    (reserved_headers_of_an_item_are_dropped, {}),
    (stored_item_with_hostile_text_ends_with_a_reason, {}),
]


if __name__ == "__main__":
    sys.exit(run_tests("hostile_text", TESTS))
