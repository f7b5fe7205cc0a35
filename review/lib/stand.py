"""Stand-ins for the cases in this folder: a store, servers of plain services, clients, and gateways.

The gateways are real processes of the build of the deploy file. Everything else runs in this process, on
loopback addresses and the real clock, and follows the users' pages. Standard library only.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BINARY = ROOT / "target" / "release" / "bramleyspring"
HOST = "desk.example"
START = time.monotonic()

# The bounds of a small deployment, as its sheet states them.
BOUNDS = {
    "stop_grace_s": 8, "repeat_ratio": 0.2, "repeat_window_s": 10, "repeat_extra": 130,
    "load_window_s": 5, "fencing": False, "config_ms": 2000, "drain_ms": 2000,
}
CONFIG_S = 2.0
DRAIN_S = 2.0
STABILITY_S = 3.0
MAX_SKEW_S = 5.0
HEARTBEAT_S = 1.2


TASKS = set()


def spawn(work):
    """Runs `work` beside the rest; asyncio itself keeps no reference to a task."""
    task = asyncio.get_running_loop().create_task(work)
    TASKS.add(task)
    task.add_done_callback(TASKS.discard)
    return task


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """What was sent, answered and run, in the order in which it happened."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def add(self, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{now():9.3f} {what} {text}\n")
        self.file.flush()


class CouldNotRun(Exception):
    """The case could not be run."""


async def read_message(reader):
    """Reads a message; returns its first line, headers and body, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += piece[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


def message(status, headers, body=b""):
    """Bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """A small HTTP/1.1 server; `answer(line, headers, body)` returns the bytes of a response, or None to
    break the connection off."""

    def __init__(self, answer):
        self.answer = answer
        self.address = None
        self.server = None
        self.tasks = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", port, reuse_address=True, limit=1 << 20, backlog=512)
        self.address = self.server.sockets[0].getsockname()

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                received = await read_message(reader)
                if received is None:
                    return
                response = await self.answer(*received)
                if response is None:
                    writer.transport.abort()
                    return
                writer.write(response)
                await writer.drain()
        except (OSError, asyncio.CancelledError, asyncio.IncompleteReadError, ValueError):
            writer.transport.abort()
        finally:
            self.tasks.discard(task)
            writer.close()

    async def stop(self):
        """Stops listening and resets all connections."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.sleep(0)


class Store:
    """The platform's store: rows, their feed and conditional writes, with one counter of versions."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 0
        self.era = 1
        self.is_up = True
        self.changed = asyncio.Event()
        self.copies = []
        self.calls = 0
        self.server = Server(self.answer)

    async def start(self):
        await self.server.start()
        spawn(self.keep_copies())

    @property
    def text_address(self):
        return "127.0.0.1:%d" % self.server.address[1]

    async def keep_copies(self):
        while True:
            if self.is_up:
                self.copies.append((now(), self.version, dict(self.rows)))
                self.copies = [copy for copy in self.copies if now() - copy[0] < 20]
            await asyncio.sleep(0.1)

    def put(self, table, key, value):
        """Writes a row (None removes it); returns when that was confirmed, or None while the store is away."""
        if not self.is_up:
            return None
        self.version += 1
        self.rows[(table, key)] = (value, self.version)
        self.notify()
        return now()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def drill(self, age_s, away_s):
        """The store is away for a moment and comes back from a copy that is some seconds old. What the
        operator wrote since is written again, with versions that are given out again; servers write
        their entries again with their status reports. The era rises by one."""
        gone_at = now()
        self.is_up = False
        port = self.server.address[1]
        lost_version, lost_rows = self.version, self.rows
        self.record.add("store_away", version=self.version, era=self.era)
        await self.server.stop()
        self.notify()
        await asyncio.sleep(away_s)
        copied_at, self.version, rows = max(
            copy for copy in self.copies if copy[0] <= gone_at - age_s)
        self.rows = dict(rows)
        copy_version = self.version
        self.era += 1
        self.copies = []
        await self.server.start(port)
        self.is_up = True
        again = [(key, row) for key, row in lost_rows.items() if key[0] == "op" and row[1] > copy_version]
        for (table, key), (value, _) in sorted(again, key=lambda entry: entry[1][1]):
            self.put(table, key, value)
        self.record.add("store_back", version=self.version, lost_from=copy_version + 1,
                        lost_to=lost_version, copy_age=f"{gone_at - copied_at:.1f}", era=self.era)
        return now()

    def found(self, wanted):
        rows = []
        for (table, key), (value, version) in self.rows.items():
            if wanted(table, key, value, version):
                text = None if value is None else base64.b64encode(value).decode()
                rows.append({"table": table, "part": "", "key": key, "row_version": version,
                             "value": text, "removed": value is None})
        return rows

    def page(self, rows, status=200, more=False):
        body = json.dumps({"rows": rows, "row_version": self.version, "now_ms": int(now() * 1000) + 1,
                           "has_more": more}).encode()
        return message(status, {"Content-Type": "application/json", "Store-Era": self.era}, body)

    async def answer(self, line, _headers, body):
        self.calls += 1
        _method, target, _ = line.split(" ")
        parts = urllib.parse.urlsplit(target)
        query = {name: values[0] for name, values in
                 urllib.parse.parse_qs(parts.query, keep_blank_values=True).items()}
        if parts.path == "/rows-get":
            return self.get(query)
        if parts.path == "/rows-feed":
            return await self.feed(query)
        if parts.path == "/rows-tx":
            return self.transact(json.loads(body))
        return message(404, {"Store-Era": self.era})

    def get(self, query):
        table, first, limit = query["table"], query.get("from", ""), int(query.get("limit", 500))
        rows = self.found(lambda name, key, value, _: name == table and value is not None and key >= first)
        rows.sort(key=lambda row: row["key"])
        return self.page(rows[:limit], more=len(rows) > limit)

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        until = now() + int(query.get("wait_ms", 0)) / 1000
        era = self.era
        while True:
            if era != self.era or not self.is_up:
                return None
            if after > self.version:
                return self.page([], status=410)
            rows = self.found(lambda name, _key, _value, version: name == table and version > after)
            if rows or now() >= until:
                rows.sort(key=lambda row: row["row_version"])
                return self.page(rows)
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), max(0.001, until - now()))
            except asyncio.TimeoutError:
                pass

    def transact(self, call):
        for row in call.get("precondition", []):
            value, version = self.rows.get((row["table"], row["key"]), (None, 0))
            if (version if value is not None else 0) != row["row_version"]:
                return self.page([], status=412)
        for row in call.get("puts", []) + call.get("remove", []):
            if row["table"] in ("op", "servers"):
                return message(403, {"Store-Era": self.era})
        self.version += 1
        for row in call.get("puts", []):
            self.rows[(row["table"], row["key"])] = (base64.b64decode(row["value"]), self.version)
        for row in call.get("remove", []):
            self.rows[(row["table"], row["key"])] = (None, self.version)
        self.notify()
        return self.page([])


