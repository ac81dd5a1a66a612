"""A small mesh of real node processes on loopback addresses, with stand-ins.

The nodes are started with the command of deploy/system.toml and with settings rendered from
deploy/settings.json. The store, the upstreams, the clients and the links between nodes are
stand-ins in this process, and follow the users' pages.
"""

import base64
import http.client
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "shop.example"
BOUNDS = {"stable": 3.0, "drain": 2.0, "grace": 6.0, "config_apply": 2.0}
BEAT_S = 1.5
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case couldn't run; says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text, at=None):
        at = self.now() if at is None else at
        with self.lock:
            self.file.write(f"{at:9.3f} {text}\n")
            self.file.flush()


class QuietHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def body(self):
        if self.headers.get("Transfer-Encoding", "").lower() == "chunked":
            data = b""
            while True:
                size = int(self.rfile.readline().split(b";")[0], 16)
                data += self.rfile.read(size)
                self.rfile.readline()
                if size == 0:
                    return data
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def reply(self, status, body=b"", headers=()):
        self.send_response_only(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        if body:
            self.wfile.write(body)


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass


def serve(addr, handler):
    server = Server(addr, handler)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


class Store:
    """The platform's store: a log with topics, one partition each."""

    def __init__(self, ip):
        self.topics = {}
        self.changed = threading.Condition()
        store = self

        class Handler(QuietHandler):
            def do_POST(self):
                store.post(self)

            def do_GET(self):
                store.get(self)

        self.server = serve((ip, 0), Handler)
        self.addr = "%s:%d" % self.server.server_address

    def append(self, topic, records):
        with self.changed:
            stored = self.topics.setdefault(topic, [])
            offset = len(stored)
            stored.extend(records)
            self.changed.notify_all()
            return offset, len(stored)

    def write(self, key, value):
        """Writes an operator's document; its return is the acknowledgement."""
        key = key.encode()
        self.append("keyed.op", [bytes([len(key)]) + key + json.dumps(value).encode()])

    def read(self, topic, key):
        """Returns the newest document of a key."""
        key, value = key.encode(), None
        with self.changed:
            for record in self.topics.get(topic, []):
                if record[1 : 1 + record[0]] == key:
                    value = record[1 + record[0] :]
        return json.loads(value) if value else None

    def post(self, handler):
        url = urlsplit(handler.path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        body, records = handler.body(), []
        if url.path != "/api/log-append":
            return handler.reply(404)
        while body:
            length = int.from_bytes(body[:4], "big")
            records.append(body[4 : 4 + length])
            body = body[4 + length :]
        with self.changed:
            end = len(self.topics.get(query["topic"], []))
            if "at" in query and int(query["at"]) != end:
                return handler.reply(412, json.dumps({"end": end}).encode())
            offset, end = self.append(query["topic"], records)
        handler.reply(200, json.dumps({"offset": offset, "end": end}).encode())

    def get(self, handler):
        url = urlsplit(handler.path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        topic = query.get("topic", "")
        if url.path == "/api/log-newest":
            return self.newest(handler, topic, query.get("after", ""))
        if url.path != "/api/log-read":
            return handler.reply(404)
        start = int(query["from"])
        until = time.monotonic() + min(int(query.get("wait_ms", 0)), 30_000) / 1000
        with self.changed:
            while len(self.topics.get(topic, [])) <= start and time.monotonic() < until:
                self.changed.wait(until - time.monotonic())
            records = self.topics.get(topic, [])
            end, records = len(records), records[start:]
        body = end.to_bytes(8, "big") + bytes(8)
        body += b"".join(len(r).to_bytes(4, "big") + r for r in records)
        handler.reply(200, body)

    def newest(self, handler, topic, after):
        with self.changed:
            records, newest = self.topics.get(topic, []), {}
            for offset, record in enumerate(records):
                length = record[0]
                newest[record[1 : 1 + length].decode()] = (record[1 + length :], offset)
            end = len(records)
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in sorted(newest.items())
            if value and key > after
        ]
        body = {"items": items[:500], "more": len(items) > 500, "end": end}
        handler.reply(200, json.dumps(body).encode())


def render(template, values):
    """Renders the placeholders of deploy/settings.json."""

    def find(path):
        value = values
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    def one(match):
        value = find(match[1])
        return json.dumps(value) if match[2] else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", one, template)


class Upstream:
    """An application's upstream. It announces itself to the node on its machine."""

    def __init__(self, machine, service, version="v1", slots=12, work=0.05):
        self.machine, self.service, self.version = machine, service, version
        self.slots, self.work = slots, work
        # Requests to this path crash the upstream, which is back after the time in seconds.
        self.poison, self.down = None, 2.0
        # Share of the runs that end with status 500.
        self.failing = 0.0
        self.runs, self.lock = [], threading.Lock()
        self.begin()
        threading.Thread(target=self.beat_on, daemon=True).start()

    def begin(self):
        """Starts an incarnation."""
        self.id = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.seq, self.state, self.beating = 0, "ready", True
        self.free = threading.Semaphore(self.slots)
        self.connections, self.ended = set(), threading.Event()
        upstream = self

        class Handler(QuietHandler):
            def setup(self):
                super().setup()
                upstream.connections.add(self.connection)

            def finish(self):
                upstream.connections.discard(self.connection)
                super().finish()

            def handle_any(self):
                upstream.handle(self)

            do_GET = do_POST = do_PUT = handle_any

        self.server = serve((self.machine.ip, self.machine.ports["app"]), Handler)

    def handle(self, handler):
        body = handler.body()
        if handler.path == "/healthz":
            status = 200 if self.state == "ready" else 503
            return handler.reply(status, b"", [("Savorykeel-Instance-Id", self.id)])
        request_id = handler.headers.get("Savorykeel-Attempt-Id")
        echo = [("Savorykeel-Attempt-Id", request_id or "")]
        expected = handler.headers.get("Savorykeel-Expect-Instance")
        if expected not in (None, self.id):
            own = ("Savorykeel-Instance-Id", self.id)
            return handler.reply(421, b"", [*echo, own])
        not_run = [*echo, ("Savorykeel-Not-Executed", "1")]
        if request_id is None:
            return handler.reply(400, b"", not_run)
        free = self.free
        if not free.acquire(timeout=0.5):
            return handler.reply(503, b"", not_run)
        run = {"at": self.machine.mesh.record.now(), "id": request_id, "path": handler.path,
               "tenant": handler.headers.get("Savorykeel-Tenant"), "ended": None, "status": None}
        try:
            with self.lock:
                self.runs.append(run)
            self.machine.mesh.record.write(
                f"RUN {request_id} {handler.path} at {self.machine.name} ({self.id}, {self.state})"
            )
            if handler.path == self.poison:
                threading.Thread(target=self.crash, args=(self.ended,), daemon=True).start()
            if self.ended.wait(self.work):
                return
            run["ended"] = self.machine.mesh.record.now()
        finally:
            free.release()
        stamp = ("Savorykeel-Response-Stamp", f"{self.id}.{request_id}")
        run["status"] = 500 if random.random() < self.failing else 200
        handler.reply(run["status"], b"ran " + request_id.encode() + b" " + body, [*echo, stamp])

    def message(self):
        """Returns the body of the next heartbeat."""
        self.seq += 1
        return json.dumps({
            "service": self.service, "address": f"{self.machine.ip}:{self.machine.ports['app']}",
            "zone": self.machine.zone, "version": self.version, "slots": self.slots,
            "state": self.state, "cold_left": "0ms", "seq": self.seq, "born": self.born,
        })

    def send(self, method, body=None):
        """Sends a heartbeat or a notice of leaving; returns whether it was acknowledged."""
        try:
            connection = http.client.HTTPConnection(
                self.machine.ip, self.machine.ports["control"], timeout=1.0)
            headers = {"Content-Type": "application/json"} if body else {}
            connection.request(method, f"/api/instances/{self.id}", body, headers)
            status = connection.getresponse().status
            connection.close()
        except OSError:
            return False
        return 200 <= status < 300

    def beat_on(self):
        while not self.machine.mesh.is_stopped.is_set():
            if self.beating:
                self.send("PUT", self.message())
            self.machine.mesh.is_stopped.wait(BEAT_S)

    def exit(self):
        """Ends the upstream: its listener closes, then its connections."""
        self.beating = False
        self.server.socket.shutdown(socket.SHUT_RDWR)
        self.ended.set()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.server.shutdown()
        self.server.server_close()

    def crash(self, incarnation):
        """Ends the incarnation without a notice; the next one begins some seconds later."""
        with self.lock:
            if incarnation.is_set():
                return
            self.machine.mesh.record.write(f"upstream {self.id} at {self.machine.name} crashes")
            self.exit()
        time.sleep(self.down)
        self.begin()
        self.machine.mesh.record.write(f"upstream {self.id} at {self.machine.name} starts")
        self.send("PUT", self.message())


class Link:
    """The path of other machines to one node. A cut is silent: bytes stay where they are."""

    def __init__(self, machine):
        self.machine = machine
        self.cut_from = set()
        self.is_open = threading.Condition()
        self.listener = socket.create_server((machine.ip, 0), backlog=256)
        self.addr = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def set_cut(self, ips):
        with self.is_open:
            self.cut_from = set(ips)
            self.is_open.notify_all()

    def wait(self, ip):
        with self.is_open:
            while ip in self.cut_from:
                self.is_open.wait()

    def accept(self):
        while True:
            try:
                stream, peer = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.forward, args=(stream, peer[0]), daemon=True).start()

    def forward(self, stream, ip):
        self.wait(ip)
        try:
            target = (self.machine.ip, self.machine.ports["peers"])
            onward = socket.create_connection(target, timeout=1.0)
        except OSError:
            return stream.close()
        for end in (stream, onward):
            end.settimeout(None)
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        back = threading.Thread(target=self.pump, args=(onward, stream, ip), daemon=True)
        back.start()
        self.pump(stream, onward, ip)

    def pump(self, source, sink, ip):
        try:
            while data := source.recv(65536):
                self.wait(ip)
                sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Machine:
    """A machine: a node, and the place of an upstream."""

    def __init__(self, mesh, name, zone, ip, service, with_link):
        self.mesh, self.name, self.zone, self.ip, self.service = mesh, name, zone, ip, service
        names = ["inbound", "outbound", "readiness", "control", "app", "peers", "operators",
                 "metrics"]
        self.ports = dict(zip(names, free_ports(ip, len(names))))
        self.link = Link(self) if with_link else None
        self.process, self.upstream, self.started_at = None, None, None
        self.write_settings()

    def write_settings(self):
        at = lambda name: f"{self.ip}:{self.ports[name]}"
        listen = {name: at(name) for name in ["inbound", "outbound", "readiness", "control"]}
        values = {
            "node": self.name, "zone": self.zone, "region": "region", "ip": self.ip,
            "listen": listen, "port_range": [self.ports["peers"], self.ports["operators"]],
            "platform": {"address": self.mesh.store.addr}, "app": at("app"),
            "service": self.service, "limits": {"link_mbps": 1000.0},
            "bounds": {name: f"{span}s" for name, span in BOUNDS.items()},
        }
        with open(os.path.join(ROOT, "deploy", "settings.json")) as template:
            settings = json.loads(render(template.read(), values))
        # The port in the template is fixed; here it may be taken.
        settings["listen"]["metrics"] = at("metrics")
        if self.link:
            settings["advertise"] = {"peers": self.link.addr}
        self.settings = os.path.join(self.mesh.dir, f"{self.name}.json")
        with open(self.settings, "w") as file:
            json.dump(settings, file)

    def start(self):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["SAVORYKEEL_NODE_FILE"] = self.settings
        log = open(os.path.join(self.mesh.dir, f"{self.name}.log"), "a")
        self.process = subprocess.Popen(
            self.mesh.command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.started_at = self.mesh.record.now()
        self.mesh.record.write(f"node of {self.name} starts")

    def kill(self):
        self.mesh.record.write(f"node of {self.name} is killed")
        self.process.kill()
        self.process.wait()

    def terminate(self):
        """Sends SIGTERM and waits until the node has ended, at most for the time of grace."""
        self.mesh.record.write(f"node of {self.name} gets SIGTERM")
        self.process.terminate()
        try:
            self.process.wait(BOUNDS["grace"])
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.mesh.record.write(f"node of {self.name} has ended")

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(self.ip, self.ports["readiness"], timeout=1.0)
            connection.request("GET", "/api/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def metric(self, pattern):
        """Returns the sum of the node's metrics whose lines match a pattern."""
        connection = http.client.HTTPConnection(self.ip, self.ports["metrics"], timeout=2.0)
        connection.request("GET", "/metrics")
        page = connection.getresponse().read().decode()
        return sum(float(line.split()[-1]) for line in page.splitlines() if re.match(pattern, line))

    def request(self, path, method="GET", key=None, deadline=2.0, body=None, request_id=None):
        """Sends a request of a client; returns its id and the status, None if there was none."""
        request_id = request_id or "%016x" % random.getrandbits(64)
        headers = {"Host": HOST, "Savorykeel-Attempt-Id": request_id,
                   "Savorykeel-Deadline-Ms": str(int(deadline * 1000))}
        if key:
            headers["Authorization"] = f"Bearer {key}"
        sent_at, answer, stamp = self.mesh.record.now(), None, None
        try:
            connection = http.client.HTTPConnection(self.ip, self.ports["outbound"], timeout=deadline)
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            response.read()
            answer, stamp = response.status, response.getheader("Savorykeel-Response-Stamp")
            connection.close()
        except (OSError, http.client.HTTPException):
            pass
        ended_at = self.mesh.record.now()
        self.mesh.record.write(
            f"SENT {request_id} {method} {path} to {self.name}, answered {answer}"
            f"{'' if stamp else ' without stamp'} after {ended_at - sent_at:.3f} s", sent_at)
        return {"id": request_id, "sent_at": sent_at, "ended_at": ended_at, "status": answer,
                "at": self.name}


def free_ports(ip, count):
    sockets = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Mesh:
    """Machines, their nodes and the store."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.dir = tempfile.mkdtemp(prefix="mesh-")
        with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
            role = file.read().partition("[roles.node]")[2]
        self.command = shlex.split(re.search(r'^run *= *"(.*)"', role, re.MULTILINE)[1])
        if not os.path.exists(os.path.join(ROOT, self.command[0])):
            raise CannotRun("the program isn't built")
        self.network = random.randrange(2, 250)
        self.store = Store(f"127.{self.network}.0.1")
        self.machines = []
        self.is_stopped = threading.Event()

    def add(self, name, zone, service, with_link=False):
        number = len(self.machines) + 1
        ip = f"127.{self.network}.1.{number}"
        machine = Machine(self, name, zone, ip, service, with_link)
        self.machines.append(machine)
        return machine

    def start(self, configuration):
        self.store.write("config", configuration)
        for machine in self.machines:
            machine.start()
        for machine in self.machines:
            machine.upstream = Upstream(machine, machine.service)
        self.wait_ready()

    def wait_ready(self):
        self.wait("all nodes are ready", lambda: all(m.is_ready() for m in self.machines))

    def wait(self, what, condition, limit=20.0):
        until = time.monotonic() + limit
        while not condition():
            if time.monotonic() > until:
                raise CannotRun(f"not within {limit} s: {what}")
            time.sleep(0.1)
        self.record.write(what)

    def stop(self):
        self.is_stopped.set()
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.dir, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.dir, ignore_errors=True)


def configuration(version, services, kind="idempotent", tenants=None, slo="500ms", timeout="2s"):
    """Returns a configuration with a route `/SERVICE/` to each service."""
    rules = [{
        "name": f"r-{name}", "kind": kind, "slo": slo, "priority": 1, "public": False,
        "match": {"path_prefix": f"/{name}/"},
        "action": {"service": name, "timeout": timeout, "attempts": 2},
    } for name in services]
    limits = {"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout": "3000ms",
              "idle_timeout": "15000ms"}
    document = {"version": version, "limits": limits,
                "listeners": [{"host": HOST, "rules": rules}],
                "clusters": [{"name": name, "health_path": "/healthz", "max_conns": 120,
                              "protocol": "h1", "tls": False} for name in services]}
    if tenants is not None:
        document["tenants"] = tenants
    return document


def main(folder, case):
    """Runs a case, which returns whether the rule held, and exits as the issue says."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    mesh, code = None, 2
    try:
        mesh = Mesh(folder)
        code = 0 if case(mesh) else 1
    except CannotRun as problem:
        print(f"the case couldn't run: {problem}")
    except Exception:
        traceback.print_exc()
    finally:
        if mesh:
            mesh.stop()
    print({0: "the rule held", 1: "the rule was broken", 2: "not run"}[code])
    sys.stdout.flush()
    os._exit(code)
