"""Stand-ins for the scripts of this review: the platform's store, servers of a plain service, and gateways.

Names and formats are those of the users' pages PROTOCOL.md and DEPLOY.md. Everything runs on loopback addresses and
on ports that the system chooses. The gateways are separate processes, started with the command of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
BINARY = ROOT / "target" / "release" / "bramleyspring"
HOST = "desk.example"
KEY = "key-of-the-desk"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class Record:
    """record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.say(f"TROUBLE={'1' if TROUBLE else '0'}")

    def say(self, text):
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()


# --- HTTP ---------------------------------------------------------------------------------------------------------


class Message:
    """Head and body of a request or a response."""

    def __init__(self, start, headers, body=b""):
        self.start, self.headers, self.body = start, headers, body

    def header(self, name):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None


async def read_head(reader):
    """Reads a start line and headers; None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
    return Message(lines[0], headers)


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += data[:-2]


async def read_request(reader):
    message = await read_head(reader)
    if (message.header("Transfer-Encoding") or "").lower() == "chunked":
        message.body = await read_chunks(reader)
    else:
        message.body = await reader.readexactly(int(message.header("Content-Length") or 0))
    return message


async def read_response(reader):
    """Reads a response that has a length or chunks."""
    return await read_request(reader)


def encode_response(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


# --- The platform's store -----------------------------------------------------------------------------------------


class Store:
    """The platform's metadata store: rows, transactions and the feed of changes."""

    def __init__(self):
        self.rows = {}
        self.changes = []
        self.version = 0
        self.changed = asyncio.Condition()
        self.began = time.monotonic()
        self.address = None
        # A coroutine that is awaited before each call, with the path and the body.
        self.before = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def apply(self, puts, removes):
        async with self.changed:
            self.version += 1
            for table, part, key, value in puts:
                self.rows[(table, part, key)] = (value, self.version)
                self.changes.append((self.version, table, part, key, value))
            for table, part, key in removes:
                if self.rows.pop((table, part, key), None) is not None:
                    self.changes.append((self.version, table, part, key, None))
            self.changed.notify_all()

    async def put(self, table, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        await self.apply([(table, "", key, text)], [])

    async def remove(self, table, key):
        await self.apply([], [(table, "", key)])

    def answer(self, extra):
        now_ms = (time.monotonic() - self.began) * 1000.0
        return {"row_version": self.version, "now_ms": now_ms, **extra}

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                method, target, _ = request.start.split(" ")
                if self.before is not None and not await self.before(target, request.body):
                    break
                status, body = await self.call(method, target, request.body)
                headers = [("Content-Type", "application/json")]
                writer.write(encode_response(status, headers, json.dumps(body).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def call(self, method, target, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/rows-get":
            return 200, self.get(query)
        if url.path == "/rows-feed":
            return 200, await self.feed(query)
        if url.path == "/rows-parts":
            parts = sorted({key[1] for key in self.rows if key[0] == query.get("table")})
            return 200, self.answer({"parts": parts, "has_more": False})
        if url.path == "/rows-tx" and method == "POST":
            return await self.transact(json.loads(body))
        return 404, {}

    def row(self, table, part, key):
        value, version = self.rows[(table, part, key)]
        return {"table": table, "part": part, "key": key, "value": value, "row_version": version}

    def get(self, query):
        limit = min(int(query.get("limit", 500)), 500)
        first, end = query.get("from", ""), query.get("to")
        keys = sorted(
            key
            for table, part, key in self.rows
            if table == query["table"] and part == query.get("part", "")
            and key >= first and (end is None or key < end)
        )
        rows = [self.row(query["table"], query.get("part", ""), key) for key in keys[:limit]]
        return self.answer({"rows": rows, "has_more": len(keys) > limit})

    async def feed(self, query):
        after, wait = int(query["after"]), float(query.get("wait_ms", 0)) / 1000.0
        deadline = time.monotonic() + wait

        def found():
            return [c for c in self.changes if c[0] > after and c[1] == query["table"]]

        async with self.changed:
            while not found():
                left = deadline - time.monotonic()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
        rows = []
        for version, table, part, key, value in found():
            row = {"table": table, "part": part, "key": key, "row_version": version}
            row.update({"removed": True} if value is None else {"value": value})
            rows.append(row)
        return self.answer({"rows": rows})

    async def transact(self, call):
        def name(row):
            return (row["table"], row.get("part", ""), row["key"])

        for row in call.get("precondition") or []:
            held = self.rows.get(name(row), (None, 0))[1]
            if held != row["row_version"]:
                known = [self.row(*name(other)) for other in call["precondition"] if name(other) in self.rows]
                return 412, self.answer({"rows": known})
        puts = [(*name(row), row["value"]) for row in call.get("puts") or []]
        removes = [name(row) for row in call.get("remove") or []]
        await self.apply(puts, removes)
        return 200, self.answer({})


# --- Servers of a plain service -----------------------------------------------------------------------------------


class Server:
    """One server of a plain service. `handler(server, request, reader, writer)` answers a request that is for this
    server, and returns whether its connection is kept."""

    def __init__(self, store, name, handler, service="records", zone="z0", slots=6):
        self.store, self.name, self.handler = store, name, handler
        self.service, self.zone, self.slots = service, zone, slots
        self.born = int(time.time() * 1000)
        self.address, self.server, self.state, self.beats = None, None, "ready", None
        self.runs = []

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 20)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        await self.register()
        self.beats = asyncio.ensure_future(self.beat())
        return self

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            await self.register()

    async def register(self):
        entry = {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "1",
            "slots": self.slots, "state": self.state, "cold_remaining_ms": 0, "sequence": 0, "born": self.born,
        }
        await self.store.put("servers", self.name, entry)

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request.start.split(" ")[1] == "/health":
                    headers = [("X-Instance-Id", self.name), ("X-Server-Load", f"0,0,{self.slots}")]
                    writer.write(encode_response(200, headers))
                    continue
                expected = request.header("X-Expect-Instance")
                if expected not in (None, self.name):
                    headers = [("X-Request-Id", request.header("X-Request-Id") or ""), ("X-Not-Executed", "1")]
                    writer.write(encode_response(421, headers))
                    continue
                if not await self.handler(self, request, reader, writer):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def signed(server, request):
    """Headers of a server's own answer to a request that it ran."""
    return [
        ("X-Request-Id", request.header("X-Request-Id") or ""),
        ("X-Response-Signature", f"sig.{server.name}.{request.header('X-Request-Id')}"),
        ("X-Server-Load", f"0,0,{server.slots}"),
    ]


# --- Configuration and gateways -----------------------------------------------------------------------------------


def configuration(version=1, **limits):
    def route(name, prefix, kind, attempts):
        return {
            "name": name, "host": HOST, "prefix": prefix, "route_type": kind, "service": "records",
            "timeout_ms": 8000, "target_latency_ms": 500, "priority": 1, "max_attempts": attempts,
            "public": False, "resumable": False, "sticky": False,
        }

    bounds = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    return {
        "version": version,
        "routes": [route("pay", "/pay/", "non_idempotent", 1), route("look", "/look/", "idempotent", 2)],
        "services": [{"name": "records", "max_connections": 96, "health_path": "/health"}],
        "limits": {**bounds, **limits},
        "tenants": [{"name": "desk", "api_keys": [KEY]}],
    }


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Gateway:
    """A gateway process with the settings of a small deployment."""

    def __init__(self, store, folder, name="front-z0-1", zone="z0", first_start=True):
        ports = {face: f"127.0.0.1:{free_port()}" for face in ("requests", "readiness", "metrics", "links")}
        ports["hints"] = ports["links"]
        self.settings = {
            "node": name, "failure_domain": zone, "listen": ports, "store": store.address,
            "first_start": first_start,
            "bounds": {
                "stop_grace_s": 8, "repeat_ratio": 0.2, "repeat_window_s": 10, "repeat_extra": 130,
                "load_window_s": 5, "fencing": False, "config_ms": 2000, "drain_ms": 2000,
            },
            "memory_mb": 260, "descriptors": 4200, "region": "r0", "regions": {zone: "r0"},
        }
        self.path = Path(folder) / f"{name}.json"
        self.log = Path(folder) / f"{name}.log"
        self.address = ("127.0.0.1", int(ports["requests"].rsplit(":", 1)[1]))
        self.readiness = ("127.0.0.1", int(ports["readiness"].rsplit(":", 1)[1]))
        self.process = None

    def start(self):
        self.path.write_text(json.dumps(self.settings), encoding="utf-8")
        # The command of deploy/system.toml; the settings file stands elsewhere.
        command = [str(BINARY), "gateway", "--settings", str(self.path)]
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    async def wait_ready(self, limit=20.0):
        deadline = time.monotonic() + limit
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                return False
            try:
                reader, writer = await asyncio.open_connection(*self.readiness)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
                answer = await asyncio.wait_for(reader.read(), 1.0)
                writer.close()
                if answer.startswith(b"HTTP/1.1 200"):
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        return False

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def request_bytes(method, path, request_id, body=b"", deadline_ms=8000, extra=()):
    lines = [
        f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}", f"X-Credential: {KEY}",
    ]
    lines += [f"{name}: {value}" for name, value in extra]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def run_case(folder, case, limit_s=110):
    """Runs `case(record, temporary folder, gateways)`, ends what it started, and exits with its result."""
    record = Record(folder)
    temporary = tempfile.mkdtemp(prefix="bramleyspring-review-")
    gateways = []
    result = CANNOT_RUN
    try:
        if BINARY.exists():
            loop = asyncio.new_event_loop()
            asyncio.set_event_loop(loop)
            result = loop.run_until_complete(asyncio.wait_for(case(record, temporary, gateways), limit_s))
        else:
            record.say("target/release/bramleyspring is missing: run the build of deploy/system.toml first")
    except Exception as error:  # A stand-in that fails says nothing of the rule.
        record.say(f"the case could not run: {error!r}")
    finally:
        for gateway in gateways:
            gateway.end()
        if os.environ.get("KEEP_LOGS"):
            record.say(f"logs are kept in {temporary}")
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", CANNOT_RUN: "the case could not run"}[result]
    record.say(verdict)
    print(verdict, flush=True)
    # The stand-ins are tasks of this process and end with it.
    os._exit(result)
