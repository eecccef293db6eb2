"""Stand-ins of the users' platform, runners and clients for the scripts of the review, after PROTOCOL.md.

Everything runs in one Python process on loopback addresses; the nodes are the project's own program, one process each.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "samphiredeck")


USED_PORTS = set()


def free_ports(count):
    """Ports that are free now for TCP and UDP. They lie below those that the system gives to outgoing connections, so that a
    node finds its own free again after a restart."""
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(15_000, 30_000)
        if port in USED_PORTS:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        USED_PORTS.add(port)
        ports.append(port)
    return ports


class Record:
    """Writes what happened, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.4f} {what} {text}\n")
        self.file.flush()


async def read_head(reader):
    """First line and headers, with names in lower case. None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip() or b"0", 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def response(status, body=b"", headers=()):
    reason = {200: "OK", 412: "Precondition Failed", 503: "Service Unavailable"}.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


ROW_BYTES = 65_536


class Store:
    """The platform's store and its API for duties."""

    def __init__(self, record):
        self.record = record
        self.largest = {}
        self.refused = {}
        self.rows = {}
        self.version = 0
        self.changes = []
        self.changed = asyncio.Event()
        self.started = time.monotonic()
        self.duties = []

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        return server

    def put(self, table, key, value, part=""):
        self.version += 1
        row = {"table": table, "part": part, "key": key, "row_version": self.version}
        if value is None:
            self.rows.pop((table, part, key), None)
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
            self.rows[(table, part, key)] = row
        self.changes.append(row)
        self.notify()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def now_ms(self):
        return int((time.monotonic() - self.started) * 1000) + 50_000

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ", 2)
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                status, answer = await self.answer(method, path, query, body, headers)
                await asyncio.sleep(0.004)
                writer.write(response(status, json.dumps(answer).encode(), [("Content-Type", "application/json")]))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, path, query, body, headers):
        if path == "/rows-get":
            table, part = query["table"], query.get("part", "")
            keys = sorted(key for (t, p, key) in self.rows if t == table and p == part)
            keys = [key for key in keys if key >= query.get("from", "")]
            if query.get("to"):
                keys = [key for key in keys if key < query["to"]]
            limit = int(query.get("limit", 500))
            rows = [self.rows[(table, part, key)] for key in keys[:limit]]
            more = len(keys) > limit
            return 200, {"rows": rows, "has_more": more, "row_version": self.version, "now_ms": self.now_ms()}
        if path == "/rows-feed":
            table, after = query["table"], int(query["after"])
            until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            while True:
                rows = [row for row in self.changes if row["table"] == table and row["row_version"] > after]
                left = until - time.monotonic()
                if rows or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            newest = {row["key"]: row for row in rows}
            rows = sorted(newest.values(), key=lambda row: row["row_version"])
            return 200, {"rows": rows, "has_more": False, "row_version": self.version, "now_ms": self.now_ms()}
        if path == "/rows-tx":
            call = json.loads(body)
            key_of = lambda row: (row["table"], row.get("part", ""), row["key"])
            for expected in call.get("expected_revision", []):
                found = self.rows.get(key_of(expected))
                if (found["row_version"] if found else 0) != expected["row_version"]:
                    rows = [self.rows[key_of(row)] for row in call["expected_revision"] if key_of(row) in self.rows]
                    return 412, {"rows": rows, "row_version": self.version, "now_ms": self.now_ms()}
            for entry in call.get("set_keys", []):
                size = len(base64.b64decode(entry["value"]))
                self.largest[entry["key"]] = max(size, self.largest.get(entry["key"], 0))
                if size > ROW_BYTES:
                    if entry["key"] not in self.refused:
                        self.record.write("row-refused", key=entry["key"], bytes=size)
                    self.refused[entry["key"]] = self.refused.get(entry["key"], 0) + 1
                    return 413, {"row_version": self.version, "now_ms": self.now_ms()}
            self.version += 1
            for entry in call.get("set_keys", []):
                row = {**{"part": ""}, **entry, "row_version": self.version}
                self.rows[key_of(entry)] = row
                self.changes.append(row)
            for entry in call.get("remove", []):
                if self.rows.pop(key_of(entry), None):
                    self.changes.append({**{"part": ""}, **entry, "row_version": self.version, "deleted": True})
            self.notify()
            return 200, {"row_version": self.version, "now_ms": self.now_ms()}
        if path in ("/usage", "/scaling"):
            fields = dict(holder=headers.get("x-duty-holder"), token=headers.get("x-fencing-token"))
            self.duties.append((path, fields, body))
            self.record.write("duty", path=path, **fields, body=body.decode())
            return 200, {}
        return 404, {}


