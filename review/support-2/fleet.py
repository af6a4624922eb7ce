"""Stand-ins for scripts that start chicorylink-front: the platform's store, servers, and the
platform that starts the processes and ends those over their memory limit."""

import asyncio
import base64
import json
import os
import random
import resource
import signal
import socket
import tempfile
import time
import traceback
import urllib.parse

ROOT = os.path.realpath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "bin", "chicorylink-front")
# Leaves time to end the processes before 120 s.
LONGEST_CASE_S = 110
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def allow_descriptors(count):
    """Lets this process open so many connections, as far as its hard limit allows."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = count if hard == resource.RLIM_INFINITY else min(count, hard)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


class Record:
    """Writes record.txt: one line for each thing that was sent, answered, run or seen."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def add(self, *words):
        line = f"{time.monotonic() - self.start:8.3f} " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()

    def say(self, *words):
        self.add(*words)
        print(*words, flush=True)


async def read_head(reader):
    """Returns (first line, fields with lower-case names as a list of pairs), or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw[:-4].decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if len(line) < 4:
            # Short fields of a crowd, of which no stand-in needs one.
            continue
        name, _, value = line.partition(":")
        fields.append((name.strip().lower(), value.strip()))
    return lines[0], fields


async def read_body(reader, fields):
    length = dict(fields).get("content-length")
    if length is not None:
        return await reader.readexactly(int(length))
    if dict(fields).get("transfer-encoding", "").lower() != "chunked":
        return b""
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        piece = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += piece[:-2]


class Store:
    """The platform's store, for reading: /kv-key, /kv-range and /kv-watch."""

    def __init__(self, host):
        self.host = host
        self.port = None
        self.items = {}
        self.revision = 100
        self.changed = asyncio.Condition()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def put(self, key, value):
        async with self.changed:
            self.revision += 1
            text = json.dumps(value).encode()
            created = self.items.get(key, {}).get("created", self.revision)
            self.items[key] = {"key": key, "value": base64.b64encode(text).decode(),
                               "revision": self.revision, "created": created, "lease": 0}
            self.changed.notify_all()

    async def delete(self, key):
        async with self.changed:
            self.revision += 1
            self.items[key] = {"key": key, "revision": self.revision, "tombstone": True}
            self.changed.notify_all()

    def events(self, prefix, after):
        found = [item for key, item in self.items.items()
                 if key.startswith(prefix) and item["revision"] > after]
        return sorted(found, key=lambda item: item["revision"])

    async def answer(self, target):
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        prefix = query.get("pathPrefix", "")
        if parts.path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            if item is None or "tombstone" in item:
                return 404, {}
            return 200, dict(item, asOf=self.revision)
        if parts.path == "/kv-range":
            keys = sorted(key for key, item in self.items.items()
                          if key.startswith(prefix) and key > query.get("after", "")
                          and "tombstone" not in item)
            return 200, {"items": [self.items[key] for key in keys[:500]],
                         "hasMore": len(keys) > 500, "asOf": self.revision}
        if parts.path == "/kv-watch":
            after = int(query["after"])
            async with self.changed:
                try:
                    await asyncio.wait_for(
                        self.changed.wait_for(lambda: self.events(prefix, after)),
                        int(query.get("waitMs", "0")) / 1000)
                except asyncio.TimeoutError:
                    pass
                return 200, {"events": self.events(prefix, after), "asOf": self.revision}
        return 404, {}

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                status, body = await self.answer(head[0].split(" ")[1])
                text = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


def vm_rss_mb(pid):
    try:
        with open(f"/proc/{pid}/status", encoding="ascii") as status:
            for line in status:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
    except (FileNotFoundError, ProcessLookupError):
        pass
    return 0


