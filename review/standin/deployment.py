"""A small deployment on loopback addresses: the stand-ins, the project's processes and callers."""

import asyncio
import json
import os
import pathlib
import random
import re
import socket
import sys
import tempfile
import time
import tomllib

from http11 import call
from http11 import serve
from platform_standin import Machines
from platform_standin import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
STANDIN = pathlib.Path(__file__).resolve().parent

FRONT_PORT, READY_PORT, PEER_PORT, METRICS_PORT = 8161, 8167, 7720, 9464
STORE_PORT, MACHINES_PORT, WORKER_PORT, PLATFORM_PORT = 8169, 8170, 8264, 8171

SERVICE = "settle-core"
HOST = "desk.example"

# Bounds of the site `kanuri-settle`.
BOUNDS = {"hold_max_ms": 10000, "status_s": 120, "grace_s": 6, "config_apply_ms": 2000,
          "max_stretch_ms": 5000, "stop_grace_ms": 200}
HEARTBEAT_MS = 1500
CAPACITY = {"cpu": 32000, "mem_mb": 131072, "gpu": 0}


def free_subnet():
    """Returns the first three numbers of loopback addresses whose ports are free."""
    for _ in range(100):
        net = f"127.{random.randint(20, 120)}.{random.randint(1, 250)}"
        try:
            for port in (FRONT_PORT, READY_PORT, PEER_PORT, METRICS_PORT, STORE_PORT, WORKER_PORT):
                with socket.socket() as probe:
                    probe.bind((f"{net}.11", port))
            return net
        except OSError:
            continue
    raise OSError("no free loopback addresses")


def render(template, fields):
    """Fills in the placeholders of a settings template that name a single value."""

    def value(match):
        found = fields
        for name in match.group(1).split("."):
            found = found[int(name)] if isinstance(found, list) else found.get(name, "")
        return str(found)

    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", value, template)