class Runner:
    """A runner. `handle` serves one request; heartbeats go to the store."""

    def __init__(self, store, record, ident, service, zone, slots, handle, version="v1"):
        self.store, self.record = store, record
        self.id, self.service, self.zone, self.slots = ident, service, zone, slots
        self.handle, self.version = handle, version
        self.sequence = 0
        self.running = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.sequence += 1
            entry = {
                "service": self.service, "address": self.address, "zone": self.zone, "version": self.version,
                "slots": self.slots, "state": "ready", "cold_remaining_ms": 0, "stage": "unified",
                "models": [{"name": "m", "version": 1, "adapters": []}], "sequence": self.sequence,
            }
            self.store.put("servers", self.id, json.dumps(entry).encode())
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body = await read_body(reader, headers)
                if headers.get("x-expected-instance", self.id) != self.id:
                    writer.write(response(421, b"", [("X-Instance-Id", self.id)]))
                    await writer.drain()
                    continue
                self.running += 1
                try:
                    await self.handle(self, line, headers, body, writer)
                finally:
                    self.running -= 1
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Node:
    """A node of the project, started with the command of the deploy file."""

    def __init__(self, bed, name, zone):
        self.bed, self.name, self.zone = bed, name, zone
        self.process = None
        self.choose_ports()
        self.settings = os.path.join(bed.folder, f"{name}.json")

    def choose_ports(self):
        self.caller, self.ready, self.metrics, self.peer = free_ports(4)

    def write_settings(self):
        local = lambda port: f"127.0.0.1:{port}"
        settings = {
            "node": {"name": self.name, "domain": self.zone},
            "listen": {
                "caller": local(self.caller), "ready": local(self.ready),
                "metrics": local(self.metrics), "peer": local(self.peer),
            },
            "platform": {"store": self.bed.store.address, "orders": self.bed.store.address},
            "bounds": {
                "revoke": "5000ms", "grace": "8s", "lease": "3000ms", "usage_window": "5s", "usage_due": "10s",
                "repeat_window": "10s", "repeat_ratio": 0.2, "repeat_extra": 58, "quota_overage": 0.1,
                "quota_slack": 140000, "quota_window": "8s",
            },
        }
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    async def start(self):
        if self.bed.is_stopping:
            return
        self.write_settings()
        log = open(os.path.join(self.bed.folder, f"{self.name}.log"), "ab")
        env = {"PATH": os.environ.get("PATH", ""), "SAMPHIREDECK_NODE_FILE": self.settings}
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "forward", self.settings, cwd=ROOT, env=env, stdout=log, stderr=log)
        self.bed.record.write("node-start", node=self.name, pid=self.process.pid)

    def send(self, number):
        self.bed.record.write("signal", node=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False


class Bed:
    """A small deployment."""

    def __init__(self, record_path):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(record_path)
        self.store = Store(self.record)
        self.nodes, self.runners = [], []
        self.is_stopping = False

    async def start_nodes(self, names_and_zones):
        self.nodes = [Node(self, name, zone) for name, zone in names_and_zones]
        for node in self.nodes:
            await node.start()
        until = time.monotonic() + 20
        while time.monotonic() < until:
            if all([await node.is_ready() for node in self.nodes]):
                return True
            for node in self.nodes:
                if node.process.returncode is not None:
                    # Another program has taken one of its ports in between.
                    node.choose_ports()
                    await node.start()
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        self.is_stopping = True
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                try:
                    node.process.send_signal(signal.SIGCONT)
                    node.process.kill()
                    await node.process.wait()
                except ProcessLookupError:
                    pass
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def fail_setup(text):
    print(f"the case could not run: {text}", file=sys.stderr)
    return 2


def run(main):
    """Runs `main` and exits with what it returns. A signal ends it in order, with its processes, as a case that could not run."""

    async def guarded():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await main()
        except asyncio.CancelledError:
            return fail_setup("it was ended from outside")
        except Exception:  # Exit status 1 is for a broken rule alone.
            traceback.print_exc()
            return fail_setup("an error of the script")

    sys.exit(asyncio.run(guarded()))
