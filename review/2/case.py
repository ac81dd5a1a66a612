"""A planned stop of a node cuts requests of clients that pipeline."""

import asyncio
import os
import random
import secrets
import signal
import socket
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

from mesh import Server, configuration, run_case

ROUTE = {"name": "r-stock", "host": "stock.example", "path": "/stock/", "kind": "idempotent",
         "slo": "150ms", "timeout": "1000ms", "service": "dispatch", "priority": 1}
GRACE_S = 6.0
CLIENTS = 2
SPACING_S = 0.025
DEADLINE_S = 1.0


class Pipeliner:
    """Sends a request every SPACING_S on one connection until an answer closes it.

    It uses the socket directly: bytes that arrived before a reset are read, also after a
    request could not be sent any more.
    """

    def __init__(self, record, machine, stop):
        self.record, self.machine, self.stop = record, machine, stop
        self.loop = asyncio.get_running_loop()
        self.in_flight, self.received, self.closes = [], b"", False

    async def run(self):
        while not self.stop.is_set():
            sock = socket.socket()
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            try:
                await self.loop.sock_connect(sock, (self.machine.ip, self.machine.ports["outbound"]))
                self.received, self.closes = b"", False
                await self.use(sock)
            except OSError:
                await asyncio.sleep(0.1)
            finally:
                sock.close()
            for attempt in self.in_flight:
                self.record.add("answered", id=attempt, status="closed")
            self.in_flight.clear()

    async def use(self, sock):
        sender = asyncio.create_task(self.send_steadily(sock))
        try:
            while not (sender.done() and not self.in_flight):
                try:
                    data = await self.loop.sock_recv(sock, 1 << 16)
                except OSError:
                    return
                if not data:
                    return
                self.received += data
                while self.take_answer():
                    pass
        finally:
            sender.cancel()

    async def send_steadily(self, sock):
        while not (self.closes or self.stop.is_set()):
            await self.send(sock)
            await asyncio.sleep(SPACING_S)

    async def send(self, sock):
        attempt = secrets.token_hex(8)
        path = ROUTE["path"] + secrets.token_hex(3)
        head = (f"GET {path} HTTP/1.1\r\nHost: {ROUTE['host']}\r\n"
                f"Savorykeel-Attempt-Id: {attempt}\r\nSavorykeel-Deadline-Ms: 1000\r\n\r\n")
        try:
            await self.loop.sock_sendall(sock, head.encode())
        except OSError:
            self.closes = True
            return
        self.record.add("sent", id=attempt, machine=self.machine.name, path=path)
        self.in_flight.append(attempt)

    def take_answer(self):
        """Takes one whole answer from the bytes received; returns whether there was one."""
        head, end, rest = self.received.partition(b"\r\n\r\n")
        if not end:
            return False
        lines = head.decode("latin-1").lower().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines[1:])
        length = int(headers.get("content-length", "0"))
        if len(rest) < length:
            return False
        self.received = rest[length:]
        closes = headers.get("connection") == "close"
        self.closes = self.closes or closes
        self.record.add("answered", id=self.in_flight.pop(0), status=int(lines[0].split(" ")[1]),
                        closes=closes)
        return True


async def case(mesh, record, trouble):
    machines = [mesh.machine(zone, "dispatch") for zone in ("bole", "akaki", "kality")]
    await mesh.start(configuration(1, [ROUTE], ["dispatch"]))
    for machine in machines:
        await Server(mesh, machine, work_s=lambda _: random.uniform(0.03, 0.066)).start()
    await asyncio.sleep(4)
    stop, stopping = asyncio.Event(), machines[0]
    clients = [asyncio.create_task(Pipeliner(record, stopping, stop).run()) for _ in range(CLIENTS)]
    await asyncio.sleep(4)
    signalled = None
    if trouble:
        stopping.process.send_signal(signal.SIGTERM)
        signalled = record.add("sigterm", machine=stopping.name)["at"]
        started = time.monotonic()
        try:
            code = await asyncio.wait_for(stopping.process.wait(), GRACE_S)
        except TimeoutError:
            code = "killed"
            await stopping.kill()
        record.add("process-ended", machine=stopping.name, exit=code,
                   after=round(time.monotonic() - started, 3))
    else:
        await asyncio.sleep(GRACE_S)
    stop.set()
    await asyncio.sleep(0.5)
    for client in clients:
        client.cancel()
    return judge(record, signalled)


def judge(record, signalled):
    arrived = {event["id"] for event in record.of("arrived")}
    sent = {event["id"]: event["at"] for event in record.of("sent")}
    closed = [e for e in record.of("answered") if e["status"] == "closed"]
    # A request that was sent behind another one and wasn't passed on doesn't count.
    lost = [e for e in closed if e["id"] in arrived and e["at"] < sent[e["id"]] + DEADLINE_S]
    late = [e for e in lost if signalled is not None and sent[e["id"]] > signalled + 3]
    summary = [f"requests that were passed on to a server and closed without an answer: {len(lost)}; "
               f"sent later than 3 s after SIGTERM: {len(late)}"]
    return bool(late), summary


run_case(FOLDER, case)