class PlainServer:
    """A server of a plain service, which writes a status report every heartbeat."""

    def __init__(self, store, record, name, service, work_s=0.015):
        self.store, self.record, self.name, self.service = store, record, name, service
        self.work_s = work_s
        self.running = 0
        self.runs = []
        self.reports = True
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.server = Server(self.answer)

    async def start(self):
        await self.server.start()
        self.report()
        spawn(self.keep_reporting())

    def report(self):
        self.sequence += 1
        entry = {"service": self.service, "address": "127.0.0.1:%d" % self.server.address[1],
                 "zone": "plateau", "version": "1", "slots": 6, "state": "ready",
                 "cold_remaining_ms": 0, "sequence": 0, "born": self.born}
        self.store.put("servers", self.name, json.dumps(entry).encode())

    async def keep_reporting(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.reports:
                self.report()

    def unlist(self):
        """Leaves without reporting that it drains: its entry is removed, and it serves on."""
        self.reports = False
        return self.store.put("servers", self.name, None)

    async def answer(self, line, headers, _body):
        common = {"X-Instance-Id": self.name, "X-Server-Load": f"{self.running},0,6"}
        if "x-request-id" in headers:
            common["X-Request-Id"] = headers["x-request-id"]
        if headers.get("x-expect-instance", self.name) != self.name:
            return message(421, common)
        if line.split(" ")[1] == "/health":
            return message(200, common)
        request = headers.get("x-request-id", "")
        self.runs.append((now(), request))
        self.record.add("run", server=self.name, service=self.service, request=request,
                        tenant=headers.get("x-tenant", "-"))
        self.running += 1
        await asyncio.sleep(self.work_s)
        self.running -= 1
        common["X-Response-Signature"] = f"{self.name}.{len(self.runs)}"
        return message(200, common, b"done " + request.encode())


def free_port(kind=socket.SOCK_STREAM):
    """A port that nothing uses now."""
    with socket.socket(socket.AF_INET, kind) as found:
        found.bind(("127.0.0.1", 0))
        return found.getsockname()[1]


class Gateway:
    """A gateway process, with the settings that the template of the deploy file renders."""

    def __init__(self, folder, name, store_address, bounds=None, zone="plateau"):
        self.folder, self.name, self.store_address, self.zone = folder, name, store_address, zone
        self.bounds = bounds or BOUNDS
        self.ports = [free_port() for _ in range(4)]
        self.process = None
        self.first_start = True

    def settings(self):
        requests, readiness, metrics, links = ("127.0.0.1:%d" % port for port in self.ports)
        return {"node": self.name, "failure_domain": self.zone, "store": self.store_address,
                "first_start": self.first_start, "bounds": self.bounds, "memory_mb": 260,
                "region": "dakar", "regions": {"plateau": "dakar", "medina": "dakar", "pikine": "dakar"},
                "listen": {"requests": requests, "readiness": readiness, "metrics": metrics,
                           "hints": links, "links": links}}

    async def start(self):
        path = Path(self.folder) / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        log = open(Path(self.folder) / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(BINARY), "gateway", "--settings", str(path), stdout=log, stderr=log, cwd=ROOT)

    async def is_ready(self):
        answer = await exchange(("127.0.0.1", self.ports[1]), "GET", "/ready", {"Host": "x"}, limit=1.0)
        return answer.status == 200

    async def wait_ready(self, limit=20):
        until = now() + limit
        while not await self.is_ready():
            if now() > until:
                raise CouldNotRun(f"{self.name} is not ready")
            await asyncio.sleep(0.1)

    @property
    def address(self):
        return ("127.0.0.1", self.ports[0])

    def log_lines(self, text):
        content = (Path(self.folder) / f"{self.name}.log").read_text(errors="replace")
        return [line for line in content.splitlines() if text in line]


class Answer:
    """How a request ended: a status, or None and the reason."""

    def __init__(self, status=None, headers=None, body=b"", reason=""):
        self.status, self.headers, self.body, self.reason = status, headers or {}, body, reason


async def exchange(address, method, path, headers, body=b"", limit=5.0):
    """Sends one request on a connection of its own."""
    async def run():
        reader, writer = await asyncio.open_connection(*address)
        try:
            lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
            if method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            received = await read_message(reader)
            if received is None:
                return Answer(reason="closed")
            first, received_headers, received_body = received
            return Answer(int(first.split(" ")[1]), received_headers, received_body)
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), limit)
    except asyncio.TimeoutError:
        return Answer(reason="no answer in time")
    except (OSError, asyncio.IncompleteReadError) as error:
        return Answer(reason=f"broken: {error}")


