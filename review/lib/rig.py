"""Stand-ins and process control for the review's scripts: the platform's store, servers, clients
and machines. All addresses are loopback addresses; each machine has one of its own."""

import base64
import json
import os
import queue
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = "target/bin/chicorylink-front"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The bounds of the sheet "Chicorylink Serving for Deck Collation Division".
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 5000, "ackMs": 6000, "catchUpS": 4,
    "drainMs": 3000, "graceS": 8, "lossSlackMs": 200, "configMs": 3000, "rollbackSlackMs": 250,
    "maxStretchMs": 8000, "strictRevoke": True, "revokeMs": 5000, "retryBudgetRatio": 0.2,
    "budgetWindowS": 10, "budgetSlack": 58, "quotaWindowS": 8, "quotaOverage": 0.25,
    "quotaSlack": 140000, "coldOverage": 1.5, "coldSlack": 3, "evacuateMs": 5000, "recoverS": 12,
    "passMs": 600, "reuseWindowS": 10, "ttl_max_s": 5,
}


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        with self._lock:
            self._file.write(f"{self.now():8.3f} {text}\n")
            self._file.flush()

    def say(self, text):
        print(text, flush=True)
        self.add(text)


def read_head(stream):
    """Reads one message head; returns (start line, list of (name, value)) or None at the end."""
    line = stream.readline(65536)
    while line in (b"\r\n", b"\n"):
        line = stream.readline(65536)
    if not line.endswith(b"\n"):
        return None
    fields = []
    while True:
        field = stream.readline(65536)
        if not field.endswith(b"\n"):
            return None
        if field in (b"\r\n", b"\n"):
            return line.decode("latin-1").rstrip("\r\n"), fields
        name, _, value = field.decode("latin-1").rstrip("\r\n").partition(":")
        fields.append((name.strip(), value.strip()))


def field(fields, name, default=None):
    for key, value in fields:
        if key.lower() == name.lower():
            return value
    return default


def read_body(stream, fields):
    """Reads a body by its framing; None when the connection ends before the body does."""
    if (field(fields, "Transfer-Encoding") or "").lower() == "chunked":
        body = b""
        while True:
            size = stream.readline(1024)
            if not size.endswith(b"\n"):
                return None
            count = int(size.split(b";")[0], 16)
            piece = stream.read(count + 2)
            if len(piece) < count + 2:
                return None
            if count == 0:
                return body
            body += piece[:-2]
    length = int(field(fields, "Content-Length", "0"))
    body = stream.read(length) if length else b""
    return body if len(body) == length else None


