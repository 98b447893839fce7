"""Stand-ins of the platform for the review's scripts: the store, the workers, the list of machines,
the clients, and the processes of the system, started with the command of the deploy file.

Everything listens on loopback addresses. Only the standard library is used.
"""

import asyncio
import base64
import bisect
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

# Bounds of the small deployments, as their sheets give them.
BOUNDS = {
    "hold_max_ms": 6000,
    "status_s": 120,
    "grace_s": 6,
    "drain_ms": 2000,
    "config_apply_ms": 2000,
    "max_stretch_ms": 5000,
    "quota_overshoot": "",
}
STOP_GRACE = 0.2
HEARTBEAT = 1.5


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w")

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


class Server:
    """An HTTP/1.1 server; `handle(method, path, query, headers, body)` returns status and JSON."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None

    async def open(self, host, port=0):
        self.server = await asyncio.start_server(self.serve, host, port, backlog=512)
        return self.server.sockets[0].getsockname()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    if name:
                        headers[name.lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                path, _, query = target.partition("?")
                reply = await self.handle(method, path, query, headers, body)
                if reply is None:
                    break
                status, value = reply
                out = json.dumps(value, separators=(",", ":")).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(out))
                )
                writer.write(out)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass  # the client has closed the connection, or the case has ended
        finally:
            writer.close()


def parameters(query):
    return {key: values[0] for key, values in urllib.parse.parse_qs(query, keep_blank_values=True).items()}


class Store:
    """The platform's store: rows, transactions and the feed, with the limits of PROTOCOL.md."""

    def __init__(self, row_bytes=65536, tx_s=0.008, read_s=0.004):
        self.row_bytes = row_bytes
        self.tx_s = tx_s
        self.read_s = read_s
        self.rows = {}
        self.history = []
        self.versions = []
        self.version = 0
        self.changed = asyncio.Event()
        self.refused = []
        # Decides about each transaction: None, or the time after which it is done without an answer.
        self.lose = lambda body: None

    def put(self, table, part, key, value, version):
        name = (table, part, key)
        if value is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = (value, version)
        self.history.append((version, name, value))
        self.versions.append(version)

    def next_version(self):
        self.version += 1
        return self.version

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, table, key, value):
        """Writes a row of the operator or of a worker."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        self.put(table, "", key, encoded, self.next_version())
        self.wake()

    def remove(self, table, key):
        self.put(table, "", key, None, self.next_version())
        self.wake()

    @staticmethod
    def encode(name, value, version):
        row = {"table": name[0], "part": name[1], "key": name[2], "value": value or "", "ver": version}
        if value is None:
            row["tombstone"] = True
        return row

    def transact(self, body):
        entries = len(body.get("precondition", [])) + len(body.get("puts", [])) + len(body.get("remove", []))
        if entries > 100:
            return 400, {"reason": f"{entries} entries, at most 100"}
        for put in body.get("puts", []):
            size = len(base64.b64decode(put["value"]))
            if size > self.row_bytes:
                reason = f"row {put['table']}/{put['key']} has {size} bytes, at most {self.row_bytes}"
                self.refused.append(reason)
                return 400, {"reason": reason}
        names = [(row["table"], row["part"], row["key"]) for row in body.get("precondition", [])]
        versions = [row["ver"] for row in body.get("precondition", [])]
        if any(self.rows.get(name, (None, 0))[1] != version for name, version in zip(names, versions)):
            current = [self.encode(name, *self.rows[name]) for name in names if name in self.rows]
            return 412, {"rows": current, "ver": self.version, "now_ms": now_ms()}
        version = self.next_version()
        for put in body.get("puts", []):
            self.put(put["table"], put["part"], put["key"], put["value"], version)
        for row in body.get("remove", []):
            self.put(row["table"], row["part"], row["key"], None, version)
        self.wake()
        return 200, {"ver": version, "now_ms": now_ms()}

    def read(self, table, part, start, end, limit):
        names = sorted(
            name
            for name in self.rows
            if name[0] == table and name[1] == part and name[2] >= start and (not end or name[2] < end)
        )
        rows, size = [], 0
        for name in names:
            value, version = self.rows[name]
            if len(rows) == limit or (rows and size + len(value) > 1_000_000):
                break
            size += len(value)
            rows.append(self.encode(name, value, version))
        more = len(rows) < len(names)
        return 200, {"rows": rows, "has_more": more, "ver": self.version, "now_ms": now_ms()}

    async def feed(self, table, after, wait_s):
        end = time.monotonic() + wait_s
        while True:
            changed = self.changed
            rows, size, last = [], 0, self.version
            first = bisect.bisect_right(self.versions, after)
            for version, name, value in self.history[first:]:
                if name[0] != table:
                    continue
                if len(rows) >= 500 or (rows and size > 1_000_000):
                    last = rows[-1]["ver"]
                    break
                size += len(value or "")
                rows.append(self.encode(name, value, version))
            remaining = end - time.monotonic()
            if rows or remaining <= 0:
                return 200, {"rows": rows, "ver": last, "now_ms": now_ms()}
            try:
                await asyncio.wait_for(changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass

    async def handle(self, method, path, query, headers, body):
        args = parameters(query)
        if path == "/-/rows-tx":
            await asyncio.sleep(self.tx_s)
            if len(body) > 1_000_000:
                self.refused.append(f"call of {len(body)} bytes, at most 1 MB")
                return 400, {"reason": "the call has more than 1 MB"}
            transaction = json.loads(body)
            late = self.lose(transaction)
            if late is not None:
                asyncio.get_running_loop().call_later(late, self.transact, transaction)
                await asyncio.sleep(60)  # the connection delivers nothing further
                return None
            return self.transact(transaction)
        await asyncio.sleep(self.read_s)
        if path == "/-/rows-get":
            limit = min(int(args.get("limit", 500)), 500)
            return self.read(args["table"], args.get("part", ""), args.get("from", ""), args.get("to", ""), limit)
        if path == "/-/rows-parts":
            parts = sorted({name[1] for name in self.rows if name[0] == args["table"]})
            after = args.get("after")
            parts = [part for part in parts if after is None or part > after]
            return 200, {"parts": parts[:1000], "has_more": len(parts) > 1000, "ver": self.version, "now_ms": now_ms()}
        if path == "/-/rows-feed":
            return await self.feed(args["table"], int(args["after"]), min(int(args.get("wait_ms", 0)), 30000) / 1000)
        return 404, {"reason": "no such call"}


def now_ms():
    return int(time.monotonic() * 1000)


class Run:
    def __init__(self, task, run, spec, started):
        self.task, self.run, self.spec, self.started = task, run, spec, started


class Worker:
    """A worker that starts whatever it is told to (`rejects_overload` false)."""

    def __init__(self, world, name, service, cpu=16000, mem_mb=65536, labels=("a", "r1-1")):
        self.world = world
        self.name = name
        self.service = service
        self.cpu, self.mem_mb, self.labels = cpu, mem_mb, list(labels)
        self.born = time.monotonic()
        self.address = None
        self.token = 0
        self.deadline = 0
        self.running = {}
        self.closed_runs = {}
        self.ends = []
        self.end_number = 0
        self.ended = asyncio.Event()
        self.state = "ready"
        self.seq = 0
        self.alive = True
        self.silent = False
        self.server = Server(self.handle)
        self.tasks = []

    def clock(self):
        return int((time.monotonic() - self.born) * 1000) + 1000

    async def open(self, host):
        address = await self.server.open(host)
        self.address = f"{address[0]}:{address[1]}"
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.expire())]

    async def beat(self):
        while self.alive:
            if not self.silent:
                self.register()
            await asyncio.sleep(HEARTBEAT)

    def register(self):
        self.seq += 1
        self.world.store.write(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": self.address,
                "zone": "z1",
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold_left_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
                "labels": self.labels,
                "clock_ms": self.clock(),
                "seq": self.seq,
            },
        )

    async def expire(self):
        while self.alive:
            await asyncio.sleep(0.05)
            if self.running and self.clock() >= self.deadline:
                for run in list(self.running.values()):
                    self.end(run, "lapsed")

    def end(self, run, how):
        if self.running.pop(run.task, None) is None:
            return
        self.closed_runs[run.task] = max(self.closed_runs.get(run.task, 0), run.run)
        self.end_number += 1
        self.ends.append([self.end_number, run.task, run.run, how, ""])
        self.world.ended(self, run, how, self.end_number)
        self.ended.set()
        self.ended = asyncio.Event()

    def extend(self, deadline):
        if deadline is not None:
            self.deadline = max(self.deadline, min(deadline, self.clock() + BOUNDS["hold_max_ms"]))

    def fenced(self, token):
        if token < self.token:
            return True
        self.token = token
        return False

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock(), "reason": reason}

    async def handle(self, method, path, query, headers, body):
        if not self.alive:
            return None
        if headers.get("target-instance", self.name) != self.name:
            return 421, {"clock_ms": self.clock()}
        if path == "/healthz":
            return 200, {}
        order = json.loads(body)
        if self.fenced(order.get("fencing_token", 0)):
            return self.refuse("fence")
        if path == "/-/hold":
            return await self.hold(order)
        if path == "/-/run-start":
            return self.start(order)
        if path == "/-/run-stop":
            return self.stop(order)
        return 404, {}

    async def hold(self, order):
        self.extend(order.get("deadline_ms"))
        seen = order.get("seen_upto", 0)
        if seen:
            for end in self.ends:
                if end[0] <= seen:
                    self.world.noted(self, end)
            self.ends = [end for end in self.ends if end[0] > seen]
        wait = min(order.get("wait_ms", 0), 2000) / 1000
        if not self.ends and wait:
            try:
                await asyncio.wait_for(self.ended.wait(), wait)
            except asyncio.TimeoutError:
                pass
        running = [[run.task, run.run, "", self.percent(run), 0] for run in self.running.values()]
        return 200, {"clock_ms": self.clock(), "running": running, "ended_runs": self.ends[:500]}

    def percent(self, run):
        duration = self.world.duration(run)
        return min(99, int(100 * (time.monotonic() - run.started) / duration))

    def start(self, order):
        task, run = order["task"], order["run"]
        if order["deadline_ms"] <= self.clock():
            return self.refuse("late")
        self.extend(order["deadline_ms"])
        there = self.running.get(task)
        if there and there.run == run:
            return 200, {"clock_ms": self.clock()}
        if run <= self.closed_runs.get(task, 0) or there:
            return self.refuse("old")
        started = Run(task, run, order["spec"], time.monotonic())
        self.running[task] = started
        self.world.started(self, started)
        asyncio.get_running_loop().call_later(self.world.duration(started), self.finish, started)
        return 200, {"clock_ms": self.clock()}

    def finish(self, run):
        if self.alive and self.running.get(run.task) is run:
            self.end(run, "done")

    def stop(self, order):
        task, run = order["task"], order["run"]
        self.closed_runs[task] = max(self.closed_runs.get(task, 0), run)
        there = self.running.get(task)
        if there and there.run == run:
            asyncio.get_running_loop().call_later(STOP_GRACE / 2, self.end, there, "stopped")
        return 200, {"clock_ms": self.clock()}

    def close(self):
        self.alive = False
        for task in self.tasks:
            task.cancel()
        if self.server.server:
            self.server.server.close()


class Process:
    """A process of the system, with the command of the deploy file and its settings template."""

    def __init__(self, world, name, ip):
        self.world, self.name, self.ip = world, name, ip
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.child = None
        self.log = None

    def settings(self):
        template = open(os.path.join(ROOT, "deploy", "settings.yaml")).read()
        fields = {
            "node_name": self.name,
            "zone": "z1",
            "ip": self.ip,
            "listen.front": f"{self.ip}:8161",
            "listen.ready": f"{self.ip}:8167",
            "port_range.0": 7720,
            "limits.cpu_share": 0.25,
            "limits.link_mbps": 1000.0,
            "limits.memory_mb": 260,
            "limits.max_fds": 4100,
            "platform.address": self.world.store_address,
            "platform.row_bytes": 65536,
            "advice": "",
            "cloud.address": self.world.cloud_address,
        }
        fields.update({f"bounds.{name}": value for name, value in BOUNDS.items()})
        return re.sub(r"\{\{([^}]*)\}\}", lambda found: str(fields[found.group(1)]), template)

    def start(self):
        deploy = open(os.path.join(ROOT, "deploy", "system.toml")).read()
        command = re.search(r'^run = "(.*)"$', deploy, re.M).group(1).split()
        path = os.path.join(self.folder, "settings.yaml")
        with open(path, "w") as file:
            file.write(self.settings())
        self.log = open(os.path.join(self.folder, "log.txt"), "ab")
        environment = {"PATH": os.environ["PATH"], "HOME": self.folder, "CLOVERMOUNT_BOOT": path}
        self.child = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=self.log, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL
        )
        self.world.record.line(f"process {self.name} started")

    def signal(self, number):
        if self.child and self.child.poll() is None:
            self.child.send_signal(number)
            self.world.record.line(f"process {self.name} gets {signal.Signals(number).name}")

    def kill(self):
        if self.child and self.child.poll() is None:
            self.child.kill()
            self.child.wait()
            self.world.record.line(f"process {self.name} killed")

    def memory_mb(self):
        """Returns the memory in use, in megabytes; 0 if the process is not running."""
        if self.child is None or self.child.poll() is not None:
            return 0
        with open(f"/proc/{self.child.pid}/status") as file:
            found = re.search(r"^VmRSS:\s+(\d+) kB", file.read(), re.M)
        return int(found.group(1)) * 1024 // 1_000_000 if found else 0

    def lines(self, code):
        """Returns the log lines with this code."""
        with open(os.path.join(self.folder, "log.txt"), errors="replace") as file:
            return [line for line in file if f'"code":{code}' in line]

    def close(self):
        if self.child and self.child.poll() is None:
            self.child.kill()
            self.child.wait()
        if self.log:
            self.log.close()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def request(address, method, path, host, body=None, timeout=3.0):
    """Sends a client's request; returns status and body, or None if there is no complete answer."""

    async def exchange():
        ip, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            data = json.dumps(body).encode() if body is not None else b""
            head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n"
            head += f"Content-Type: application/json\r\nTimeout-Ms: {int(timeout * 1000)}\r\n"
            head += f"Content-Length: {len(data)}\r\n\r\n"
            writer.write(head.encode() + data)
            await writer.drain()
            raw = await reader.read(-1)
        finally:
            writer.close()
        head, _, rest = raw.partition(b"\r\n\r\n")
        if not head:
            return None
        status = int(head.split(b" ", 2)[1])
        try:
            return status, json.loads(rest) if rest else {}
        except ValueError:
            return status, {}

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError):
        return None