class Client:
    """Sends requests with ids of their own and records what comes of them."""

    def __init__(self, record):
        self.record = record
        self.count = 0
        self.sent = {}

    async def call(self, gateway, method, path, key, tag, limit_ms=2000):
        self.count += 1
        request = f"{tag}-{self.count:06d}"
        sent_at = now()
        self.record.add("sent", request=request, gateway=gateway.name, call=f"{method} {path}", key=key)
        headers = {"Host": HOST, "X-Request-Id": request, "X-Deadline-Ms": limit_ms, "X-Credential": key}
        answer = await exchange(gateway.address, method, path, headers, b"{}", limit_ms / 1000)
        self.record.add("answered", request=request, status=answer.status or answer.reason)
        self.sent[request] = (sent_at, gateway.name, path, key, answer)
        return request, answer


def route(name, prefix, kind, service):
    """A route of a manifest."""
    return {"name": name, "host": HOST, "prefix": prefix, "route_type": kind, "service": service,
            "timeout_ms": 4000, "target_latency_ms": 300, "priority": 1,
            "max_attempts": 1 if kind == "non_idempotent" else 2, "public": False,
            "resumable": False, "sticky": False}


def manifest(version, routes, services, tenants):
    """A manifest, as the operator writes it."""
    return json.dumps({
        "version": version, "routes": routes,
        "services": [{"name": name, "max_connections": 96, "health_path": "/health"} for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [{"name": name, "api_keys": keys, "priority": 1} for name, keys in tenants.items()],
    }).encode()


def run_case(folder, case):
    """Runs `case(folder, record, gateways, with_trouble)`, which returns whether the rule held; ends all
    processes, and exits with 0, 1 or 2."""
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    scratch = tempfile.mkdtemp(prefix="review-")
    gateways = []

    async def main():
        try:
            return await asyncio.wait_for(case(scratch, record, gateways, with_trouble), 115)
        finally:
            for task in list(TASKS):
                task.cancel()
            for gateway in gateways:
                if gateway.process and gateway.process.returncode is None:
                    try:
                        gateway.process.send_signal(signal.SIGCONT)
                        gateway.process.kill()
                    except ProcessLookupError:
                        pass
                    await gateway.process.wait()

    code = 2
    try:
        if not BINARY.exists():
            raise CouldNotRun("the release binary is missing: run the build of the deploy file")
        held, text = asyncio.run(main())
        code = 0 if held else 1
        record.add("verdict", result="held" if held else "broken", why=text)
        print(("held: " if held else "broken: ") + text)
    except (CouldNotRun, asyncio.TimeoutError, OSError) as error:
        record.add("verdict", result="could not run", why=repr(error))
        print(f"could not run: {error!r}")
    finally:
        if os.environ.get("KEEP"):
            print(scratch)
        else:
            shutil.rmtree(scratch, ignore_errors=True)
    sys.exit(code)
