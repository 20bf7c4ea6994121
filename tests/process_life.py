"""Starts, disturbs and ends daemons as plain processes: what a process meets outside of the users' bench.

Prints "ok NAME" or "FAIL NAME reason" for each test.
"""

import contextlib
import http.client
import json
import os
import pathlib
import resource
import signal
import socket
import sys
import threading
import time

import large_jobs
from harness.plain_process import ROLES, LogPipe, PlainProcess
from harness.site import check, config, run_tests, until

# graceS of the site, and what a busy machine may add.
GRACE_S = 2
MARGIN_S = 2
# A process ends this long after a fault.
FAULT_END_S = 3
MEMORY_MB = 110


@contextlib.contextmanager
def started(site, *args, **options):
    """A process on the first host, whose own daemon is stopped; it is killed at the end."""
    host = site.daemons[0]
    if host.process.poll() is None:
        host.stop()
    process = PlainProcess(host, *args, **options)
    try:
        yield process
    finally:
        process.kill()


@contextlib.contextmanager
def log_pipe(**options):
    pipe = LogPipe(**options)
    try:
        yield pipe
    finally:
        pipe.close()


def make_lines(site, process, count=60):
    """Makes a serving process write log lines."""
    for number in range(count):
        process.process.send_signal(signal.SIGHUP)
        if process.role == "entry":
            with contextlib.suppress(OSError, http.client.HTTPException):
                site.lookup(process.host, "line-%d" % number)
        elif process.role == "own":
            with contextlib.suppress(OSError, http.client.HTTPException):
                process.host.call("POST", "/a.v1.B/C", b"{}", port=process.host.own_port, timeout=2)


def check_clean_end(process, description):
    code = process.end(timeout=GRACE_S + MARGIN_S)
    check(code == 0, "%s: %s after SIGTERM: %s" % (process.role, description, "runs on" if code is None else "ended with %d" % code))


def reader_of_the_log_goes_away(site):
    """Guards against an end by SIGPIPE."""
    for role in ROLES:
        with log_pipe() as pipe, started(site, role, output=pipe.writer) as process:
            process.wait_until_it_serves()
            pipe.close()
            make_lines(site, process)
            time.sleep(1.5)
            check(process.serves(), "%s: the process ended with %s" % (role, process.process.poll()))
            check_clean_end(process, "no reader of the log")


def full_log_does_not_hold_up_the_end(site):
    """Guards against a process that cannot end, and so keeps the next one from starting, since nobody reads its log."""
    for role in ROLES:
        with log_pipe() as pipe, started(site, role, output=pipe.writer) as process:
            process.wait_until_it_serves()
            pipe.fill()
            make_lines(site, process)
            check_clean_end(process, "a log that nobody reads")
        with started(site, role) as process:
            process.wait_until_it_serves()


def log_that_is_full_at_the_start_does_not_hold_it_up(site):
    """Guards against a process that waits for the reader of its log before it serves."""
    for role in ROLES:
        with log_pipe() as pipe:
            pipe.fill()
            with started(site, role, output=pipe.writer) as process:
                process.wait_until_it_serves()
                check_clean_end(process, "a full log")


def fault_ends_the_process_while_its_log_is_full(site):
    """Guards against a handler of faults that waits for the reader of the log."""
    for role in ROLES:
        with log_pipe() as pipe, started(site, role, output=pipe.writer) as process:
            process.wait_until_it_serves()
            pipe.fill()
            check(process.end(signal.SIGSEGV, FAULT_END_S) == -signal.SIGSEGV, "%s: has not ended by the fault" % role)


def lines_that_were_dropped_are_counted(site):
    """Guards against a gap in the log that nobody can see."""
    with log_pipe(size=65536) as pipe, started(site, output=pipe.writer) as process:
        process.wait_until_it_serves()
        pipe.fill()
        make_lines(site, process, 300)
        time.sleep(1.5)
        text = ""

        def counted():
            nonlocal text
            text += pipe.read()
            return "event=log_lines_dropped count=" in text

        until(counted, "the dropped lines are counted", process.process, timeout=5)
        make_lines(site, process, 3)
        until(lambda: "event=reload" in pipe.read(), "later lines are written", process.process, timeout=5)


