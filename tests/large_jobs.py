"""Submits batch jobs of up to the operator's limit to daemons with little memory.

Prints "ok NAME" or "FAIL NAME reason" for each test.
"""

import base64
import json
import pathlib
import sys
import threading
import time

from harness.site import check, config, run_tests, until

MEMORY_MB = 110
# A daemon stays below its limit by this much, for what the kernel holds of unread bytes.
MARGIN_MB = 10
MAX_BODY_BYTES = 33554432
MB = 1000000
ITEMS = 128
KEY = {"Authorization": "Bearer key-a"}
# The longest time in which a batch job that fits is accepted, or one that never fits is refused.
ANSWER_S = 6
# What of a body that is refused has been read when the response is sent.
REFUSED_IN_S = 1


def make_job(megabytes):
    """A batch job whose JSON has this many million bytes."""
    prompt = b"p" * int((megabytes * MB - ITEMS * 160) / ITEMS * 3 / 4)
    return json.dumps({"step": 0, "model": "m", "minVersion": 1, "desired": ITEMS, "items": [
        {"id": "item-%d" % i, "path": "/step/x/%d" % i, "headers": {"Model": "m", "Length-Hint": "64"},
         "body": base64.b64encode(prompt).decode(), "tokens": 10, "group": "g%d" % i} for i in range(ITEMS)]})


def allow_large_bodies(site):
    site.store.put("op/config", config(version=5, limits={"maxHeaderBytes": 16384, "maxBodyBytes": MAX_BODY_BYTES}))
    # The limit is in force once a body over the former one is accepted.
    until(lambda: all(site.lookup(d, "limit")[0] == 200 and d.call(
        "POST", "/open/1", b"x" * 1500000, {"Attempt-Id": "large", "Timeout-Ms": "3000"})[0] == 200
        for d in site.daemons), "the limit is in force")


def post(daemon, name, job):
    """Returns status, headers and duration of a submission; status 0 if the connection broke."""
    started = time.monotonic()
    try:
        status, _, headers = daemon.call("POST", "/step/" + name, job, {"Attempt-Id": name, **KEY}, timeout=20)
    except OSError:
        status, headers = 0, {}
    return status, headers, time.monotonic() - started


def submit(site, name, job, number=0, tries=20):
    """Submits a job until it is accepted; waits as the responses say. Returns the answers."""
    answers = []
    for attempt in range(tries):
        status, headers, seconds = post(site.daemons[(number + attempt) % len(site.daemons)], name, job)
        answers.append((status, round(seconds, 2)))
        if status == 202:
            return answers
        check(status in (0, 503, 504), "submission of %s: %s" % (name, answers))
        check(status != 503 or float(headers.get("Retry-After", 0)) > 0, "a refusal says when to come back")
        time.sleep(float(headers.get("Retry-After", 0.5)))
    raise AssertionError("%s is not accepted: %s" % (name, answers))


def check_memory(site, what):
    peaks = [daemon.peak_memory_mb() for daemon in site.daemons]
    check(all(d.process.poll() is None for d in site.daemons), "%s: a daemon ended" % what)
    check(max(peaks) < MEMORY_MB - MARGIN_MB, "%s: peak memory %s MB, %d MB are allowed" % (
        what, ["%.0f" % p for p in peaks], MEMORY_MB))
    return "peak memory so far %s MB" % ["%.0f" % p for p in peaks]


def read_and_end(site, name):
    check(len(site.read_all(site.daemons[1], ITEMS, name, timeout=30)) == ITEMS, name + " is complete")
    check(site.daemons[2].call("DELETE", "/lots/" + name, headers=KEY)[0] == 200, name + " is ended")


def jobs_of_all_sizes_fit_into_memory(site):
    """Guards against a daemon that takes several copies of a batch job into memory, and is ended for it."""
    allow_large_bodies(site)
    for megabytes in (1, 5, 10, 20, 33):
        name = "job-%d" % megabytes
        status, _, seconds = post(site.daemons[0], name, make_job(megabytes))
        check(status == 202, "job of %d MB: %d after %.2f s" % (megabytes, status, seconds))
        check(seconds < ANSWER_S, "job of %d MB: accepted after %.2f s" % (megabytes, seconds))
        read_and_end(site, name)
        print("%d MB: accepted in %.2f s, %s" % (megabytes, seconds, check_memory(site, name)), file=sys.stderr)


