"""Starts a daemon as a plain process with chosen streams, signal masks and limits."""

import contextlib
import fcntl
import json
import os
import pathlib
import resource
import signal
import subprocess
import time

from harness.ports import free_port
from harness.site import DAEMON, until

F_SETPIPE_SZ = 1031
SMALLEST_PIPE = 4096
ROLES = ("entry", "disk", "own")


class LogPipe:
    """A pipe for the output of a process, which a test reads, leaves full or breaks."""

    def __init__(self, size=SMALLEST_PIPE):
        self.reader, self.writer = os.pipe()
        fcntl.fcntl(self.writer, F_SETPIPE_SZ, size)

    def fill(self):
        """Writes until nothing fits any more."""
        os.set_blocking(self.writer, False)
        with contextlib.suppress(BlockingIOError):
            while os.write(self.writer, b"\n" * 512):
                pass
        with contextlib.suppress(BlockingIOError):
            while os.write(self.writer, b"\n"):
                pass
        os.set_blocking(self.writer, True)

    def read(self):
        """Returns what is in the pipe."""
        os.set_blocking(self.reader, False)
        data = b""
        with contextlib.suppress(BlockingIOError):
            while part := os.read(self.reader, 65536):
                data += part
        return data.decode(errors="replace")

    def close_reader(self):
        if self.reader is not None:
            os.close(self.reader)
            self.reader = None

    def close_writer(self):
        """Closes the end of the test; the process has its own."""
        if self.writer is not None:
            os.close(self.writer)
            self.writer = None

    def close(self):
        self.close_reader()
        self.close_writer()


def own_settings(folder, address, callers_port, daemons_port, log_path):
    """Writes settings of the daemon's own interface; returns their path."""
    path = pathlib.Path(folder) / "own.json"
    path.write_text(json.dumps({
        "listen": {"callers": "%s:%d" % (address, callers_port), "daemons": "%s:%d" % (address, daemons_port)},
        "availability_zone": "z1", "region": "r1", "store": ["127.0.0.1:1"], "cluster_secret": "secret of sixteen",
        "address_lifetime_ms": 100, "drain_time_ms": 1000, "log": {"path": log_path}}))
    return path


class PlainProcess:
    """One start of a daemon; the settings are those of a host of a test site."""

    def __init__(self, host, role="entry", output=None, close_streams=False, block=(), limits=(), before=None,
                 settings_path=None, program=DAEMON, log_path=""):
        """output: a file descriptor; block: signals in the mask at the start; before: called with the process id
        of the child in it, before the program runs."""
        self.host, self.role = host, role
        folder = pathlib.Path(host.folder.name)
        self.folder = folder
        self.log_path = folder / "plain.log"
        settings_path = settings_path or host.settings_path
        command = [str(program), "--platform-role", role]
        if role == "own":
            if not hasattr(host, "own_port"):
                host.own_port = free_port(host.address)
                host.own_peer_port = free_port(host.address)
            path = own_settings(folder, host.address, host.own_port, host.own_peer_port, log_path)
            command = [str(program), "--settings", str(path)]

        def prepare():
            for kind, value in limits:
                resource.setrlimit(kind, (value, value))
            signal.pthread_sigmask(signal.SIG_BLOCK, block)
            if before is not None:
                before(os.getpid())
            if close_streams:
                for number in (0, 1, 2):
                    os.close(number)

        environment = {**os.environ, "AGATETIDE_NODE_FILE": str(settings_path), "TMPDIR": str(folder)}
        with open(self.log_path, "ab") as log:
            self.started_at = time.monotonic()
            self.process = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=log if output is None else output,
                stderr=log if output is None else output, env=environment, preexec_fn=prepare)

    def log(self):
        return self.log_path.read_text(errors="replace")

    def serves(self):
        """Returns whether the process does what its role does."""
        if self.process.poll() is not None:
            return False
        if self.role == "disk":
            # It has no listener: it runs once it waits for events.
            wait = pathlib.Path("/proc/%d/wchan" % self.process.pid)
            handled = next((line for line in self.status() if line.startswith("SigCgt")), "SigCgt: 0")
            return wait.exists() and bool(int(handled.split()[1], 16) & (1 << (signal.SIGTERM - 1)))
        try:
            if self.role == "entry":
                return self.host.is_ready()
            self.host.call("GET", "/healthz", port=self.host.own_port, timeout=2)
            return True
        except OSError:
            return False

    def status(self):
        try:
            return pathlib.Path("/proc/%d/status" % self.process.pid).read_text().splitlines()
        except OSError:
            return []

    def wait_until_it_serves(self, timeout=12):
        until(self.serves, "the %s process serves" % self.role, self.process, timeout)

    def end(self, signal_number=signal.SIGTERM, timeout=10):
        """Sends a signal and returns the exit code, or None if the process does not end in time."""
        if self.process.poll() is None:
            self.process.send_signal(signal_number)
        return self.wait(timeout)

    def wait(self, timeout=10):
        try:
            return self.process.wait(timeout)
        except subprocess.TimeoutExpired:
            return None

    def kill(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(10)