def closed_standard_streams_stay_unused(site):
    """Guards against log lines that are written into a connection, which got the number of a closed stream."""
    for role in ROLES:
        with started(site, role, close_streams=True) as process:
            process.wait_until_it_serves()
            targets = {n: os.readlink("/proc/%d/fd/%d" % (process.process.pid, n)) for n in (0, 1, 2)}
            check(set(targets.values()) == {"/dev/null"}, "%s: streams are %s" % (role, targets))
            check_clean_end(process, "closed streams")


def signals_that_are_blocked_by_the_starter_arrive(site):
    """Guards against a process that cannot be stopped, since its starter had blocked the signals."""
    for role in ROLES:
        with started(site, role, block=(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)) as process:
            process.wait_until_it_serves()
            process.process.send_signal(signal.SIGHUP)
            time.sleep(0.1)
            check_clean_end(process, "blocked signals")


def signals_before_the_first_instruction_are_handled(site):
    """Guards against signals during the start that end a process without a word, or are lost."""
    for role in ROLES:
        with started(site, role, block=(signal.SIGTERM, signal.SIGINT, signal.SIGHUP),
                     before=lambda pid: os.kill(pid, signal.SIGHUP)) as process:
            process.wait_until_it_serves()
            check_clean_end(process, "SIGHUP before the start")
        with started(site, role, block=(signal.SIGTERM, signal.SIGINT, signal.SIGHUP),
                     before=lambda pid: os.kill(pid, signal.SIGTERM)) as process:
            check(process.wait(GRACE_S + MARGIN_S) == 0, "%s: SIGTERM before the start is not obeyed" % role)


def stray_signals_do_not_end_the_process(site):
    """Guards against an end by a signal that has no meaning for the daemon, such as that of a log rotation."""
    for role in ROLES:
        with started(site, role) as process:
            process.wait_until_it_serves()
            for number in (signal.SIGUSR1, signal.SIGUSR2, signal.SIGPIPE, signal.SIGALRM, signal.SIGXFSZ):
                process.process.send_signal(number)
            time.sleep(0.3)
            check(process.serves(), "%s: ended with %s" % (role, process.process.poll()))
            check_clean_end(process, "stray signals")


def ports_of(host):
    return {"callers": host.front_port, "readiness": host.ready_port, "directory": host.directory_port}


def start_waits_for_an_address_that_is_taken(site):
    """Guards against a system that does not start, since the process before or a connection still has a port."""
    host = site.daemons[0]
    host.stop()
    for name, port in ports_of(host).items():
        with socket.socket() as holder:
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            holder.bind((host.address, port))
            holder.listen()
            with started(site) as process:
                time.sleep(1)
                check(process.process.poll() is None, "%s: ended with %s" % (name, process.process.poll()))
                holder.close()
                process.wait_until_it_serves()


def port_of_a_connection_is_waited_for(site):
    """Guards against a start that fails, since an outgoing connection has the port for the moment."""
    host = site.daemons[0]
    host.stop()
    with socket.create_server((host.address, 0)) as server, socket.socket() as holder:
        holder.bind((host.address, host.front_port))
        holder.connect(server.getsockname())
        with started(site) as process:
            time.sleep(0.5)
            check(process.process.poll() is None, "ended with %s" % process.process.poll())
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            holder.close()
            process.wait_until_it_serves()


def address_that_stays_taken_is_named(site):
    """Guards against a start that waits for ever, or fails without naming the address."""
    host = site.daemons[0]
    host.stop()
    with socket.create_server((host.address, host.directory_port)), started(site) as process:
        check(process.wait(30) == 4, "exit code %s" % process.process.poll())
        check("%s:%d" % (host.address, host.directory_port) in process.log().splitlines()[-1], "last line: %s" % process.log()[-300:])


def waiting_start_obeys_sigterm(site):
    """Guards against a start that waits for an address and cannot be stopped."""
    host = site.daemons[0]
    host.stop()
    with socket.create_server((host.address, host.directory_port)), started(site) as process:
        time.sleep(0.7)
        check(process.end(timeout=2) == 0, "exit code %s" % process.process.poll())


def other_port_for_peers_is_used(site):
    """Guards against a start that fails, since the first port for other hosts is taken although others are free."""
    host = site.daemons[0]
    host.stop()
    settings = json.loads(host.settings_path.read_text())
    settings["internalPorts"] = [host.peer_port, host.peer_port + 8]
    host.settings_path.write_text(json.dumps(settings))
    with socket.create_server((host.address, host.peer_port)), started(site) as process:
        process.wait_until_it_serves()
        registered = site.store.value("agatetide/live/host/" + host.name)
        check(registered["peer_address"] != "%s:%d" % (host.address, host.peer_port), "registered: %s" % registered)


