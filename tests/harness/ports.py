"""Ports for the listeners of tests, which no other process takes before they are used.

They lie below the range from which the kernel gives ports to connections and to
listeners that ask for any port. A test process holds a block of them by a locked file.
"""

import fcntl
import pathlib
import random
import socket
import tempfile

FIRST_PORT = 10000
BLOCK_PORTS = 100


def first_ephemeral_port():
    """Returns the lowest port that the kernel may give to any connection."""
    return int(pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])


def is_free(address, port):
    """Whether a listener can be opened there."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


class PortBlock:
    """The ports of this process, each given again only after all others were given."""

    def __init__(self):
        blocks = list(range(FIRST_PORT, first_ephemeral_port() - BLOCK_PORTS + 1, BLOCK_PORTS))
        random.shuffle(blocks)
        self.ports = next(range(start, start + BLOCK_PORTS) for start in blocks if self.lock(start))
        self.given = 0

    def lock(self, start):
        """Tries to claim a block; the system releases it when the process ends."""
        try:
            self.file = open(pathlib.Path(tempfile.gettempdir()) / ("agatetide-ports-%d" % start), "w")
            fcntl.flock(self.file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:  # Another process holds it, or another user's file stands there.
            return False
        return True

    def draw(self, address):
        for _ in self.ports:
            port = self.ports[self.given % BLOCK_PORTS]
            self.given += 1
            if is_free(address, port):
                return port
        raise AssertionError("no port of this process is free at %s" % address)


BLOCK = None


def free_port(address="127.0.0.1"):
    """Returns a port of this process that nothing listens on."""
    global BLOCK  # pylint: disable=global-statement
    BLOCK = BLOCK or PortBlock()
    return BLOCK.draw(address)
