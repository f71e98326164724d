"""Stand-ins for the cases of the second review: the platform's store, clients, and the platform that
starts the nodes. Workers are processes of their own (worker.py beside this file).

They follow PROTOCOL.md and DEPLOY.md. All addresses are loopback addresses, all ports are free ones,
and files other than the case's record.txt are in a temporary folder."""

import base64
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent.parent
PROGRAM = ROOT / "target" / "release" / "eiderferry"

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
LONGEST_S = 110

# "Bounds" of SYSTEM.md; both small deployments state the same, up to retrySlack and retryAfterS.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
    "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "revertSlackMs": 250, "stretchMaxMs": 5000,
    "strictRevocation": False, "revokeMs": 5000, "retryRatio": 0.2, "budgetWindowS": 10, "retrySlack": 54,
    "recoveryS": 12, "passMs": 120, "retryAfterS": 10,
}


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """record.txt: one JSON object a line, with the time in seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.events = []

    def now(self):
        return time.monotonic() - self.start

    def add(self, what, at=None, **fields):
        event = {"t": round(self.now() if at is None else at - self.start, 4), "what": what, **fields}
        with self.lock:
            self.events.append(event)
            self.file.write(json.dumps(event) + "\n")
            self.file.flush()
        return event

    def of(self, *kinds):
        with self.lock:
            return [event for event in self.events if event["what"] in kinds]


class Connection:
    """A socket with a read buffer, and the reading of HTTP/1.1 messages."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def fill(self):
        data = self.sock.recv(65536)
        self.buffer += data
        return bool(data)

    def read_head(self):
        """First line and headers (names in lower case); None at the end of the connection."""
        while b"\r\n\r\n" not in self.buffer:
            if not self.fill():
                return None
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return lines[0], headers

    def read_exactly(self, count):
        while len(self.buffer) < count:
            if not self.fill():
                raise EOFError
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def read_line(self):
        while b"\r\n" not in self.buffer:
            if not self.fill():
                raise EOFError
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def read_body(self, headers):
        """The body; raises EOFError or OSError if it isn't whole."""
        if "content-length" in headers:
            return self.read_exactly(int(headers["content-length"]))
        body = b""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int(self.read_line().split(b";")[0], 16)
                data = self.read_exactly(size + 2)[:-2]
                if size == 0:
                    return body
                body += data
        return body


