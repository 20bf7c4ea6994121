"""One proxy for TCP and UDP that injects faults on the links it carries."""

import asyncio
import random
import socket
import struct
import threading


class Proxy:
    """Forwards listeners to targets. A rule applies to the links, pairs of a
    source and a destination, that its predicate names. The source is the
    sender's IP address unless the listener belongs to one sender.

    Faults of a rule: delay_s; cut (nothing passes and connections hang, also
    established ones, as in a half-open connection); reset; lose_answer (the
    request passes, the answer is replaced by a reset); reorder_s (each
    datagram is held for a random time up to this one). A rule for one order
    of the pair gives one-way loss."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.rules = {}
        self.secrets, self.secrets_seen, self.bytes = set(), 0, 0
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def _run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def carry(self, listen, target, destination, source=None, udp=False):
        host, port = listen.rsplit(":", 1)
        to = (target.rsplit(":", 1)[0], int(target.rsplit(":", 1)[1]))
        self._run(asyncio.start_server(
            lambda r, w: self._serve(r, w, source, destination, to), host, int(port)))
        if udp:
            self._run(self.loop.create_datagram_endpoint(
                lambda: _Datagrams(self, destination, to), (host, int(port))))

    def inspect(self, data):
        """Counts the watched secrets in what passes."""
        self.bytes += len(data)
        self.secrets_seen += sum(secret in data for secret in self.secrets)

    def set(self, name, applies, **faults):
        self.rules[name] = (applies, faults)

    def clear(self):
        self.rules = {}

    def fault(self, source, destination, name, default=None):
        for applies, faults in list(self.rules.values()):
            if name in faults and applies(source, destination):
                return faults[name]
        return default

    async def _serve(self, reader, writer, source, host, target):
        source = source or writer.get_extra_info("peername")[0]
        try:
            while self.fault(source, host, "cut"):
                await asyncio.sleep(0.2)
            if self.fault(source, host, "reset"):
                return self._reset(writer)
            upstream_reader, upstream_writer = await asyncio.open_connection(*target)
            done = await asyncio.gather(
                self._pump(reader, upstream_writer, source, host, False),
                self._pump(upstream_reader, writer, host, source, True), return_exceptions=True)
            if any(isinstance(result, ConnectionError) for result in done):
                self._reset(writer)
            upstream_writer.close()
        except OSError:
            self._reset(writer)
        finally:
            writer.close()

    async def _pump(self, reader, writer, source, destination, answer):
        try:
            while chunk := await reader.read(65536):
                self.inspect(chunk)
                await asyncio.sleep(self.fault(source, destination, "delay_s", 0))
                if answer and self.fault(destination, source, "lose_answer"):
                    self._reset(writer)
                    return
                while self.fault(source, destination, "cut"):
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
    def __init__(self, proxy, host, target):
        self.proxy, self.host, self.target = proxy, host, target

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.proxy.inspect(data)
        fault = self.proxy.fault
        if fault(addr[0], self.host, "cut"):
            return
        wait = fault(addr[0], self.host, "delay_s", 0)
        wait += self.proxy.random.uniform(0, fault(addr[0], self.host, "reorder_s", 0))
        self.proxy.loop.call_later(wait, self.transport.sendto, data, self.target)