class Listener:
    """Accepts connections and serves each in a thread of its own."""

    def __init__(self, address):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(address)
        self.socket.listen(512)
        self.address = self.socket.getsockname()
        self.open = set()
        self.lock = threading.Lock()
        self.closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, peer = self.socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.open.add(connection)
            threading.Thread(target=self._run, args=(connection, peer), daemon=True).start()

    def _run(self, connection, peer):
        try:
            self.serve(connection, peer)
        except (OSError, ValueError):
            pass
        with self.lock:
            self.open.discard(connection)
        connection.close()

    def serve(self, connection, peer):
        raise NotImplementedError

    def close(self):
        """Ends as a process does: the port refuses connections, and open ones are closed."""
        self.closed = True
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.socket.close()
        with self.lock:
            connections = list(self.open)
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Store(Listener):
    """The platform's store: linearizable reads, and watches that wait for changes."""

    def __init__(self, record, ip, page_items=500):
        self.record = record
        self.page_items = page_items
        self.answer_s = 0.004
        self.silent = set()
        self.first_pages = 0
        self.changed = threading.Condition()
        self.items = {}
        self.log = []
        self.revision = 100
        super().__init__((ip, 0))

    def put(self, key, value):
        with self.changed:
            self.revision += 1
            known = self.items.get(key)
            created = known["created"] if known else self.revision
            text = base64.b64encode(json.dumps(value).encode()).decode()
            item = {"key": key, "value": text, "revision": self.revision, "created": created,
                    "lease": 0}
            self.items[key] = item
            self.log.append(item)
            revision = self.revision
            self.changed.notify_all()
        self.record.add(f"store acknowledges {key} = {json.dumps(value)[:160]}, revision {revision}")
        return time.monotonic()

    def silence_open_connections(self):
        with self.lock:
            self.silent |= self.open
        self.record.add(f"{len(self.silent)} open connections to the store go silent; new ones work")

    def slow_down(self, answer_s):
        self.answer_s = answer_s
        self.record.add(f"the store takes {answer_s * 1000:.0f} ms an answer")

    def remove(self, key):
        with self.changed:
            self.revision += 1
            self.items.pop(key, None)
            self.log.append({"key": key, "revision": self.revision, "tombstone": True})
            self.changed.notify_all()
        self.record.add(f"store removes {key}")
        return time.monotonic()

    def serve(self, connection, peer):
        stream = connection.makefile("rb")
        while True:
            head = read_head(stream)
            if head is None:
                return
            target = head[0].split(" ")[1]
            path, _, query = target.partition("?")
            values = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
            status, body = self.answer(path, values)
            time.sleep(self.answer_s)
            if connection in self.silent:
                # It stays open and takes bytes, but nothing comes back any more.
                while connection.recv(65536):
                    pass
                return
            text = json.dumps(body).encode()
            connection.sendall(b"HTTP/1.1 %d -\r\nContent-Type: application/json\r\n"
                               b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)

    def answer(self, path, values):
        prefix = values.get("pathPrefix", "")
        if path == "/kv-range":
            with self.changed:
                after = values.get("after", "")
                self.first_pages += 1 if after == "" else 0
                keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
                return 200, {"items": [self.items[k] for k in keys[:self.page_items]],
                             "hasMore": len(keys) > self.page_items, "asOf": self.revision}
        if path == "/kv-key":
            with self.changed:
                item = self.items.get(values.get("key", ""))
                return (200, item | {"asOf": self.revision}) if item else (404, {})
        if path == "/kv-watch":
            after = int(values["after"])
            end = time.monotonic() + min(int(values["waitMs"]), 30000) / 1000
            with self.changed:
                while True:
                    events = [e for e in self.log
                              if e["revision"] > after and e["key"].startswith(prefix)]
                    left = end - time.monotonic()
                    if events or left <= 0 or self.closed:
                        return 200, {"events": events, "asOf": self.revision}
                    self.changed.wait(left)
        return 404, {}


class Server(Listener):
    """A sound server of a service. `work(server, request)` returns (status, fields, body) and may
    sleep; it is called when the server begins to run the request."""

    def __init__(self, record, name, ip, work):
        self.record, self.name, self.work = record, name, work
        self.born = int(time.time() * 1000)
        self.runs = []
        self.arrivals = []
        self.runs_lock = threading.Lock()
        super().__init__((ip, 0))

    def entry(self, service, zone, slots=64):
        return {"service": service, "address": "%s:%d" % self.address, "zone": zone,
                "version": "v1", "slots": slots, "state": "ready", "coldLeftMs": 0, "sequence": 1,
                "born": self.born}

    def serve(self, connection, peer):
        stream = connection.makefile("rb")
        while True:
            head = read_head(stream)
            if head is None:
                return
            line, fields = head
            method, target, _ = line.split(" ")
            body = read_body(stream, fields)
            if body is None:
                return
            request = {"method": method, "target": target, "fields": fields, "body": body,
                       "id": field(fields, "X-Chicorylink-Request-Id"), "from": peer[0],
                       "at": time.monotonic()}
            answer = self.respond(request)
            if answer is None:
                return
            connection.sendall(answer)

    def respond(self, request):
        if request["target"].startswith("/health"):
            return self.message(200, [("X-Chicorylink-Instance-Id", self.name)], b"", None)
        if request["id"] is None:
            return self.message(400, [("X-Chicorylink-Not-Run", "1")], b"", None)
        expected = field(request["fields"], "X-Chicorylink-Expect-Instance")
        if expected is not None and expected != self.name:
            self.record.add(f"{self.name} answers 421 to {request['id']}")
            return self.message(421, [("X-Chicorylink-Not-Run", "1")], b"", request["id"])
        with self.runs_lock:
            self.runs.append(request)
        self.record.add(f"{self.name} runs {request['id']} ({request['method']} "
                        f"{request['target']}, {len(request['body'])} B) from {request['from']}")
        answer = self.work(self, request)
        if answer is None or self.closed:
            return None
        status, fields, body = answer
        return self.message(status, fields, body, request["id"])

    def message(self, status, fields, body, request_id):
        out = [f"HTTP/1.1 {status} -"]
        if request_id is not None:
            out.append(f"X-Chicorylink-Request-Id: {request_id}")
            out.append(f"X-Chicorylink-Server-Stamp: {self.name}.{request_id}.{status}")
        out.append("X-Chicorylink-Server-Load: 1,0,64")
        out.append("Keep-Alive: timeout=20")
        out += [f"{name}: {value}" for name, value in fields]
        out.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(out) + "\r\n\r\n").encode() + body


