"""Stand-ins of the platform for the scripts of this folder.

One process holds the store, the backend servers and the clients; the nodes are separate
processes that are started with the command and the settings template of the deploy file.
Every machine has its own loopback address.
"""

import asyncio
import base64
import json
import os
import random
import re
import secrets
import shutil
import socket
import struct
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BEAT_S = 0.87
DRAIN_S = 2.0
STABLE_S = 3.0


# --- record -----------------------------------------------------------------------------

class Record:
    """Events of a run with their time since its start, written to record.txt."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.started = time.monotonic()
        self.events = []

    def add(self, kind, **fields):
        at = time.monotonic() - self.started
        event = {"at": at, "kind": kind, **fields}
        self.events.append(event)
        return event

    def of(self, kind):
        return [event for event in self.events if event["kind"] == kind]

    def write(self, summary):
        with open(self.path, "w") as out:
            for event in self.events:
                fields = " ".join(f"{k}={v}" for k, v in event.items() if k not in ("at", "kind"))
                out.write(f"{event['at']:8.3f} {event['kind']} {fields}\n")
            for line in summary:
                out.write(line + "\n")


# --- HTTP -------------------------------------------------------------------------------

async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode_response(status, headers, body):
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def http_call(host, port, method, path, headers=None, body=b"", timeout=2.0):
    """Sends one request on a new connection; returns None if no whole answer arrives."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port)
            return await http_exchange(reader, writer, method, path, headers, body)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return None
    finally:
        if writer:
            writer.close()


async def http_exchange(reader, writer, method, path, headers=None, body=b""):
    headers = dict(headers or {})
    headers.setdefault("Host", "x.example")
    if body or method in ("POST", "PUT"):
        headers["Content-Length"] = str(len(body))
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers.items())
    writer.write(head.encode("latin-1") + b"\r\n" + body)
    await writer.drain()
    line, answer_headers = await read_head(reader)
    status = int(line.split(" ")[1])
    return Answer(status, answer_headers, await read_body(reader, answer_headers))


# --- the platform's store ----------------------------------------------------------------