def settings_that_are_being_written_are_waited_for(site):
    """Guards against a start that fails, since the settings file is replaced at that moment."""
    host = site.daemons[0]
    host.stop()
    text = host.settings_path.read_text()
    for part in (0, 1, len(text) // 2, len(text) - 1):
        host.settings_path.write_text(text[:part])
        with started(site) as process:
            time.sleep(0.4)
            check(process.process.poll() is None, "%d bytes: ended with %s" % (part, process.process.poll()))
            host.settings_path.write_text(text)
            process.wait_until_it_serves()


# Odd settings: path of the field, value. The message names the field.
ODD_SETTINGS = [
    ("node", 7), ("node", ""), ("node", None), ("node", "a/b"), ("ip", None), ("ip", "10.1"), ("ip", ["127.0.1.1"]), ("zone", 3),
    ("region", {}), ("zones", []), ("listen", "x"), ("listen.front", None), ("listen.front", "x"), ("listen.front", 5),
    ("listen.front", "127.0.1.1:70000"), ("listen.front", "host:80"), ("listen.ready", "127.0.1.1"), ("listen.directory", {}),
    ("internalPorts", ["a", "b"]), ("internalPorts", [70000, 70001]), ("internalPorts", [-1, 5]), ("internalPorts", 5),
    ("internalPorts", [0.5, 9]), ("limits", 3), ("limits.maxFds", -1), ("limits.maxFds", "many"), ("limits.maxFds", 0),
    ("limits.maxFds", 1e300), ("limits.memoryMb", 0), ("limits.memoryMb", -5), ("limits.memoryMb", "110"), ("limits.memoryMb", 1e300),
    ("bounds", []), ("bounds.revokeMs", -1), ("bounds.revokeMs", "5"), ("bounds.graceS", -1),
    ("bounds.usageWindowS", -1), ("bounds.usageWindowS", 0), ("bounds.usageWindowS", 1e300),
    ("bounds.usageWindowS", "x"), ("bounds.ttl_max_s", -1), ("bounds.ttl_max_s", "x"), ("bounds.ttl_max_s", 1e300),
    ("platform", 4), ("platform.address", "x"), ("platform.address", None), ("cloudApi.address", "x"), ("cloudApi.address", 9)]


def change(settings, path, value):
    *parents, last = path.split(".")
    for name in parents:
        settings = settings[name]
    settings[last] = value


def odd_settings_are_named(site):
    """Guards against a process that starts with settings it cannot serve with, or ends without naming the field."""
    host = site.daemons[0]
    host.stop()
    text = host.settings_path.read_text()
    wrong = []
    for path, value in ODD_SETTINGS:
        settings = json.loads(text)
        change(settings, path, value)
        odd = pathlib.Path(host.folder.name) / "odd.json"
        odd.write_text(json.dumps(settings))
        os.utime(odd, (1, 1))  # Nobody is writing it.
        with started(site, settings_path=odd) as process:
            code = process.wait(2)
            last = process.log().splitlines()[-1]
            if code != 3 or path not in last:
                wrong.append("%s=%r: exit code %s, %s" % (path, value, code, last[-90:]))
    check(not wrong, "%d of %d: %s" % (len(wrong), len(ODD_SETTINGS), "; ".join(wrong)))


def limit_of_descriptors_below_the_settings(site):
    """Guards against callers that take the descriptors which the host needs to reach the store and replicas."""
    with started(site, limits=[(resource.RLIMIT_NOFILE, 160)]) as process, contextlib.ExitStack() as crowd:
        process.wait_until_it_serves()
        for port in (process.host.front_port, process.host.directory_port, process.host.ready_port):
            for _ in range(150):
                with contextlib.suppress(OSError):
                    crowd.enter_context(socket.create_connection((process.host.address, port), timeout=0.3))
        # The registration lapses after 3 s without the store.
        time.sleep(4)
        check(process.process.poll() is None, "ended with %s" % process.process.poll())
        check(site.store.value("agatetide/live/host/" + process.host.name) is not None, "the host is registered")
        check("event=limit_below_settings limit=descriptors" in process.log(), "a line tells of the limit")


def address_space_as_large_as_the_memory(site):
    """Guards against a process that cannot start its threads where the limit of its memory holds for its address space."""
    for role in ROLES:
        with started(site, role, limits=[(resource.RLIMIT_AS, MEMORY_MB << 20)]) as process:
            process.wait_until_it_serves()
            make_lines(site, process, 5)
            check_clean_end(process, "little address space")


def exhausted_address_space_ends_no_process(site):
    """Guards against an end by an exception that a handler of the event loop throws for lack of memory."""
    large_jobs.allow_large_bodies(site)
    job, answers = large_jobs.make_job(20), []

    def submit(number):
        # What does not fit is refused, or breaks off.
        for attempt in range(4):
            daemon = site.daemons[(number + attempt) % len(site.daemons)]
            answers.append(large_jobs.post(daemon, "job-%d" % number, job)[0])

    def look_up(daemon):
        for number in range(60):
            with contextlib.suppress(OSError, http.client.HTTPException):
                site.lookup(daemon, "beside-%d" % number)

    threads = [threading.Thread(target=submit, args=(n,)) for n in range(6)]
    threads += [threading.Thread(target=look_up, args=(d,)) for d in site.daemons]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    ended = {d.name: d.process.poll() for d in site.daemons if d.process.poll() is not None}
    check(not ended, "ended by themselves: %s" % ended)
    for number, daemon in enumerate(site.daemons):
        until(lambda: site.lookup(daemon, "after-%d-%d" % (number, time.monotonic_ns()))[0] == 200, "lookups are served", timeout=6)
        check(site.store.value("agatetide/live/host/" + daemon.name) is not None, "the host is registered")
        name = "step-after-%d" % number
        until(lambda: site.submit(daemon, name) == 202, "a step is accepted", timeout=6)
        check(len(site.read_all(daemon, 6, name)) == 6, "the step is complete")
    for daemon in site.daemons:
        check(daemon.stop(signal.SIGTERM) == 0, "exit code")


def moment_without_memory_leaves_nothing_behind(site):
    """Guards against a host that goes on without its registration, configuration or signals after a lack of memory."""
    with started(site) as process:
        process.wait_until_it_serves()
        host, pid = process.host, process.process.pid
        for version in (3, 4, 5):
            size = int(next(l for l in process.status() if l.startswith("VmSize")).split()[1]) << 10
            resource.prlimit(pid, resource.RLIMIT_AS, (size, resource.RLIM_INFINITY))
            callers = [threading.Thread(target=send_until, args=(host, "lack-%d-%d" % (version, n), time.monotonic() + 2))
                       for n in range(8)]
            for caller in callers:
                caller.start()
            for _ in range(20):
                process.process.send_signal(signal.SIGHUP)
                time.sleep(0.1)
            for caller in callers:
                caller.join()
            resource.prlimit(pid, resource.RLIMIT_AS, (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
            check(process.process.poll() is None, "ended with %s" % process.process.poll())
            site.store.put("op/config", config(version))
            reports = len(site.platform_api.reports)
            until(lambda: process.log().count("event=config version=%d " % version) > 0, "version %d is in force" % version)
            until(lambda: site.store.value("agatetide/live/host/" + host.name) is not None, "the host is registered")
            until(lambda: len(site.platform_api.reports) > reports, "usage is reported")
            check(site.lookup(host, "after-%d" % version)[0] == 200, "lookups are served")
        check_clean_end(process, "a lack of memory")


def send_until(host, name, end):
    """Sends requests with large bodies."""
    number = 0
    while time.monotonic() < end:
        number += 1
        with contextlib.suppress(OSError, http.client.HTTPException):
            host.call("POST", "/open/1", b"x" * 900000, {"Attempt-Id": "%s-%d" % (name, number), "Timeout-Ms": "1000"}, timeout=2)


def log_file_that_nobody_reads_does_not_hold_up_the_end(site):
    """Guards against a log path that names a pipe, whose full reader holds up the end."""
    with log_pipe() as pipe, started(site, "own", output=pipe.writer, log_path="/dev/stdout") as process:
        process.wait_until_it_serves()
        pipe.fill()
        make_lines(site, process)
        check_clean_end(process, "a pipe as log file")


def previous_end(process):
    """Returns the last line about the end of the process before."""
    return next((line for line in reversed(process.log().splitlines()) if "event=previous_end" in line), "")


def next_start_tells_how_the_process_before_ended(site):
    """Guards against an end by SIGKILL, as that for too much memory, that nothing tells from another end."""
    with started(site) as process:
        process.wait_until_it_serves()
        time.sleep(2.5)
        process.kill()
    with started(site) as process:
        process.wait_until_it_serves()
        line = previous_end(process)
        for part in ("cause=killed", "phase=serving", "uptime_s=", "memory_mb=", "memory_limit_mb=", "descriptors=", "descriptor_limit=",
                     "activity=\"requests="):
            check(part in line, "%s is missing in %r" % (part, line))
        check_clean_end(process, "second process")
    with started(site) as process:
        process.wait_until_it_serves()
        last = previous_end(process)
        check("cause=signal signal=15" in last, "last line: %s" % last)
        process.end(signal.SIGSEGV)
    with started(site) as process:
        process.wait_until_it_serves()
        last = previous_end(process)
        check("cause=fault signal=11" in last, "last line: %s" % last)


def last_line_tells_why_the_process_ended(site):
    """Guards against an end whose log says that it ended, but not why."""
    for role in ROLES:
        with started(site, role) as process:
            process.wait_until_it_serves()
            check_clean_end(process, "a plain stop")
            last = process.log().splitlines()[-1]
            for part in ("event=stopped", "cause=signal", "signal=15", "code=0", "uptime_s=", "memory_mb="):
                check(part in last, "%s: %s is missing in %r" % (role, part, last))


def second_process_does_not_disturb_the_first(site):
    """Guards against a second start with the same settings that ends or replaces the process that serves."""
    with started(site) as first:
        first.wait_until_it_serves()
        second = PlainProcess(first.host)
        try:
            time.sleep(1)
            check(first.serves(), "the first one serves")
            check(second.end(timeout=3) == 0, "the second one ends when it is told to")
            check(first.serves() and site.lookup(first.host, "after")[0] == 200, "the first one serves on")
        finally:
            second.kill()


def signals_in_series_do_not_cut_the_end(site):
    """Guards against a stop that a repeated SIGTERM or SIGHUP turns into a cut."""
    for replica in site.plain:
        replica.pause = 0.8
    with started(site) as process:
        process.wait_until_it_serves()
        outcomes = []
        thread = threading.Thread(target=lambda: outcomes.append(site.lookup(process.host, "slow")[0]))
        thread.start()
        time.sleep(0.2)
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGHUP) * 5:
            process.process.send_signal(number)
            time.sleep(0.01)
        thread.join()
        check(process.wait(GRACE_S + MARGIN_S) == 0, "exit code")
        check(outcomes == [200], "outcome %s" % outcomes)


TESTS = [
    reader_of_the_log_goes_away, full_log_does_not_hold_up_the_end, log_that_is_full_at_the_start_does_not_hold_it_up,
    fault_ends_the_process_while_its_log_is_full, lines_that_were_dropped_are_counted, closed_standard_streams_stay_unused,
    signals_that_are_blocked_by_the_starter_arrive, signals_before_the_first_instruction_are_handled,
    stray_signals_do_not_end_the_process, start_waits_for_an_address_that_is_taken, port_of_a_connection_is_waited_for,
    address_that_stays_taken_is_named, waiting_start_obeys_sigterm, other_port_for_peers_is_used,
    settings_that_are_being_written_are_waited_for, odd_settings_are_named, limit_of_descriptors_below_the_settings,
    address_space_as_large_as_the_memory, exhausted_address_space_ends_no_process,
    moment_without_memory_leaves_nothing_behind, log_file_that_nobody_reads_does_not_hold_up_the_end, next_start_tells_how_the_process_before_ended, last_line_tells_why_the_process_ended,
    second_process_does_not_disturb_the_first, signals_in_series_do_not_cut_the_end]

# Options of the site; the hosts of this test may use far less address space than memory.
OPTIONS = {exhausted_address_space_ends_no_process: {"daemons": 3, "limits": [(resource.RLIMIT_AS, 60 << 20)]}}

if __name__ == "__main__":
    sys.exit(run_tests("process_life", [(test, {"memory_mb": MEMORY_MB, **OPTIONS.get(test, {})}) for test in TESTS]))
