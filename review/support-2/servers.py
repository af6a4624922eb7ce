"""Servers and clients that follow the platform's pages."""

import asyncio
import time

from fleet import read_body, read_head


class Server:
    """A sound server of a service: it runs each request that names its id."""

    def __init__(self, record, name, host, service, zone, slots=6, work_s=0.1):
        self.record = record
        self.name = name
        self.host = host
        self.port = None
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.busy = asyncio.Semaphore(slots)
        self.runs = {}
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, 0, limit=1 << 17)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    def entry(self, **changes):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": "ready", "coldLeftMs": 0,
                "sequence": 1, **changes}

    async def publish(self, store, **changes):
        await store.put("servers/" + self.name, self.entry(**changes))

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                if not await self.respond(writer, head, body):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def respond(self, writer, head, body):
        fields = dict(head[1])
        request_id = fields.get("x-chicorylink-request-id", "")
        if fields.get("x-chicorylink-expect-instance", self.name) != self.name:
            writer.write(self.head(421, request_id) + b"Content-Length: 0\r\n\r\n")
            return True
        async with self.busy:
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            self.record.add("server", self.name, "runs", request_id)
            return await self.run(writer, head[0], fields, body)

    def head(self, status, request_id):
        return (f"HTTP/1.1 {status} X\r\nX-Chicorylink-Request-Id: {request_id}\r\n"
                f"X-Chicorylink-Server-Stamp: {self.name}.{request_id}\r\n"
                "Keep-Alive: timeout=30\r\n").encode()

    async def run(self, writer, first_line, fields, body):
        await asyncio.sleep(self.work_s)
        text = ("done " + fields.get("x-chicorylink-request-id", "")).encode()
        writer.write(self.head(200, fields.get("x-chicorylink-request-id", "")) +
                     b"Content-Length: %d\r\n\r\n" % len(text) + text)
        return True


class Client:
    """A client with one kept connection that sends one request after the other."""

    def __init__(self, record, name, host, port, key):
        self.record = record
        self.name = name
        self.host = host
        self.port = port
        self.key = key
        self.reader = None
        self.writer = None
        self.served_on_connection = 0
        self.sent = 0

    async def connect(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.host, self.port, limit=1 << 17), 1)
        self.served_on_connection = 0

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, path, deadline_ms=4000, method="POST", body=b"order", extra=""):
        """Returns (request id, result, kept), where the result is a status, or 'closed' when the
        connection ended without an answer; kept: whether the connection had served before."""
        self.sent += 1
        request_id = f"{self.name}-{self.sent}"
        kept = self.writer is not None and self.served_on_connection > 0
        try:
            if self.writer is None:
                await self.connect()
            self.record.add("client", self.name, "sends", request_id, path)
            self.writer.write(
                (f"{method} {path} HTTP/1.1\r\nHost: h\r\nX-Chicorylink-Request-Id: {request_id}\r\n"
                 f"X-Chicorylink-Deadline-Ms: {deadline_ms}\r\nX-Chicorylink-Key: {self.key}\r\n"
                 f"{extra}Content-Length: {len(body)}\r\n\r\n").encode() + body)
            await self.writer.drain()
            head = await asyncio.wait_for(read_head(self.reader), deadline_ms / 1000 + 1)
            if head is None:
                result = "closed"
            else:
                await read_body(self.reader, head[1])
                result = int(head[0].split(" ")[1])
        except (ConnectionError, asyncio.IncompleteReadError):
            result = "closed"
        except (OSError, asyncio.TimeoutError):
            result = "no answer"
        closing = isinstance(result, str) or "close" in dict(head[1]).get("connection", "").lower()
        self.served_on_connection += 0 if isinstance(result, str) else 1
        if closing:
            self.close()
        self.record.add("client", self.name, "got", result, "for", request_id)
        return request_id, result, kept


async def traffic(client, path, until, results, delay=0.0):
    """Sends one request after the other and collects (request id, result, kept)."""
    await asyncio.sleep(delay)
    while now() < until:
        results.append(await client.send(path))
        if isinstance(results[-1][1], str):
            await asyncio.sleep(0.3)


def lost_requests(results, ran):
    """Requests that a kept connection carried, that ran, and whose connection ended without an
    answer."""
    return [request for request, result, kept in results
            if result == "closed" and kept and request in ran]


def route(name, path, kind, service, **changes):
    return {"name": name, "host": "h", "pathPrefix": path, "kind": kind, "timeoutMs": 4000,
            "goalMs": 400, "priority": 2, "service": service, "maxAttempts": 1, "public": False,
            "sticky": False, "resumable": False, "gapGoalMs": 400, "allowedRegions": [], **changes}


def config(version, routes, services, tenants):
    return {"version": version, "routes": routes, "services": services, "tenants": tenants,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


def app_service(name, max_conns=110):
    return {"name": name, "healthCheck": "/health", "maxConns": max_conns, "protocol": "h1",
            "tls": False, "coldStartS": 0.0, "coldPerS": 0.0}


def engine_service(name, max_conns=370, **engine):
    return {"name": name, "healthCheck": "/health", "maxConns": max_conns, "protocol": "h1",
            "tls": False, "coldStartS": 3.0, "coldPerS": 2.9,
            "engine": {"slots": 64, "kvTokens": 510837, "kvTokenBytes": 163840,
                       "linkMbps": 180000.0, "moves": True, "backups": True, "stride": 6,
                       "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0,
                       "models": [{"name": "m"}], **engine}}


def tenant(name, keys, rate=0, burst=0):
    return {"name": name, "apiKeys": keys, "priority": 1, "unit": "tokens", "plainTokens": 200,
            "ratePerS": rate, "burst": burst, "allowedRegions": []}


def now():
    return time.monotonic()