class Store:
    """The metadata store: topics of one partition, with long polls and keyed topics."""

    def __init__(self, host):
        self.host = host
        self.port = 8309
        self.topics = {}
        self.changed = asyncio.Condition()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port)

    async def append(self, topic, records):
        records_of_topic = self.topics.setdefault(topic, [])
        offset = len(records_of_topic)
        records_of_topic.extend(records)
        async with self.changed:
            self.changed.notify_all()
        return offset

    async def put(self, key, document):
        """Writes a document of the operator; returning is the acknowledgement."""
        value = json.dumps(document).encode()
        return await self.append("keyed.op", [bytes([len(key)]) + key.encode() + value])

    def newest(self, topic):
        newest = {}
        for offset, record in enumerate(self.topics.get(topic, [])):
            length = record[0]
            key, value = record[1:1 + length].decode(), record[1 + length:]
            if value:
                newest[key] = (offset, value)
            else:
                newest.pop(key, None)
        return newest

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                writer.write(await self.answer(method, target, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&") if part)
        topic = query.get("topic", "")
        if path == "/api/log-append":
            records = []
            while body:
                (length,) = struct.unpack(">I", body[:4])
                records.append(body[4:4 + length])
                body = body[4 + length:]
            await asyncio.sleep(0.004)
            offset = await self.append(topic, records)
            end = len(self.topics[topic])
            return json_response({"offset": offset, "end": end})
        if path == "/api/log-read":
            start, wait = int(query["from"]), int(query.get("wait_ms", "0")) / 1000
            await self.wait_for(topic, start, wait)
            records = self.topics.get(topic, [])
            data = struct.pack(">QQ", len(records), 0)
            for record in records[start:]:
                data += struct.pack(">I", len(record)) + record
            return encode_response(200, {"Content-Type": "application/octet-stream"}, data)
        if path == "/api/log-newest":
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (offset, value) in sorted(self.newest(topic).items())
                if key > query.get("after", "")
            ]
            end = len(self.topics.get(topic, []))
            return json_response({"items": items[:500], "more": len(items) > 500, "end": end})
        return json_response({}, 404)

    async def wait_for(self, topic, start, wait):
        if wait <= 0 or len(self.topics.get(topic, [])) > start:
            return
        try:
            async with asyncio.timeout(wait), self.changed:
                await self.changed.wait_for(lambda: len(self.topics.get(topic, [])) > start)
        except TimeoutError:
            pass


def json_response(value, status=200):
    body = json.dumps(value).encode()
    return encode_response(status, {"Content-Type": "application/json"}, body)


# --- machines and nodes ------------------------------------------------------------------

class Machine:
    """One machine: its address, its node process and the settings of the node."""

    def __init__(self, mesh, index, zone, service):
        self.mesh, self.zone, self.service = mesh, zone, service
        self.name = f"sidecar-{zone}-{index}"
        self.ip = f"127.{mesh.net}.1.{index}"
        self.ports = {"inbound": 8300, "app": 8301, "readiness": 8302, "outbound": 8304,
                      "control": 8306}
        self.process = None
        self.started_at = None
        self.log = open(os.path.join(mesh.folder, f"{self.name}.log"), "ab")

    def settings(self):
        address = lambda name: f"{self.ip}:{self.ports[name]}"
        fields = {
            "node": self.name, "zone": self.zone, "region": "addis", "ip": self.ip,
            "listen": {name: address(name) for name in ("inbound", "outbound", "readiness", "control")},
            "port_range": [7620, 7635],
            "platform": {"address": f"{self.mesh.store.host}:{self.mesh.store.port}"},
            "bounds": {"grace": "6s"},
            "service": self.service, "app": address("app"),
        }
        with open(os.path.join(ROOT, "deploy", "settings.json")) as template:
            return render(template.read(), fields)

    async def start(self):
        path = os.path.join(self.mesh.folder, f"{self.name}.json")
        with open(path, "w") as out:
            out.write(self.settings())
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as deploy:
            command = tomllib.load(deploy)["roles"]["node"]["run"].split(" ")
        env = {"PATH": os.environ["PATH"], "SAVORYKEEL_NODE_FILE": path}
        self.started_at = time.monotonic()
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=env, stdout=self.log, stderr=self.log)

    async def kill(self):
        self.process.kill()
        await self.process.wait()

    async def is_ready(self):
        answer = await http_call(self.ip, self.ports["readiness"], "GET", "/api/readyz", timeout=1)
        return answer is not None and answer.status == 200

    async def wait_ready(self, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    def was_in_touch(self, at):
        """Whether the process had run for the whole `stable` before a moment."""
        return self.process.returncode is None and at - self.started_at >= STABLE_S


def render(template, fields):
    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return json.dumps(found) if match.group(2) else str(found)
    return re.sub(r"\{\{([a-z_.0-9]+)(\|json)?\}\}", value, template)


class Mesh:
    """The store, the machines and the servers of a run."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="savorykeel-review-")
        self.net = free_net()
        self.store = Store(f"127.{self.net}.200.1")
        self.machines = []
        self.servers = []

    def machine(self, zone, service):
        machine = Machine(self, len(self.machines) + 1, zone, service)
        self.machines.append(machine)
        return machine

    async def start(self, configuration):
        await self.store.start()
        await self.store.put("config", configuration)
        for machine in self.machines:
            await machine.start()
        for machine in self.machines:
            if not await machine.wait_ready():
                raise CannotRun(f"{machine.name} isn't ready")

    async def stop(self):
        for machine in self.machines:
            if machine.process and machine.process.returncode is None:
                await machine.kill()
            machine.log.close()
        for server in self.servers:
            await server.end()
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    pass


def free_net():
    """Picks a loopback network whose addresses nothing listens on."""
    for _ in range(50):
        net = random.randrange(10, 250)
        try:
            for port in (8309, 8304, 7620):
                with socket.socket() as probe:
                    probe.bind((f"127.{net}.1.1", port))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


# --- backend servers ---------------------------------------------------------------------

class Server:
    """A backend server that behaves as the pages say, beside the node of a machine."""

    def __init__(self, mesh, machine, work_s=0.1, slots=12, version="v1"):
        self.mesh, self.machine, self.record = mesh, machine, mesh.record
        self.work_s, self.slots, self.version = work_s, slots, version
        self.id = "i-" + secrets.token_hex(4)
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.free = asyncio.Semaphore(slots)
        self.waiting = 0
        self.server = None
        self.connections = set()
        self.beat_task = None
        mesh.servers.append(self)

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.machine.ip, self.machine.ports["app"], limit=1 << 20)
        self.beat_task = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            await self.send_beat(self.next_beat())
            await asyncio.sleep(BEAT_S)

    def next_beat(self):
        self.seq += 1
        return {
            "service": self.machine.service,
            "address": f"{self.machine.ip}:{self.machine.ports['app']}",
            "zone": self.machine.zone, "version": self.version, "slots": self.slots,
            "state": self.state, "cold_left": "0ms", "seq": self.seq, "born": self.born,
        }

    async def send_beat(self, beat):
        """Returns whether the node acknowledged the heartbeat."""
        answer = await http_call(
            self.machine.ip, self.machine.ports["control"], "PUT", f"/api/instances/{self.id}",
            {"Content-Type": "application/json"}, json.dumps(beat).encode(), timeout=1)
        return answer is not None and answer.status // 100 == 2

    async def leave(self):
        """Says that the server leaves, as one does that never reports `draining`."""
        answer = await http_call(
            self.machine.ip, self.machine.ports["control"], "DELETE", f"/api/instances/{self.id}",
            {"Content-Type": "application/json"}, json.dumps({"born": self.born}).encode(), timeout=1)
        return answer is not None and answer.status // 100 == 2

    def stop_beats(self):
        if self.beat_task:
            self.beat_task.cancel()
            self.beat_task = None

    async def end(self):
        """Ends the process: closes the listener and every connection."""
        self.stop_beats()
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _ = line.split(" ")
                work = asyncio.create_task(self.answer(method, path, headers, body))
                closed = asyncio.create_task(wait_closed(reader))
                await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    work.cancel()
                    return
                closed.cancel()
                writer.write(work.result())
                await writer.drain()
                await self.after_answer(writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def after_answer(self, writer):
        """Called after each answer; faulty servers override it."""

    async def answer(self, method, path, headers, body):
        if path == "/healthz":
            return encode_response(200 if self.state == "ready" else 503,
                                   {"Savorykeel-Instance-Id": self.id}, b"")
        attempt = headers.get("savorykeel-attempt-id", "")
        echo = {"Savorykeel-Attempt-Id": attempt}
        if headers.get("savorykeel-expect-instance", self.id) != self.id:
            return encode_response(421, {**echo, "Savorykeel-Instance-Id": self.id}, b"")
        arrived = self.record.add("arrived", server=self.id, machine=self.machine.name,
                                  id=attempt, path=path, bytes=len(body))
        if self.free.locked() and self.waiting >= 4 * self.slots:
            return encode_response(503, {**echo, "Savorykeel-Not-Executed": "1"}, b"")
        deadline = time.monotonic() + float(headers.get("savorykeel-deadline-ms", "10000")) / 1000
        self.waiting += 1
        try:
            async with asyncio.timeout(max(deadline - time.monotonic(), 0)):
                await self.free.acquire()
        except TimeoutError:
            return encode_response(503, {**echo, "Savorykeel-Not-Executed": "1"}, b"")
        finally:
            self.waiting -= 1
        try:
            self.record.add("runs", server=self.id, machine=self.machine.name, id=attempt,
                            path=path, method=method)
            work = self.work_s(path) if callable(self.work_s) else self.work_s
            left = deadline - time.monotonic()
            await asyncio.sleep(min(work, max(left, 0)))
            status = 200 if work <= left else 504
            echo["Savorykeel-Response-Stamp"] = f"{self.id}.{attempt}.{status}"
            self.record.add("ran", server=self.id, id=attempt, status=status)
            return encode_response(status, echo, f"{attempt} {len(body)}".encode())
        finally:
            self.free.release()


async def wait_closed(reader):
    """Returns when the peer has closed the connection, without taking bytes from it."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)


# --- clients -----------------------------------------------------------------------------

async def request(record, machine, route, tail="", method="GET", body=b"", deadline_ms=2500,
                  connection=None, attempt=None):
    """Sends one client attempt and records what was sent and answered."""
    attempt = attempt or secrets.token_hex(8)
    headers = {"Host": route["host"], "Savorykeel-Attempt-Id": attempt,
               "Savorykeel-Deadline-Ms": str(deadline_ms)}
    path = route["path"] + (tail or secrets.token_hex(3))
    record.add("sent", id=attempt, machine=machine.name, method=method, path=path, bytes=len(body))
    if connection:
        answer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                answer = await http_exchange(*connection, method, path, headers, body)
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
            pass
    else:
        answer = await http_call(machine.ip, machine.ports["outbound"], method, path, headers, body,
                                 timeout=deadline_ms / 1000)
    status = answer.status if answer else "closed"
    code = answer.headers.get("savorykeel-code", "-") if answer else "-"
    stamp = answer.headers.get("savorykeel-response-stamp", "-") if answer else "-"
    record.add("answered", id=attempt, status=status, code=code, stamp=stamp,
               body=answer.body[:40].decode("latin-1") if answer and status == 200 else "-")
    return answer


def configuration(version, routes, services):
    return {
        "version": version,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                   "header_timeout": "3000ms", "idle_timeout": "15000ms"},
        "base_version": version - 1,
        "listeners": [
            {"host": route["host"], "rules": [{
                "name": route["name"], "kind": route["kind"], "slo": route["slo"],
                "priority": route.get("priority", 1), "match": {"path_prefix": route["path"]},
                "action": {"service": route["service"], "timeout": route["timeout"],
                           "attempts": route.get("attempts", 2)},
            }]} for route in routes
        ],
        "clusters": [{"name": name, "health_path": "/healthz", "max_conns": 120, "protocol": "h1",
                      "tls": False} for name in services],
    }


# --- running a case ----------------------------------------------------------------------

def run_case(folder, case, limit=110):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        mesh = Mesh(record)
        try:
            async with asyncio.timeout(limit):
                return await case(mesh, record, trouble)
        finally:
            await mesh.stop()

    try:
        broken, summary = asyncio.run(play())
    except BaseException as problem:
        record.write([f"the case couldn't run: {problem!r}"])
        print(f"the case couldn't run: {problem!r}")
        sys.exit(2)
    record.write(summary)
    print("\n".join(summary))
    sys.exit(1 if broken else 0)
