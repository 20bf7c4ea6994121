"""TCP and UDP proxy that injects faults on the links that it forwards."""

import asyncio
import random
import socket
import struct
import threading


class Proxy:
    """Forwards listeners to targets. A link is a pair of source and destination; a
    rule applies to the links that its predicate selects. The source is the
    sender's IP address unless the listener belongs to one sender.

    Faults of a rule: delay_s; cut (nothing passes and connections hang, also
    established ones, as in a half-open connection); reset; lose_answer (the
    request passes, the answer is replaced by a reset); reorder_s (each datagram
    is delayed by a random time up to this one). A rule for one direction of a
    link gives one-way loss."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.rules = {}
        self.secrets, self.secrets_seen, self.bytes = set(), 0, 0
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def _run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def forward(self, listen, target, destination, source=None, udp=False):
        listen_host, port = listen.rsplit(":", 1)
        target_address = (target.rsplit(":", 1)[0], int(target.rsplit(":", 1)[1]))
        self._run(asyncio.start_server(
            lambda r, w: self._serve(r, w, source, destination, target_address), listen_host, int(port)))
        if udp:
            self._run(self.loop.create_datagram_endpoint(
                lambda: _Datagrams(self, destination, target_address), (listen_host, int(port))))

    def inspect(self, data):
        """Counts the secrets in the forwarded data."""
        self.bytes += len(data)
        self.secrets_seen += sum(secret in data for secret in self.secrets)

    def add_rule(self, name, predicate, **faults):
        self.rules[name] = (predicate, faults)

    def clear_rules(self):
        self.rules = {}

    def find_fault(self, source, destination, name, default=None):
        for predicate, faults in list(self.rules.values()):
            if name in faults and predicate(source, destination):
                return faults[name]
        return default

    async def _serve(self, reader, writer, source, destination, target):
        source = source or writer.get_extra_info("peername")[0]
        try:
            while self.find_fault(source, destination, "cut"):
                await asyncio.sleep(0.2)
            if self.find_fault(source, destination, "reset"):
                return self._reset(writer)
            upstream_reader, upstream_writer = await asyncio.open_connection(*target)
            done = await asyncio.gather(
                self._copy(reader, upstream_writer, source, destination, False),
                self._copy(upstream_reader, writer, destination, source, True), return_exceptions=True)
            if any(isinstance(result, ConnectionError) for result in done):
                self._reset(writer)
            upstream_writer.close()
        except OSError:
            self._reset(writer)
        finally:
            writer.close()

    async def _copy(self, reader, writer, source, destination, is_response):
        try:
            while chunk := await reader.read(65536):
                self.inspect(chunk)
                await asyncio.sleep(self.find_fault(source, destination, "delay_s", 0))
                if is_response and self.find_fault(destination, source, "lose_answer"):
                    self._reset(writer)
                    return
                while self.find_fault(source, destination, "cut"):
                    await asyncio.sleep(0.2)
                writer.write(chunk)
                await writer.drain()
        finally:
            writer.close()

    @staticmethod
    def _reset(writer):
        connection = writer.get_extra_info("socket")
        if connection is not None:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            except OSError:
                pass  # Already closed by the other side.
        writer.transport.abort()


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, proxy, destination, target):
        self.proxy, self.destination, self.target = proxy, destination, target

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.proxy.inspect(data)
        find_fault = self.proxy.find_fault
        if find_fault(addr[0], self.destination, "cut"):
            return
        delay_s = find_fault(addr[0], self.destination, "delay_s", 0)
        delay_s += self.proxy.random.uniform(0, find_fault(addr[0], self.destination, "reorder_s", 0))
        self.proxy.loop.call_later(delay_s, self.transport.sendto, data, self.target)
