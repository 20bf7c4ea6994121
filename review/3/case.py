"""A trainer's item makes a replica run a request that was smuggled inside it, for another tenant."""

import base64
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from deployment import SmallSite, run_case  # noqa: E402
from harness.site import HOST, config  # noqa: E402

SMUGGLED = "smuggled-1"


def body(record, trouble):
    tenants = [{"name": "acct", "apiKeys": ["key-a"]}, {"name": "victim", "apiKeys": ["key-v"]}]
    site = SmallSite(config(tenants=tenants), daemons=1)
    try:
        return run(site, record, trouble)
    finally:
        site.close()


def run(site, record, trouble):
    def note(item):
        if not trouble:
            return "first line"
        return ("first line\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n"
                "POST /step/x/inner HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTenant: victim\r\nModel: m\r\n"
                "Content-Length: 0\r\n\r\n" % (item, HOST, SMUGGLED))

    items = [{"id": "item-%d" % i, "path": "/step/x/%d" % i,
              "headers": {"Model": "m", "Z-Note": note("item-%d" % i), "Length-Hint": "64"},
              "body": base64.b64encode(b"prompt").decode(), "tokens": 10, "group": "g"} for i in range(2)]
    job = {"step": 0, "model": "m", "minVersion": 1, "desired": 1, "items": items}
    status, answer, _ = site.daemons[0].call("POST", "/step/job-1", json.dumps(job), {
        "Attempt-Id": "job-1", "Authorization": "Bearer key-a"})
    record.write("trainer of acct: submits job-1 with items %s: %d %s" % ([i["id"] for i in items], status, answer.decode()))
    sent = {"job-1", "item-0", "item-1"}
    time.sleep(3)
    broken = False
    for replica in site.engines:
        for name, path, headers, _ in list(replica.requests):
            record.write("%s runs %s %s for tenant %s" % (replica.name, name, path, headers.get("Tenant")))
            unasked = (name is not None and name not in sent) or headers.get("Tenant") == "victim"
            broken = broken or unasked
    return broken


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, body))