class World:
    """A small deployment: store, workers, list of machines and processes of the system."""

    def __init__(self, record):
        self.record = record
        self.store = Store()
        self.workers = []
        self.processes = []
        self.store_address = None
        self.cloud_address = None
        self.runs = []
        self.durations = {}
        self.net = None
        self.host = "127.0.0.1"

    def duration(self, run):
        return self.durations.get(run.task.split(".")[0], 1.0)

    def started(self, worker, run):
        self.record.line(f"worker {worker.name} starts {run.task}, run {run.run}")

    def ended(self, worker, run, how, number):
        self.record.line(f"worker {worker.name}: {run.task}, run {run.run}, ends {how} as number {number}")

    def noted(self, worker, end):
        self.record.line(f"worker {worker.name}: end {end[0]} of {end[1]} is taken note of")

    async def call(self, process, method, path, body=None, timeout=3.0):
        """Sends a client's request to a process, and records it with its answer."""
        self.record.line(f"{method} {path} sent to {process.name}: {json.dumps(body) if body else 'no body'}")
        answer = await request(f"{process.ip}:8161", method, path, "desk.example", body, timeout)
        self.record.line(f"{method} {path} answered by {process.name}: {answer or 'no answer'}")
        return answer

    async def open(self, processes, workers, config, **worker_options):
        # Processes listen on fixed ports, so each needs a loopback address of its own.
        self.net = free_net(processes)
        store = await Server(self.store.handle).open(self.host)
        self.store_address = f"{store[0]}:{store[1]}"
        cloud = await Server(self.machines).open(self.host)
        self.cloud_address = f"{cloud[0]}:{cloud[1]}"
        self.store.write("op", "config", config)
        for _ in range(workers):
            await self.add_worker(config["services"][0]["name"], **worker_options)
        for number in range(processes):
            process = Process(self, f"front-z1-{number + 1}", f"{self.net}.{number + 1}")
            self.processes.append(process)
            process.start()

    async def add_worker(self, service, **options):
        worker = Worker(self, f"i-{random.getrandbits(32):08x}", service, **options)
        await worker.open(self.host)
        self.workers.append(worker)
        return worker

    async def machines(self, method, path, query, headers, body):
        if path != "/-/machines":
            return 404, {}
        entries = []
        for number, worker in enumerate(self.workers):
            entries.append(
                {
                    "machine": f"m-{number:05x}",
                    "pool": worker.service,
                    "state": "up" if worker.alive else "down",
                    "zone": "z1",
                    "labels": worker.labels,
                    "capacity": {"cpu": worker.cpu, "mem_mb": worker.mem_mb, "gpu": 0},
                    "id": worker.name,
                }
            )
        return 200, {"machines": entries, "next_token": None}

    def crash(self, worker):
        """Ends a worker without notice; its registration lapses after three heartbeats."""
        worker.close()
        self.record.line(f"worker {worker.name} crashed")
        asyncio.get_running_loop().call_later(3 * HEARTBEAT, self.store.remove, "servers", worker.name)

    async def ready(self, process, within=10.0):
        end = time.monotonic() + within
        while time.monotonic() < end:
            answer = await request(f"{process.ip}:8167", "GET", "/-/readyz", "ready", timeout=1.0)
            if answer and answer[0] == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    def close(self):
        for process in self.processes:
            process.close()
        for worker in self.workers:
            worker.close()