class Store:
    """The platform's store: /-/kv-range and /-/kv-watch (PROTOCOL.md, "The platform's metadata store")."""

    def __init__(self, ip, record):
        self.record = record
        self.items, self.history, self.revision = {}, [], 0
        self.changed = threading.Condition()
        self.listener, self.open = None, set()
        self.listen(ip)

    def listen(self, ip):
        """Serves at an address of its own from now on, besides those before."""
        self.listener = socket.create_server((ip, 0), backlog=256)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()
        return self.listener

    def accept(self, listener):
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            self.open.add(sock)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def leave(self, listener):
        """Serves no more at an address that it had before."""
        address = listener.getsockname()
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        for sock in [sock for sock in self.open if sock.getsockname() == address]:
            sock.shutdown(socket.SHUT_RDWR)

    def write(self, key, value):
        """Writes a value, or removes the key if it is None. The time of the return is that of the
        acknowledgement."""
        with self.changed:
            self.revision += 1
            item = {"privateKey": key, "revision": self.revision}
            if value is None:
                self.items.pop(key, None)
                item["gone"] = True
            else:
                text = base64.b64encode(json.dumps(value).encode()).decode()
                made = self.items.get(key, {}).get("made", self.revision)
                item.update(value=text, made=made, lease=0)
                self.items[key] = item
            self.history.append(item)
            self.changed.notify_all()
        return self.record.add("store acknowledges", key=key, value=value if key != "op/config" else "...")

    def serve(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(sock)
        try:
            while True:
                head = connection.read_head()
                if head is None:
                    return
                url = urllib.parse.urlsplit(head[0].split()[1])
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                answer = json.dumps(self.answer(url.path, query)).encode()
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                             % (len(answer), answer))
        except (OSError, EOFError):
            pass
        finally:
            self.open.discard(sock)
            sock.close()

    def answer(self, path, query):
        prefix = query.get("pathPrefix", "")
        with self.changed:
            if path == "/-/kv-range":
                keys = sorted(key for key in self.items if key.startswith(prefix) and key > query.get("after", ""))
                return {"entries": [self.items[key] for key in keys[:500]], "more": len(keys) > 500, "at": self.revision}
            after = int(query.get("after", "0"))
            until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
            while True:
                events = [item for item in self.history[after:] if item["privateKey"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return {"events": events, "at": max(self.revision, after)}
                self.changed.wait(left)


def free_ports(ips, offsets_list):
    """Ports that are free at all of `ips`: for each entry of the list one, with those at its offsets."""
    ports = []
    for offsets in offsets_list:
        for _ in range(200):
            with socket.socket() as probe:
                probe.bind((ips[0], 0))
                port = probe.getsockname()[1]
            if port > 65000 or any(port + offset in taken for offset in offsets for taken in [ports]):
                continue
            if all(is_free(ip, port + offset) for ip in ips for offset in offsets):
                ports.append(port)
                break
        else:
            raise RuntimeError("no free port")
    return ports


def is_free(ip, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            if kind == socket.SOCK_STREAM:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


class Deployment:
    """A small deployment: the store, and nodes and workers as processes."""

    def __init__(self, folder, zones, configuration):
        if not PROGRAM.exists():
            print("not built:", PROGRAM.name)
            sys.exit(COULD_NOT_RUN)
        self.record = Record(folder)
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        base = "127.%d.%d." % (16 + os.getpid() % 200, 1 + time.time_ns() % 250)
        self.base = base
        self.zones = zones  # zone of each node
        self.ips = [base + str(2 + index) for index in range(len(zones))]
        self.ports = dict(zip(("front", "ready", "control", "internal"),
                              free_ports(self.ips, [(0,), (0,), (0,), (0, 1)])))
        self.store = Store(base + "200", self.record)
        self.nodes, self.workers = {}, {}
        self.next_worker = 0
        self.stopping = False
        self.unexpected_ends = []
        # Whatever goes wrong, the processes are ended, and the case ends within its 120 seconds.
        sys.excepthook = lambda *error: (sys.__excepthook__(*error), self.finish(COULD_NOT_RUN, "the case failed itself"))
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, lambda *_: self.finish(COULD_NOT_RUN, "the case was stopped"))
        timer = threading.Timer(LONGEST_S, lambda: self.finish(COULD_NOT_RUN, "the case took too long"))
        timer.daemon = True
        timer.start()
        self.store.write("op/config", configuration)

    # Nodes

    def front(self, index):
        return self.ips[index], self.ports["front"]

    def settings(self, index):
        ports, ip = self.ports, self.ips[index]
        names = sorted(set(self.zones))
        fields = {
            "node": "edge-%s-%d" % (self.zones[index], index + 1), "role": "relay", "machineClass": "edge",
            "serves": ["edge", "control"], "ip": ip, "zone": self.zones[index], "region": "gt-central",
            "zones": {name: "gt-central" for name in names},
            "listen": {name: "%s:%d" % (ip, ports[name]) for name in ("front", "ready", "control")},
            "internalPorts": [ports["internal"], ports["internal"] + 1],
            "seeds": ["%s:%d" % (seed, ports["control"]) for seed in self.ips[:3]],
            "bootstrap": True, "inFaultBudget": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                          "platform"],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "provider": {"address": self.store.address, "form": "read", "writes_per_s": 400, "reads_per_s": 2000,
                         "historyS": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
        }
        path = self.temporary / ("node-%d.yaml" % index)
        path.write_text(json.dumps(fields))  # JSON is YAML
        return path

    def start_node(self, index):
        """Starts a node with the deploy file's command."""
        log = open(self.temporary / ("node-%d.log" % index), "ab")
        environment = {"EIDERFERRY_BOOT": str(self.settings(index)), "PATH": os.environ.get("PATH", "")}
        process = subprocess.Popen([str(PROGRAM), "platform"], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                   stdout=log, stderr=log)
        self.nodes[index] = process
        self.record.add("node starts", node=index)
        threading.Thread(target=self.wait_node, args=(index, process), daemon=True).start()

    def wait_node(self, index, process):
        code = process.wait()
        if self.stopping or getattr(process, "ended_by_test", False):
            return
        self.unexpected_ends.append(index)
        self.record.add("node ended by itself", node=index, code=code)
        # "When a process ends or is killed, it is started again after a short delay" (DEPLOY.md, Ends).
        time.sleep(0.5)
        if not self.stopping:
            self.start_node(index)

    def signal_node(self, index, number):
        self.nodes[index].ended_by_test = number in (signal.SIGKILL, signal.SIGTERM)
        self.nodes[index].send_signal(number)
        self.record.add("signal to node", node=index, signal=signal.Signals(number).name)

    def is_ready(self, index):
        try:
            with socket.create_connection((self.ips[index], self.ports["ready"]), timeout=0.5) as sock:
                sock.settimeout(0.5)
                sock.sendall(b"GET /-/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def start_nodes(self):
        for index in range(len(self.ips)):
            self.start_node(index)
        until = time.monotonic() + 10
        while not all(self.is_ready(index) for index in range(len(self.ips))):
            if time.monotonic() > until:
                self.record.add("nodes are not ready")
                self.finish(COULD_NOT_RUN)
            time.sleep(0.1)
        self.record.add("nodes are ready")

    # Workers

    def start_worker(self, service, zone, version="v1", **options):
        index = self.next_worker
        self.next_worker += 1
        name = "i-%04x%06x" % (index, os.getpid() % 0xFFFFFF)
        options.update(id=name, ip=self.base + str(100 + index))
        process = subprocess.Popen([sys.executable, str(HERE / "worker.py"), json.dumps(options)],
                                   stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        address = json.loads(process.stdout.readline())["address"]
        entry = {"backend": service, "address": address, "zone": zone, "version": version, "slots": 6 if "app" in service else 64,
                 "state": "ready", "coldRemainingMs": 0, "sequence": 1}
        self.workers[name] = (process, entry)
        threading.Thread(target=self.read_worker, args=(name, process), daemon=True).start()
        self.store.write("servers/" + name, entry)
        return name

    def read_worker(self, name, process):
        for line in process.stdout:
            event = json.loads(line)
            self.record.add(event.pop("what"), at=event.pop("at"), worker=name, **event)

    def tell_worker(self, name, **mode):
        self.workers[name][0].stdin.write(json.dumps(mode) + "\n")
        self.workers[name][0].stdin.flush()
        self.record.add("worker is told", worker=name, **mode)

    def set_state(self, name, state):
        """Writes the worker's entry with another state, or removes it."""
        entry = self.workers[name][1]
        entry.update(state=state, sequence=entry["sequence"] + 1)
        return self.store.write("servers/" + name, None if state == "gone" else dict(entry))

    def end_worker(self, name):
        """A worker's planned end, after it has drained; its entry goes."""
        self.workers[name][0].terminate()
        self.record.add("worker ends", worker=name)
        self.set_state(name, "gone")

    # End

    def finish(self, code, *said):
        """Ends all processes that were started here, and exits."""
        self.stopping = True
        for process in [*self.nodes.values(), *(process for process, _ in self.workers.values())]:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for line in said:
            self.record.add("result", text=line)
            print(line)
        if os.environ.get("KEEP"):
            print("logs are kept in", self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)
        os._exit(code)


def configuration(routes, services, tenants=None, version=1):
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
        "tenants": tenants or [{"name": "hule930", "apiKeys": ["n2ctnfzs989anu6wsjnb"]}],
    }


def app_route(name, kind, attempts, **more):
    return {"name": name, "hostname": "ficu95.example", "pathPrefix": "/%s/" % name, "kind": kind, "timeoutMs": 1000,
            "targetLatencyMs": 150, "priority": 2, "maxAttempts": attempts, "public": False, **more}


class Client:
    """A client: sends requests one after the other, on a kept connection where it may."""

    def __init__(self, deployment, node, name):
        self.deployment, self.node, self.name = deployment, node, name
        self.connection = None
        self.count = 0

    def close(self):
        if self.connection:
            self.connection.sock.close()
        self.connection = None

    def request(self, method, path, deadline_ms=1000, body=b"", headers=None, kind="",
                key="n2ctnfzs989anu6wsjnb"):
        """Sends one attempt and records how it ended. Returns the recorded end."""
        record = self.deployment.record
        self.count += 1
        attempt = "%s%06x" % (self.name, self.count)
        kept = self.connection is not None
        record.add("sent", id=attempt, node=self.node, path=path, kind=kind, kept=kept)
        status, whole, answer, stamp = 0, False, b"", None
        try:
            if not kept:
                sock = socket.create_connection(self.deployment.front(self.node), timeout=1)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.connection = Connection(sock)
            self.connection.sock.settimeout(deadline_ms / 1000 + 1)
            lines = ["%s %s HTTP/1.1" % (method, path), "Host: ficu95.example", "X-Eiderferry-Attempt-Id: " + attempt,
                     "X-Eiderferry-Deadline-Ms: %d" % deadline_ms, "Authorization: Bearer " + key]
            lines += ["%s: %s" % pair for pair in (headers or {}).items()]
            if method == "POST":
                lines.append("Content-Length: %d" % len(body))
            self.connection.sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = self.connection.read_head()
            if head:
                status, stamp = int(head[0].split()[1]), head[1].get("x-eiderferry-server-stamp")
                answer = self.connection.read_body(head[1])
                whole = True
                if head[1].get("connection", "").lower() == "close":
                    self.close()
            else:
                self.close()
            how = "answered"
        except ConnectionRefusedError:
            how = "no connection"
            self.close()
        except TimeoutError:
            how = "timeout"
            self.close()
        except (OSError, EOFError):
            how = "cut"
            self.close()
        if how == "answered" and not status:
            how = "closed without an answer"
        return record.add("ended", id=attempt, node=self.node, kind=kind, kept=kept, how=how, status=status, whole=whole,
                          stamp=stamp, text=answer.decode("latin-1")[-160:], bytes=len(answer))


def in_threads(count, work):
    threads = [threading.Thread(target=work, args=(index,), daemon=True) for index in range(count)]
    for thread in threads:
        thread.start()
    return threads
