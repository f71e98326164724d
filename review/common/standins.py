"""Stand-ins for the platform's store, workers and clients, and the start of real nodes.

Used by the scripts of the review's cases. Standard library only; everything runs on loopback
addresses. The stand-ins follow the users' pages (PROTOCOL.md, DEPLOY.md).
"""
import asyncio
import base64
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
# The command of deploy/system.toml.
NODE_COMMAND = ["target/release/eiderferry", "platform"]
# Bounds of the deployment qod-catchup, as its settings give them.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "revertSlackMs": 250, "stretchMaxMs": 5000, "strictRevocation": "false", "revokeMs": 5000,
    "retryRatio": 0.2, "budgetWindowS": 10, "retrySlack": 54, "recoveryS": 12, "passMs": 120,
    "retryAfterS": 10,
}
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"


class CannotRun(Exception):
    """The case can't run here."""


class Record:
    """What was sent, answered and run; one line an event, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def close(self):
        self.file.close()


async def read_head(reader):
    """Reads a message head; returns its first line and its fields in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader, fields):
    """Reads a body with a length or in chunks; a body without either ends with its connection."""
    if "chunked" in fields.get("transfer-encoding", ""):
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if size == 0:
                return b"".join(parts)
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return b""


def head_text(first, fields):
    return (first + "\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields) + "\r\n").encode("latin-1")


class Store:
    """The platform's metadata store: linearizable, read by nodes, written by the operator."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.events = []
        self.revision = 0
        self.changed = asyncio.Event()
        self.servers = []
        self.calls = 0

    async def listen(self, ip, port):
        server = await asyncio.start_server(self.serve, ip, port)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1], server

    def write(self, key, value):
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        made = self.items.get(key, {}).get("made", self.revision)
        item = {"privateKey": key, "value": text, "revision": self.revision, "made": made, "lease": 0}
        self.items[key] = item
        self.events.append(item)
        self.notify()
        self.record.write(f"store acknowledged {key} at revision {self.revision}")

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self.events.append({"privateKey": key, "revision": self.revision, "gone": True})
        self.notify()
        self.record.write(f"store acknowledged removal of {key} at revision {self.revision}")

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                first, fields = await read_head(reader)
                await read_body(reader, fields)
                self.calls += 1
                status, body = await self.answer(first.split()[1])
                text = json.dumps(body).encode()
                writer.write(head_text(f"HTTP/1.1 {status}", [
                    ("Content-Type", "application/json"), ("Content-Length", len(text))]) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, target):
        path, _, query = target.partition("?")
        values = dict(part.partition("=")[::2] for part in query.split("&") if part)
        prefix = values.get("pathPrefix", "").replace("%2F", "/")
        if path == "/-/kv-key":
            item = self.items.get(values.get("privateKey", "").replace("%2F", "/"))
            return ("200 OK", item) if item else ("404 Not Found", {})
        if path == "/-/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > values.get("after", ""))
            entries = [self.items[k] for k in keys[:500]]
            return "200 OK", {"entries": entries, "more": len(keys) > 500, "at": self.revision}
        if path == "/-/kv-watch":
            after = int(values["after"])
            until = time.monotonic() + min(int(values.get("waitMs", 0)), 30000) / 1000
            while True:
                found = [e for e in self.events if e["revision"] > after and e["privateKey"].startswith(prefix)]
                left = until - time.monotonic()
                if found or left <= 0:
                    return "200 OK", {"events": found, "at": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return "404 Not Found", {}


class Worker:
    """A sound worker of a plain service; subclasses change how it answers."""

    def __init__(self, record, store, name, service, zone, work_s=0.03, slots=6):
        self.record, self.store, self.name = record, store, name
        self.service, self.zone, self.work_s, self.slots = service, zone, work_s, slots
        self.runs = {}

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.register("ready")

    def register(self, state):
        self.store.write(f"servers/{self.name}", {
            "backend": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": state, "coldRemainingMs": 0, "sequence": 1})

    async def serve(self, reader, writer):
        state = {}
        try:
            while True:
                first, fields = await read_head(reader)
                body = await read_body(reader, fields)
                await self.answer(first, fields, body, writer, state)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, first, fields, body, writer, state):
        if first.split()[1] == "/healthz":
            writer.write(head_text("HTTP/1.1 200 OK", [
                ("X-Eiderferry-Instance-Id", self.name), ("Content-Length", 0)]))
            return await writer.drain()
        if fields.get("x-eiderferry-expect-instance") != self.name:
            writer.write(head_text("HTTP/1.1 421 Misdirected Request", [
                ("X-Eiderferry-Instance-Id", self.name), ("Content-Length", 0)]))
            return await writer.drain()
        await self.run(first, fields, body, writer, state)

    def begin(self, first, fields):
        """Notes that the worker has begun working on a request."""
        attempt = fields.get("x-eiderferry-attempt-id", "")
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        self.record.write(f"worker {self.name} runs {attempt} {first.split()[0]} {first.split()[1]}")
        return attempt

    def stamp(self, attempt):
        return f"{self.name}.{attempt}"

    async def run(self, first, fields, body, writer, state):
        attempt = self.begin(first, fields)
        await asyncio.sleep(self.work_s)
        await self.send_answer(attempt, b"x" * 800, writer)

    async def send_answer(self, attempt, body, writer):
        writer.write(head_text("HTTP/1.1 200 OK", [
            ("X-Eiderferry-Attempt-Id", attempt), ("X-Eiderferry-Server-Stamp", self.stamp(attempt)),
            ("Content-Length", len(body))]) + body)
        await writer.drain()


class Node:
    """A node of the system: its own process, started with the command of the deploy file."""

    def __init__(self, record, folder, number, ip, zone, zones, store_address, seeds):
        self.record, self.number, self.ip, self.zone = record, number, ip, zone
        self.zones, self.store_address, self.seeds = zones, store_address, seeds
        self.path = pathlib.Path(folder) / f"node-{number}.yaml"
        self.log = pathlib.Path(folder) / f"node-{number}.log"
        self.front, self.ready = (ip, 8227), (ip, 8220)
        self.process = None

    def write_settings(self):
        zones = "".join(f'  {zone}: "gt-central"\n' for zone in self.zones)
        bounds = "".join(f"  {name}: {value}\n" for name, value in BOUNDS.items())
        seeds = "".join(f'  - "{seed}:8229"\n' for seed in self.seeds)
        text = (
            f'node: "edge-{self.zone}-{self.number}"\nrole: "relay"\nmachineClass: "edge"\n'
            f'serves:\n  - "edge"\n  - "control"\nip: "{self.ip}"\nzone: "{self.zone}"\n'
            f'region: "gt-central"\nzones:\n{zones}listen:\n  front: "{self.ip}:8227"\n'
            f'  ready: "{self.ip}:8220"\n  control: "{self.ip}:8229"\ninternalPorts:\n  - 7340\n'
            f"  - 7355\nseeds:\n{seeds}bootstrap: true\ninFaultBudget: false\nlimits:\n"
            "  cpuShare: 0.25\n  cores: 1\n  memoryMb: 260\n  maxFds: 4100\n  linkMbps: 1000.0\n"
            '  diskMb: 0\ndataDir: null\ndiscovery: "platform"\nentry: "vip"\nheartbeatMs: 1200\n'
            f"bounds:\n{bounds}provider:\n  address: \"{self.store_address}\"\n  form: \"read\"\n"
            "  writes_per_s: 400\n  reads_per_s: 2000\n  historyS: 20\n  value_bytes: 1048576\n"
            "  ttl_min_ms: 1000\n")
        temporary = self.path.with_suffix(".new")
        temporary.write_text(text)
        temporary.replace(self.path)

    def start(self):
        self.write_settings()
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment["EIDERFERRY_BOOT"] = str(self.path)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                NODE_COMMAND, cwd=REPOSITORY, env=environment, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL)
        self.record.write(f"node {self.number} started")

    def signal(self, number):
        self.record.write(f"node {self.number} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.ready), 0.5)
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: n\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 0.5)
            writer.close()
            return " 200" in first
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_until_ready(self, seconds=10):
        until = time.monotonic() + seconds
        while not await self.is_ready():
            if self.process.poll() is not None or time.monotonic() > until:
                raise CannotRun(f"node {self.number} is not ready; see {self.log}")
            await asyncio.sleep(0.05)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()


class Answer:
    """What a client saw of one attempt."""

    def __init__(self, status=None, fields=None, body=b"", error=""):
        self.status, self.fields, self.body, self.error = status, fields or {}, body, error


class Client:
    """A client connection that is kept for many requests, as the pages allow."""

    def __init__(self, record, address, key=KEY):
        self.record, self.address, self.key = record, address, key
        self.reader = self.writer = None

    async def send(self, attempt, method, path, deadline_ms, body=b"", fields=(), note=""):
        if self.writer is None:
            try:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(*self.address), 1)
            except (OSError, asyncio.TimeoutError) as error:
                return Answer(error=f"no connection: {error!r}")
        lines = [("Host", HOST), ("X-Eiderferry-Attempt-Id", attempt),
                 ("X-Eiderferry-Deadline-Ms", deadline_ms), ("Authorization", f"Bearer {self.key}")]
        if body or method == "POST":
            lines.append(("Content-Length", len(body)))
        self.record.write(f"client sends {attempt} {method} {path} {note}".rstrip())
        try:
            self.writer.write(head_text(f"{method} {path} HTTP/1.1", [*lines, *fields]) + body)
            answer = await asyncio.wait_for(self.read_answer(), deadline_ms / 1000)
        except asyncio.TimeoutError:
            answer = Answer(error="no answer within the deadline")
        except (ConnectionError, asyncio.IncompleteReadError, ValueError) as error:
            answer = Answer(error=f"connection ended: {error!r}")
        if answer.error or answer.fields.get("connection", "").lower() == "close":
            self.close()
        seen = answer.error or f"{answer.status} stamp={answer.fields.get('x-eiderferry-server-stamp', '-')} {len(answer.body)} B"
        if answer.status and answer.status >= 400 and "x-eiderferry-server-stamp" not in answer.fields:
            seen += " " + answer.body[:60].decode("latin-1").strip()
        self.record.write(f"client gets {attempt} {seen}")
        return answer

    async def read_answer(self):
        first, fields = await read_head(self.reader)
        return Answer(int(first.split()[1]), fields, await read_body(self.reader, fields))

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


def route(name, prefix, kind, service, timeout_ms, aim_ms, attempts, priority=2, **more):
    return {"name": name, "hostname": HOST, "pathPrefix": prefix, "kind": kind,
            "timeoutMs": timeout_ms, "targetLatencyMs": aim_ms, "priority": priority,
            "backend": service, "maxAttempts": attempts, "public": False, **more}


def service(name, connections, **more):
    return {"name": name, "healthPath": "/healthz", "maxConnections": connections,
            "protocol": "h1", "tls": False, **more}


def configuration(version, routes, services, keys=(KEY,)):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": TENANT, "apiKeys": list(keys), "priority": 1}]}


def addresses():
    """Loopback addresses that nothing uses; they depend on the process, so runs don't collide."""
    process = os.getpid()
    for number in range(2, 200):
        yield f"127.{process % 200 + 20}.{process // 200 % 250 + 1}.{number}"


def check_free(ip, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError as error:
            raise CannotRun(f"{ip}:{port}: {error}") from error


def main(case, folder):
    """Runs `case(record, trouble, temporary folder, nodes)`; exits with 0, 1 or 2."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    nodes = []
    code = 2
    try:
        if not (REPOSITORY / NODE_COMMAND[0]).exists():
            raise CannotRun(f"{NODE_COMMAND[0]} is not built")
        with tempfile.TemporaryDirectory(prefix="eiderferry-review-") as temporary:
            kept = os.environ.get("KEEP_LOGS")
            place = kept or temporary
            broken = asyncio.run(asyncio.wait_for(case(record, trouble, place, nodes), 110))
            code = 1 if broken else 0
    except Exception as error:  # whatever stops the script is no broken rule
        record.write(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        for node in nodes:
            node.end()
        record.write(f"exit {code}")
        record.close()
    raise SystemExit(code)