def items_of_a_large_job_are_read_anywhere(site):
    """Guards against hosts that load all items of a large job for each reader of one of them."""
    allow_large_bodies(site)
    job, prompts = make_job(33), []
    check(submit(site, "job-1", job)[-1][0] == 202, "accepted")
    expected = base64.b64decode(json.loads(job)["items"][0]["body"])

    def read(daemon, number):
        status, body, _ = daemon.call("GET", "/items/job-1?id=item-%d" % number, headers=KEY, timeout=20)
        prompts.append(status == 200 and body == expected)

    for _ in range(2):  # Also after the job has ended.
        readers = [threading.Thread(target=read, args=(d, n), daemon=True)
                   for d in site.daemons for n in (0, 1, ITEMS // 2, ITEMS - 1)]
        for reader in readers:
            reader.start()
        for reader in readers:
            reader.join()
        read_and_end(site, "job-1")
    check(prompts == [True] * 24, "%d of 24 items were read" % prompts.count(True))
    check(site.daemons[1].call("GET", "/items/job-1?id=item-x", headers=KEY)[0] == 404, "there is no other item")
    print("items read: %s" % check_memory(site, "readers of items"), file=sys.stderr)


def jobs_at_once_wait_for_memory(site):
    """Guards against large batch jobs that fit alone, but end the daemon together, with all its other requests."""
    allow_large_bodies(site)
    job, answers, lookups, ended = make_job(20), {}, [], threading.Event()

    def look_up(daemon):
        while not ended.wait(0.05):
            lookups.append(site.lookup(daemon, "lookup-%d" % len(lookups))[0])

    def run(number):
        name = "job-%d" % number
        answers[name] = submit(site, name, job)
        read_and_end(site, name)

    threads = [threading.Thread(target=run, args=(n,), daemon=True) for n in range(4)]
    callers = [threading.Thread(target=look_up, args=(d,), daemon=True) for d in site.daemons]
    for thread in threads + callers:
        thread.start()
    for thread in threads:
        thread.join()
    ended.set()
    for caller in callers:
        caller.join()
    print("four of 20 MB: %s, %s" % (answers, check_memory(site, "four jobs")), file=sys.stderr)
    check(len(answers) == 4 and all(a[-1][0] == 202 for a in answers.values()), "answers: %s" % answers)
    served = lookups.count(200) / len(lookups)
    check(served > 0.98, "%d of %d lookups were served" % (lookups.count(200), len(lookups)))


def job_of_an_ended_host_is_taken_over(site):
    """Guards against a large batch job that no other host can load when its host has ended."""
    allow_large_bodies(site)
    for engine in site.engines:
        engine.pause = 0.5
    check(submit(site, "job-1", make_job(20))[-1][0] == 202, "accepted")
    site.daemons[0].stop()
    for engine in site.engines:
        engine.pause = 0
    results = site.read_all(site.daemons[1], ITEMS, "job-1", timeout=30)
    check({r["state"] for r in results} == {"completed"}, "all items are completed")
    site.daemons[0].start()
    print("taken over: %s" % check_memory(site, "taken over"), file=sys.stderr)


def anonymous_memory_mb(daemon):
    status = pathlib.Path("/proc/%d/status" % daemon.process.pid).read_text()
    return int(next(line for line in status.splitlines() if line.startswith("RssAnon")).split()[1]) / 1024


def make_job_of(count, megabytes):
    """A batch job with this many items and this many million bytes of JSON; returns it and the body of each item."""
    prompt = b"p" * int(megabytes * MB / count * 3 / 4)
    return json.dumps({"step": 0, "model": "m", "minVersion": 1, "desired": count, "items": [
        {"id": "item-%d" % i, "path": "/step/x/%d" % i, "headers": {"Model": "m", "Length-Hint": "64"},
         "body": base64.b64encode(prompt).decode(), "tokens": 10, "group": "g%d" % i} for i in range(count)]}), prompt


def running_items_are_in_memory_once(site):
    """Guards against streams that each keep a copy of their item, which no budget counts."""
    allow_large_bodies(site)
    daemon = site.daemons[0]
    for engine in site.engines:
        engine.pause = 0.5
    idle = anonymous_memory_mb(daemon)
    job, prompt = make_job_of(8, 24)
    check(post(daemon, "job-1", job)[0] == 202, "accepted")
    until(lambda: sum(len(e.requests) for e in site.engines) == 8, "all items run")
    time.sleep(1)  # Requests are written, and freed memory is returned.
    used, bodies = anonymous_memory_mb(daemon) - idle, 8 * len(prompt) / 2**20
    print("running items: %.1f MB for %.1f MB of bodies" % (used, bodies), file=sys.stderr)
    check(used < 1.3 * bodies, "%.1f MB are used for %.1f MB of bodies" % (used, bodies))


def job_of_one_item_fits(site):
    """Guards against a job that takes more memory the larger its items are: its JSON, texts and encoding by themselves."""
    allow_large_bodies(site)
    for engine in site.engines:
        engine.pause = 0.3
    job, prompt = make_job_of(1, 30)
    status, _, seconds = post(site.daemons[0], "job-1", job)
    check(status == 202, "status %d after %.2f s" % (status, seconds))
    status, body, _ = site.daemons[0].call("GET", "/items/job-1?id=item-0", headers=KEY, timeout=20)
    check(status == 200 and body == prompt, "the item is read")
    print("one item: %s" % check_memory(site, "one item"), file=sys.stderr)


def readers_of_an_item_share_a_copy(site):
    """Guards against hosts that load a large item once for each of its readers, before any memory is counted."""
    allow_large_bodies(site)
    for engine in site.engines:
        engine.pause = 0.5
    job, prompt = make_job_of(1, 30)
    check(post(site.daemons[0], "job-1", job)[0] == 202, "accepted")
    answers = []

    def read(daemon):
        status, body, headers = daemon.call("GET", "/items/job-1?id=item-0", headers=KEY, timeout=20)
        answers.append((daemon.name, status, body == prompt, headers.get("Retry-After")))

    readers = [threading.Thread(target=read, args=(d,), daemon=True) for d in site.daemons[1:] for _ in range(11)]
    for reader in readers:
        reader.start()
    for reader in readers:
        reader.join()
    check(len(answers) == 22, "%d of 22 readers got an answer" % len(answers))
    for daemon in site.daemons[1:]:
        check((daemon.name, 200, True, None) in answers, "a reader at %s gets the body: %s" % (daemon.name, answers))
    for _, status, whole, retry in answers:
        check((status, whole) == (200, True) or (status == 503 and float(retry) > 0), "answers: %s" % answers)
    print("%d of 22 readers got the body; %s" % (sum(a[2] for a in answers), check_memory(site, "readers")), file=sys.stderr)


def job_without_room_is_run_by_another_host(site):
    """Guards against a host that becomes the owner of a job which it has no memory for, so that nobody runs it."""
    allow_large_bodies(site)
    leaving, free, full = site.daemons  # the second one in a region of its own
    for engine in site.engines:
        engine.pause = 0.5
    job, _ = make_job_of(8, 22)
    for number in range(2):
        check(post(full, "other-%d" % number, job.replace("item-", "other-%d-item-" % number))[0] == 202, "accepted")
    check(post(leaving, "job-1", job)[0] == 202, "accepted")
    leaving.stop()
    begun = time.monotonic()

    def takers():
        return [d.name for d in (free, full) if any("step=job-1 " in line for line in d.lines("step_taken_over"))]

    until(takers, "a host takes it over", timeout=ANSWER_S + 4)
    check(takers() == [free.name], "%s took it over" % takers())
    check(len(site.read_all(full, 8, "job-1", timeout=30)) == 8, "the job is complete")
    print("taken over by %s, complete after %.1f s" % (free.name, time.monotonic() - begun), file=sys.stderr)
    check(any("step=job-1 " in line for line in full.lines("step_declined")), "the full host says that it has no room")
    leaving.start()


def job_that_never_fits_is_refused(site):
    """Guards against a 503 for a batch job that no repetition can bring through, and against parts of it in the store."""
    allow_large_bodies(site)
    status, _, seconds = post(site.daemons[0], "job-1", make_job(33))
    check(status in (413, 0), "status %d" % status)
    check(seconds < REFUSED_IN_S + 1, "refused after %.2f s" % seconds)
    check(not site.daemons[0].lines("body_refused") == [], "the refusal is logged")
    check("too_large" in site.daemons[0].last_event("body_refused", "length="), "the log gives the reason")
    check(not [k for k in site.store.items if k.startswith("agatetide/step")], "nothing is stored")
    check(site.lookup(site.daemons[0], "after")[0] == 200, "lookups are served")


TESTS = [
    (jobs_of_all_sizes_fit_into_memory, {"daemons": 3, "events": 2, "memory_mb": MEMORY_MB}),
    (items_of_a_large_job_are_read_anywhere, {"daemons": 3, "events": 2, "memory_mb": MEMORY_MB}),
    (jobs_at_once_wait_for_memory, {"daemons": 3, "events": 2, "memory_mb": MEMORY_MB}),
    (job_of_an_ended_host_is_taken_over, {"daemons": 3, "events": 2, "memory_mb": MEMORY_MB}),
    (running_items_are_in_memory_once, {"daemons": 3, "events": 20, "memory_mb": MEMORY_MB}),
    (job_of_one_item_fits, {"daemons": 3, "events": 8, "memory_mb": MEMORY_MB}),
    (readers_of_an_item_share_a_copy, {"daemons": 3, "events": 40, "memory_mb": MEMORY_MB}),
    (job_without_room_is_run_by_another_host, {"daemons": 3, "engines": 6, "events": 12, "memory_mb": MEMORY_MB,
                                               "zones": {"z1": "r1", "z2": "r2"}}),
    (job_that_never_fits_is_refused, {"daemons": 1, "events": 2, "memory_mb": 64}),
]


if __name__ == "__main__":
    sys.exit(run_tests("large_jobs", TESTS))