def free_net(count):
    """Returns the first three numbers of a block of free loopback addresses."""
    for _ in range(200):
        net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        try:
            for number in range(1, count + 1):
                for port in (8161, 8167, 9464, 7720):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((f"{net}.{number}", port))
            return net
        except OSError:
            continue
    raise RuntimeError("no free loopback addresses")


def queue(name, prefix, service, priority=1, max_attempts=4, slo_ms=3000):
    return {
        "name": name,
        "host": "desk.example",
        "prefix": prefix,
        "kind": "non_idempotent",
        "timeout_ms": 3000,
        "slo_ms": slo_ms,
        "priority": priority,
        "service": service,
        "max_attempts": max_attempts,
        "stretch": 2.0,
    }


def configuration(queues, service="stores"):
    return {
        "version": 7,
        "routes": queues,
        "services": [
            {
                "name": service,
                "health_path": "/healthz",
                "max_conns": 64,
                "protocol": "h1",
                "tls": False,
                "rejects_overload": False,
                "spare": False,
            }
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }


def job_id():
    return f"{random.getrandbits(64):016x}"


def main(case, folder, world_type, trouble):
    """Runs `case(world, trouble)`, which returns the broken rules, and exits as run.sh has to."""
    record = Record(os.path.join(folder, "record.txt"))
    program = os.path.join(ROOT, "target", "release", "clovermountd")
    if not os.path.exists(program):
        record.line("target/release/clovermountd is missing: run the build of the deploy file")
        sys.exit(2)

    async def run():
        world = world_type(record)
        try:
            return await asyncio.wait_for(case(world, trouble), 115)
        finally:
            world.close()

    try:
        broken = asyncio.run(run())
    except Exception as error:  # the case could not run
        record.line(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    for text in broken:
        record.line(f"BROKEN {text}")
        print(f"BROKEN {text}")
    record.line("a rule was broken" if broken else "the rules held")
    record.close()
    sys.exit(1 if broken else 0)
