"""Ends daemons that use more memory than they may, as the users' platform does."""

import pathlib
import resource
import signal
import threading
import time

POLL_S = 0.01
PAGE_MB = resource.getpagesize() / 1e6


def resident_mb(process):
    """Returns the resident memory of a running process; 0 if it has ended."""
    try:
        return int(pathlib.Path("/proc/%d/statm" % process.pid).read_text().split()[1]) * PAGE_MB
    except (OSError, IndexError):
        return 0


class MemoryLimit:
    """Watches the daemons of a site, and kills each one whose resident memory passes the limit.

    With restart, a killed daemon starts again at once, without a wait until it is ready.
    """

    def __init__(self, site, limit_mb, restart=False):
        self.site, self.limit_mb, self.restart = site, limit_mb, restart
        self.kills = []  # (name, MB) of each daemon that was killed
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.watch, daemon=True)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_error):
        self.ended.set()
        self.thread.join()

    def watch(self):
        while not self.ended.is_set():
            for daemon in list(self.site.daemons):
                self.check(daemon)
            time.sleep(POLL_S)

    def check(self, daemon):
        process = daemon.process
        used = resident_mb(process)
        if used <= self.limit_mb or process.poll() is not None:
            return
        process.send_signal(signal.SIGKILL)
        process.wait(10)
        self.kills.append((daemon.name, round(used)))
        if self.restart:
            daemon.launch()