class Connection:
    """A client's connection; requests and answers go in order."""

    def __init__(self, address, source=None, timeout=20):
        self.socket = socket.create_connection(address, timeout, source)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream = self.socket.makefile("rb")

    def send(self, data):
        self.socket.sendall(data)

    def answer(self):
        """Reads one answer: (status, fields, body), or None when the connection ends first."""
        try:
            head = read_head(self.stream)
            if head is None:
                return None
            status = int(head[0].split(" ")[1])
            body = read_body(self.stream, head[1])
        except (OSError, ValueError):
            return None
        return None if body is None else (status, head[1], body)

    def close(self):
        self.stream.close()
        self.socket.close()


def request_bytes(method, path, host, request_id, key, deadline_ms, fields=(), body=b""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}",
             f"X-Chicorylink-Request-Id: {request_id}",
             f"X-Chicorylink-Deadline-Ms: {deadline_ms}", f"X-Chicorylink-Key: {key}"]
    lines += [f"{name}: {value}" for name, value in fields]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Machine:
    """One VM: its settings file and its process, started with the command of the deploy file."""

    def __init__(self, rig, name, ip, region, ports):
        self.rig, self.name, self.ip, self.region, self.ports = rig, name, ip, region, ports
        self.process = None
        self.starts = 0

    def settings(self):
        at = {name: f"{self.ip}:{port}" for name, port in self.ports.items()}
        return {
            "node": self.name, "role": "gateway", "machineClass": "front",
            "serves": ["front", "control", "directory"], "ip": self.ip,
            "zone": f"{self.region}-a", "region": self.region,
            "internalPorts": [self.ports["peer"], self.ports["peer"] + 15],
            "seedAddrs": [f"{ip}:{self.ports['control']}" for ip in self.rig.seeds],
            "bootstrap": self.starts == 0, "lossCounted": False, "discovery": "platform",
            "entry": "directory", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                          "places", "tenants", "quota", "platform"],
            "zones": {f"{region}-a": region for region in self.rig.regions},
            "listen": {name: at[name] for name in ("front", "ready", "control", "directory")},
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "tolerate": {"machines": 2, "zones": 1, "regions": 1}, "bounds": BOUNDS,
            "platform": {"address": "%s:%d" % self.rig.store.address, "form": "read",
                         "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
                         "valueBytes": 1048576, "ttlMinMs": 1000},
        }

    def start(self):
        path = os.path.join(self.rig.folder, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(), file)
        self.starts += 1
        environment = {"CHICORYLINK_BOOT": path, "PATH": os.environ.get("PATH", ""),
                       "HOME": self.rig.folder, "LANG": "C.UTF-8"}
        log = open(os.path.join(self.rig.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen([PROGRAM], cwd=REPOSITORY, env=environment, stdout=log,
                                        stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.rig.record.add(f"{self.name} ({self.ip}, {self.region}) starts")

    def signal(self, number):
        self.rig.record.add(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def front(self):
        return self.ip, self.ports["front"]

    def is_ready(self):
        try:
            connection = Connection((self.ip, self.ports["ready"]), timeout=1)
            connection.send(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = connection.answer()
            connection.close()
        except OSError:
            return False
        return answer is not None and answer[0] == 200


class Rig:
    """The store and the machines of one run, and the temporary folder of their files."""

    def __init__(self, case_folder, regions, machines_per_region, page_items=500):
        if not os.path.exists(os.path.join(REPOSITORY, PROGRAM)):
            print(f"{PROGRAM} is missing: run the build of the deploy file first")
            sys.exit(NOT_RUN)
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self._folder.name
        self.regions = regions
        self.net = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        self.store = Store(self.record, f"{self.net}.250", page_items)
        self.servers = []
        ips = {}
        for number, region in enumerate(regions):
            for index in range(machines_per_region):
                ips[f"front-{region}-{index + 1}"] = (f"{self.net}.{10 * number + index + 1}",
                                                      region)
        ports = free_ports([ip for ip, _ in ips.values()])
        self.machines = {name: Machine(self, name, ip, region, self.ports_of(ports, region, ip))
                         for name, (ip, region) in ips.items()}
        self.seeds = [f"{self.net}.{10 * number + 1}" for number in range(len(regions))][:3]

    def ports_of(self, ports, region, ip):
        return dict(ports)

    def add_server(self, name, region, service, work, slots=64):
        server = Server(self.record, name, f"{self.net}.{100 + len(self.servers)}", work)
        server.zone = f"{region}-a"
        self.servers.append(server)
        self.store.put(f"servers/{name}", server.entry(service, f"{region}-a", slots))
        return server

    def start(self, wait_s=15):
        for machine in self.machines.values():
            machine.start()
        end = time.monotonic() + wait_s
        while time.monotonic() < end:
            if all(machine.is_ready() for machine in self.machines.values()):
                self.record.add("all machines are ready")
                return
            time.sleep(0.1)
        raise RuntimeError("the machines did not become ready")

    def by_reads(self, region, over_s):
        """The machines of a region, in the order of how often they read the store."""
        machines = [m for m in self.machines.values() if m.region == region]
        before = {m.name: reads_of(m) for m in machines}
        time.sleep(over_s)
        reads = {m.name: reads_of(m) - before[m.name] for m in machines}
        self.record.add(f"reads of the store in {over_s} s: {reads}")
        return sorted(machines, key=lambda m: reads[m.name])

    def log_lines(self, name):
        with open(os.path.join(self.folder, f"{name}.log"), encoding="utf-8",
                  errors="replace") as file:
            return file.read().splitlines()

    def stop(self):
        for machine in self.machines.values():
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        for server in self.servers:
            server.close()
        self.store.close()
        self._folder.cleanup()


def reads_of(machine):
    """How many calls of the store a machine's metrics count."""
    connection = Connection((machine.ip, machine.ports["control"]), timeout=2)
    connection.send(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
    text = connection.answer()[2].decode()
    connection.close()
    for line in text.splitlines():
        if line.split(" ")[0].endswith("store_reads_total"):
            return float(line.split(" ")[1])
    return 0.0


def wait_for_read(machine, limit_s=15):
    """Returns when a machine's metrics show that it has just begun a call to the store."""
    known, end = reads_of(machine), time.monotonic() + limit_s
    while time.monotonic() < end:
        if reads_of(machine) > known:
            return
        time.sleep(0.005)
    raise RuntimeError(f"{machine.name} doesn't read the store")


def free_ports(ips):
    """One set of ports that are free at all addresses; the peers' port and the one after it."""
    names = ["front", "ready", "control", "directory", "peer"]
    for _ in range(200):
        base = random.randint(11000, 29000)
        wanted = {name: base + 20 * number for number, name in enumerate(names)}
        numbers = list(wanted.values()) + [wanted["peer"] + 1]
        if all(is_free(ip, port) for ip in ips for port in numbers):
            return wanted
    raise RuntimeError("no free ports")


def is_free(ip, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


active_rigs = []


def end_early(number, frame):
    for active in active_rigs:
        active.stop()
    os._exit(NOT_RUN)


def run(case, folder):
    """Runs a case and ends the process with its result."""
    signal.signal(signal.SIGTERM, end_early)
    signal.signal(signal.SIGINT, end_early)
    try:
        _, broken = case(folder)
        result = BROKEN if broken else HELD
    except Exception as problem:  # the case couldn't run
        print(f"the case couldn't run: {type(problem).__name__}: {problem}")
        result = NOT_RUN
    finally:
        for active in active_rigs:
            active.stop()
    print({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[result], flush=True)
    os._exit(result)


def new_rig(*arguments, kind=Rig):
    rig = kind(*arguments)
    active_rigs.append(rig)
    return rig