class Deployment:
    """The processes and stand-ins of one deployment."""

    def __init__(self, nodes=3, workers=8):
        self.net = free_subnet()
        self.folder = tempfile.TemporaryDirectory(prefix="clovermount-review-")
        self.store = Store()
        self.machines = Machines()
        self.node_count = nodes
        self.worker_count = workers
        self.nodes = {}
        self.workers = {}
        self.seen = {}
        self.lives = 0
        self.servers = []
        self.record = []
        self.started = time.monotonic()

    def note(self, kind, **fields):
        """Adds a line to the record."""
        at = round(time.monotonic() - self.started, 3)
        self.record.append((at, kind, fields))

    async def open(self, routes):
        """Starts the stand-ins, then all processes, and waits until callers are served."""
        services = [{"name": SERVICE, "rejects_overload": False}]
        config = {"version": 1, "routes": routes, "services": services, "limits": {}}
        self.store.platform_put("op", "config", json.dumps(config).encode())
        for address, handler in [((f"{self.net}.1", STORE_PORT), self.store.handle),
                                 ((f"{self.net}.1", MACHINES_PORT), self.machines.handle),
                                 ((f"{self.net}.1", PLATFORM_PORT), self.handle_platform)]:
            self.servers.append(await serve(address, handler))
        self.servers.append(asyncio.create_task(self.expire_entries()))
        for index in range(self.worker_count):
            await self.start_worker(f"m{index + 1}")
        for index in range(self.node_count):
            await self.start_node(f"front-{index + 1}")
        await self.until(self.all_ready, 15)

    async def all_ready(self):
        """Whether all nodes report that they are ready."""
        for name in self.nodes:
            status, _ = await call((self.node_ip(name), READY_PORT), "GET", "/-/readyz")
            if status != 200:
                return False
        return True

    async def until(self, condition, seconds):
        """Waits for a condition; raises TimeoutError if it does not hold in time."""
        end = time.monotonic() + seconds
        while not await condition():
            if time.monotonic() > end:
                raise TimeoutError(condition.__name__)
            await asyncio.sleep(0.2)

    def node_ip(self, name):
        """Address of a node."""
        return f"{self.net}.{10 + int(name.rsplit('-', 1)[1])}"

    async def start_node(self, name):
        """Starts a process of the system with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        role = next(iter(deploy["roles"].values()))
        ip = self.node_ip(name)
        fields = {"node_name": name, "zone": "z1", "ip": ip,
                  "listen": {"front": f"{ip}:{FRONT_PORT}", "ready": f"{ip}:{READY_PORT}"},
                  "port_range": [PEER_PORT, PEER_PORT + 15],
                  "limits": {"cpu_share": 0.25, "link_mbps": 1000.0},
                  "platform": {"address": f"{self.net}.1:{STORE_PORT}"}, "advice": "",
                  "cloud": {"address": f"{self.net}.1:{MACHINES_PORT}"}, "bounds": BOUNDS}
        template = (ROOT / role["template"]).read_text(encoding="utf-8")
        settings = pathlib.Path(self.folder.name) / f"{name}.yaml"
        settings.write_text(render(template, fields), encoding="utf-8")
        log = open(pathlib.Path(self.folder.name) / f"{name}.log", "ab")
        env = {"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"),
               "CLOVERMOUNT_BOOT": str(settings)}
        command = role["run"].split()
        process = await asyncio.create_subprocess_exec(
            str(ROOT / command[0]), *command[1:], cwd=ROOT, env=env, stdout=log, stderr=log)
        self.nodes[name] = process
        self.note("node started", node=name)

    async def start_worker(self, machine):
        """Starts a worker process on a machine: a new life with a new id."""
        self.lives += 1
        number = int(machine[1:])
        worker = f"w{self.lives:02d}-{random.getrandbits(64):016x}"
        labels = ["a" if number % 2 else "b", f"r1-{(number - 1) // 4 + 1}"]
        config = {"id": worker, "ip": f"{self.net}.{100 + number}", "port": WORKER_PORT,
                  "service": SERVICE, "capacity": CAPACITY, "labels": labels,
                  "platform": [f"{self.net}.1", PLATFORM_PORT], "heartbeat_ms": HEARTBEAT_MS,
                  "hold_max_ms": BOUNDS["hold_max_ms"], "stop_grace_ms": BOUNDS["stop_grace_ms"],
                  "health_path": "/healthz", "log": f"{self.folder.name}/{worker}.events"}
        process = await asyncio.create_subprocess_exec(
            sys.executable, str(STANDIN / "worker_standin.py"), json.dumps(config))
        self.workers[machine] = (worker, process)
        self.machines.set(machine, "up", worker, labels, CAPACITY)
        self.note("worker started", machine=machine, worker=worker)

    async def crash_worker(self, machine):
        """Kills the worker process of a machine; the machine is down from then on."""
        worker, process = self.workers.pop(machine)
        process.kill()
        await process.wait()
        entry = self.machines.entries[machine]
        self.machines.set(machine, "down", None, entry["labels"], CAPACITY)
        self.note("worker crashed", machine=machine, worker=worker)

    async def handle_platform(self, request):
        """Takes the entries that workers write about themselves."""
        worker = request.path.rsplit("/", 1)[1]
        self.seen[worker] = time.monotonic()
        self.store.platform_put("servers", worker, request.body)
        return 200, {}

    async def expire_entries(self):
        """Removes the entries of workers after three heartbeat intervals of silence."""
        while True:
            await asyncio.sleep(0.1)
            limit = time.monotonic() - 3 * HEARTBEAT_MS / 1000
            for worker in [worker for worker, at in self.seen.items() if at < limit]:
                del self.seen[worker]
                self.store.platform_put("servers", worker, None)

    def events(self):
        """All events that workers have logged so far, in the order of time."""
        events = []
        for path in pathlib.Path(self.folder.name).glob("*.events"):
            events += [json.loads(line) for line in path.read_text(encoding="utf-8").splitlines()]
        return sorted(events, key=lambda event: event["at"])

    def all_running(self):
        """Machines with a live worker on which each task runs now, by task."""
        by_worker = {worker: machine for machine, (worker, _) in self.workers.items()}
        found = {}
        for event in self.events():
            machine = by_worker.get(event["worker"])
            if machine is None or "task" not in event:
                continue
            machines = found.setdefault(event["task"], set())
            if event["event"] == "start":
                machines.add(machine)
            else:
                machines.discard(machine)
        return {task: sorted(machines) for task, machines in found.items()}

    def free_cpu(self, task_cpu):
        """Free processors of each live worker, in thousandths, if each of its tasks needs `task_cpu`."""
        live = {worker: machine for machine, (worker, _) in self.workers.items()}
        tasks = {machine: set() for machine in live.values()}
        for event in self.events():
            machine = live.get(event["worker"])
            if machine and event["event"] == "start":
                tasks[machine].add(event["task"])
            elif machine and event["event"] == "end":
                tasks[machine].discard(event["task"])
        return {machine: CAPACITY["cpu"] - task_cpu * len(found) for machine, found in tasks.items()}

    async def request(self, method, path, body=None, timeout=3.0):
        """Sends a caller's request to a node; after no answer, to the next one. Returns the answer."""
        names = random.sample(sorted(self.nodes), len(self.nodes))
        status, answer = None, None
        for name in names:
            headers = {"Host": HOST, "Timeout-Ms": str(int(timeout * 1000))}
            address = (self.node_ip(name), FRONT_PORT)
            status, answer = await call(address, method, path, body, headers, timeout)
            if status is not None and status not in (502, 503, 504):
                break
        self.note("request", method=method, path=path, status=status, answer=answer)
        return status, answer

    async def close(self):
        """Ends all processes and stand-ins."""
        for process in list(self.nodes.values()) + [process for _, process in self.workers.values()]:
            if process.returncode is None:
                process.kill()
            await process.wait()
        for server in self.servers:
            (server.close if hasattr(server, "close") else server.cancel)()

    def write_record(self, path, extra=()):
        """Writes what was sent, answered and run to a file, in the order of time."""
        lines = list(self.record)
        for event in self.events():
            at = round(event.pop("at") - self.started, 3)
            lines.append((at, f"worker {event.pop('event')}", event))
        lines.sort(key=lambda line: line[0])
        with open(path, "w", encoding="utf-8") as file:
            for at, kind, fields in lines:
                text = " ".join(f"{name}={json.dumps(value)}" for name, value in fields.items())
                file.write(f"{at:9.3f} {kind} {text}\n")
            for line in extra:
                file.write(f"{line}\n")