class Fleet:
    """Starts chicorylink-front on loopback addresses, one process a VM, as the deploy file says."""

    def __init__(self, record, memory_mb=260, max_fds=4100, bounds=None):
        self.record = record
        self.memory_mb = memory_mb
        self.max_fds = max_fds
        self.folder = tempfile.TemporaryDirectory(prefix="chicorylink-review-")
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.ports = free_ports(self.net + ".1", 6)
        self.vms = {}
        self.zones = {}
        self.store = Store(self.net + ".200")
        self.bounds = {"contactMs": 5000, "drainMs": 3000, "graceS": 8, "configMs": 3000,
                       "strictRevoke": True, "revokeMs": 5000, "retryBudgetRatio": 0.2,
                       "budgetWindowS": 10, "budgetSlack": 58, "reuseAfterS": 2,
                       "lossSlackMs": 200, "recoverS": 12, **(bounds or {})}

    def address(self, number):
        return f"{self.net}.{number}"

    @property
    def callers_port(self):
        return self.ports[0]

    async def start(self, layout):
        """layout: a list of (number, zone, region)."""
        await self.store.start()
        self.zones = {zone: region for _, zone, region in layout}
        self.layout = layout
        for number, zone, region in layout:
            await self.start_vm(number, zone, region, True)

    def settings(self, number, zone, region, first):
        ip = self.address(number)
        front, ready, control, directory, peer, _ = self.ports
        seeds = [f"{self.address(n)}:{control}" for n, _, _ in self.layout[:3]]
        return {"node": f"front-{zone}-{number}", "role": "gateway", "machineClass": "front",
                "serves": ["front", "control", "directory"], "ip": ip, "zone": zone,
                "region": region, "zones": self.zones, "bootstrap": first,
                "internalPorts": [peer, peer + 15], "seedAddrs": seeds, "discovery": "platform",
                "entry": "directory", "heartbeatMs": 1200,
                "listen": {"front": f"{ip}:{front}", "ready": f"{ip}:{ready}",
                           "control": f"{ip}:{control}", "directory": f"{ip}:{directory}"},
                "limits": {"cpuShare": 1, "cores": 1, "memoryMb": self.memory_mb,
                           "maxFds": self.max_fds, "linkMbps": 1000.0},
                "tolerate": {"machines": 2, "zones": 1, "regions": 1}, "bounds": self.bounds,
                "platform": {"address": f"{self.store.host}:{self.store.port}", "form": "read",
                             "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576}}

    async def start_vm(self, number, zone, region, first):
        path = os.path.join(self.folder.name, f"{number}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(number, zone, region, first), file)
        log = open(os.path.join(self.folder.name, f"{number}.log"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["CHICORYLINK_BOOT"] = path
        hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        limit = self.max_fds if hard == resource.RLIM_INFINITY else min(self.max_fds, hard)

        def set_limits():
            resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))

        process = await asyncio.create_subprocess_exec(
            PROGRAM, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log,
            stderr=log, preexec_fn=set_limits)
        log.close()
        self.vms[number] = process
        self.record.add("process", number, "started, pid", process.pid)

    async def ask(self, number, port, target):
        reader, writer = await asyncio.open_connection(self.address(number), port)
        try:
            writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            head = await read_head(reader)
            if head is None:
                return 0, b""
            body = await read_body(reader, head[1])
            return int(head[0].split(" ")[1]), body
        finally:
            writer.close()

    async def is_ready(self, number):
        try:
            status, _ = await asyncio.wait_for(self.ask(number, self.ports[1], "/readiness"), 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, ValueError):
            return False

    async def wait_ready(self, numbers, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all([await self.is_ready(number) for number in numbers]):
                return True
            await asyncio.sleep(0.1)
        return False

    def signal(self, number, which):
        process = self.vms[number]
        if process.returncode is None:
            process.send_signal(which)

    def log_text(self, number):
        with open(os.path.join(self.folder.name, f"{number}.log"), encoding="utf-8",
                  errors="replace") as file:
            return file.read()

    async def stop(self):
        for number in self.vms:
            self.signal(number, signal.SIGCONT)
            self.signal(number, signal.SIGKILL)
        for process in self.vms.values():
            await process.wait()
        self.folder.cleanup()


class Platform:
    """Ends a process that exceeds its memory and starts it again after a short delay."""

    RESTART_AFTER_S = 0.5

    def __init__(self, fleet, record, zones, memory_mb):
        self.fleet = fleet
        self.record = record
        self.zones = zones
        self.memory_mb = memory_mb
        self.peak = {number: 0.0 for number in zones}
        self.ends = {number: 0 for number in zones}

    async def watch(self):
        while True:
            for number in self.zones:
                process = self.fleet.vms[number]
                used = vm_rss_mb(process.pid)
                self.peak[number] = max(self.peak[number], used)
                if process.returncode is None and used <= self.memory_mb:
                    continue
                self.ends[number] += 1
                self.record.say("platform: process", number, f"uses {used:.0f} MB of",
                                self.memory_mb, "- ended and started again")
                self.fleet.signal(number, signal.SIGKILL)
                await process.wait()
                await asyncio.sleep(self.RESTART_AFTER_S)
                await self.fleet.start_vm(number, *self.zones[number], False)
            await asyncio.sleep(0.02)


def free_ports(host, count):
    """Ports that are free now, with 20 free ones behind the fifth for the internal ports."""
    for _ in range(50):
        base = random.randint(15000, 30000)
        try:
            for port in range(base, base + 30):
                with socket.socket() as probe:
                    probe.bind((host, port))
            return [base, base + 1, base + 2, base + 3, base + 10, base + 26][:count]
        except OSError:
            continue
    raise RuntimeError("no free ports")


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def run_case(folder, play):
    """Plays a case and returns its exit code; ends all processes that it started in any case."""
    allow_descriptors(12000)
    record = Record(folder)
    try:
        return asyncio.run(asyncio.wait_for(play(record), LONGEST_CASE_S))
    except Exception:  # pylint: disable=broad-except
        record.say(traceback.format_exc())
        return 2
