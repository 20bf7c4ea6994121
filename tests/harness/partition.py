"""Cuts single hosts off from a server, by IP address, as a broken network does."""

import ctypes
import ipaddress
import os
import socket
import struct
import threading

SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27
# Number of the system call that copies a descriptor of another process.
PIDFD_GETFD = 438
# Opcodes of the classic packet filter, and the offset of a packet's source address.
LOAD_WORD, JUMP_IF_EQUAL, RETURN = 0x20, 0x15, 0x06
SOURCE_ADDRESS = 0xFFF00000 + 12


def _drop_packets(sock, addresses):
    """Lets the kernel drop all packets from these addresses to the socket."""
    lines = [(LOAD_WORD, 0, 0, SOURCE_ADDRESS)]
    for address in addresses:
        lines += [(JUMP_IF_EQUAL, 0, 1, int(ipaddress.ip_address(address))), (RETURN, 0, 0, 0)]
    lines.append((RETURN, 0, 0, 0xFFFFFFFF))
    program = ctypes.create_string_buffer(b"".join(struct.pack("HBBI", *line) for line in lines))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("HxxxxxxP", len(lines), ctypes.addressof(program)))


def _drop_all_packets(sock):
    """Lets the kernel drop all packets to the socket."""
    program = ctypes.create_string_buffer(struct.pack("HBBI", RETURN, 0, 0, 0))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("HxxxxxxP", 1, ctypes.addressof(program)))


def _open_sockets(process):
    """Returns copies of the connected sockets of a process that this one has started."""
    sockets = []
    pidfd = os.pidfd_open(process.pid)
    for number in os.listdir("/proc/%d/fd" % process.pid):
        copy = ctypes.CDLL(None).syscall(PIDFD_GETFD, pidfd, int(number), 0)
        if copy < 0:
            continue  # It was closed meanwhile.
        try:
            sock = socket.socket(fileno=copy)
        except OSError:
            os.close(copy)  # It is a file.
            continue
        try:
            sock.getpeername()
            sockets.append(sock)
        except OSError:
            sock.close()
    os.close(pidfd)
    return sockets


def silence_connections(processes, ports):
    """Drops all that arrives on the open connections from and to these ports, for good; new ones work.

    Returns the number of connections' ends at these processes.
    """
    count = 0
    for sock in [s for process in processes for s in _open_sockets(process)]:
        try:
            if sock.family == socket.AF_INET and {sock.getpeername()[1], sock.getsockname()[1]} & set(ports):
                _drop_all_packets(sock)
                count += 1
        except OSError:
            pass  # It was closed meanwhile.
        sock.close()
    return count


def _disconnect(sock):
    """Resets a connection as the end of its process does: connecting to no address family drops it."""
    address = struct.pack("H14x", socket.AF_UNSPEC)
    ctypes.CDLL(None).connect(sock.fileno(), address, len(address))


class Partition:
    """The connections of one server, and the hosts that do not reach it."""

    def __init__(self, listener):
        self.listener, self.lock = listener, threading.Lock()
        self.accepted, self.silent = [], set()

    def add(self, sock):
        """Called with each accepted connection; it has the filter of the listener."""
        with self.lock:
            self.accepted = [s for s in self.accepted if s.fileno() >= 0] + [sock]

    def cut(self, address, established=True):
        """Drops what the host sends from now on; established=False spares its open connections."""
        with self.lock:
            self.silent.add(address)
            for sock in [self.listener, *(self.accepted if established else [])]:
                if sock.fileno() >= 0:
                    _drop_packets(sock, self.silent)

    def reset(self, address):
        """Resets the open connections of the host."""
        with self.lock:
            for sock in self.accepted:
                try:
                    if sock.getpeername()[0] == address:
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                        sock.shutdown(socket.SHUT_RD)
                        sock.close()
                except OSError:
                    pass

    def abort_all(self):
        """Resets all open connections at once, also those that a thread is using."""
        with self.lock:
            for sock in self.accepted:
                if sock.fileno() >= 0:
                    _disconnect(sock)

    def silence_established(self):
        """Drops all that arrives on the open connections from now on, for good; new ones work."""
        with self.lock:
            for sock in self.accepted:
                try:
                    _drop_packets(sock, [sock.getpeername()[0]])
                except OSError:
                    pass  # It was closed meanwhile.

    def heal(self, address):
        with self.lock:
            self.silent.discard(address)
            for sock in [self.listener, *self.accepted]:
                if sock.fileno() >= 0:
                    if self.silent:
                        _drop_packets(sock, self.silent)
                    else:
                        try:
                            sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
                        except OSError:
                            pass
