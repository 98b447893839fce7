"""Stand-in of a worker process: leases, fencing tokens, runs and their ends.

Started as `worker_standin.py CONFIG`, a JSON text. A task's `spec` is a JSON text that says how long
the task works (`work_ms`, less a share of up to `spread` that differs between tasks); a task of a step
that lasts has none and runs until it is stopped. Starts and ends are written to the log file, with the
machine's steady clock.
"""

import asyncio
import json
import sys
import time
import zlib

from http11 import call
from http11 import serve

ENDS_PER_REPLY = 500


class Worker:
    """One life of a worker."""

    def __init__(self, config):
        self.config = config
        self.id = config["id"]
        self.started = time.monotonic()
        self.token = 0
        self.lease_until = 0.0
        self.running = {}
        self.ended = []
        self.end_count = 0
        self.closed = {}
        self.news = asyncio.Event()
        self.log = open(config["log"], "a", buffering=1, encoding="utf-8")

    def clock_ms(self):
        """The worker's steady clock."""
        return int((time.monotonic() - self.started) * 1000) + 1000

    def write(self, event, **fields):
        """Writes a line to the log."""
        line = {"at": round(time.monotonic(), 3), "worker": self.id, "event": event, **fields}
        self.log.write(json.dumps(line) + "\n")

    def extend(self, deadline_ms):
        """Extends the lease, never beyond the longest one, never to an earlier time."""
        if deadline_ms is not None:
            longest = self.clock_ms() + self.config["hold_max_ms"]
            self.lease_until = max(self.lease_until, min(deadline_ms, longest))

    def end(self, task, how):
        """Ends a run and lists its end."""
        run = self.running.pop(task, None)
        if run is None:
            return
        run["timer"].cancel()
        self.end_count += 1
        self.closed[task] = max(self.closed.get(task, 0), run["run"])
        self.ended.append([self.end_count, task, run["run"], how, ""])
        self.write("end", task=task, run=run["run"], how=how, number=self.end_count)
        self.news.set()
        self.news = asyncio.Event()

    async def handle(self, request):
        """Serves a command of the system."""
        target = request.headers.get("target-instance")
        if target and target != self.id:
            return 421, {"clock_ms": self.clock_ms()}
        if request.method == "GET" and request.path == self.config["health_path"]:
            return 200, {}
        body = request.json()
        token = body.get("fencing_token", 0)
        if token < self.token:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.token = token
        if request.path == "/-/run-start":
            return self.start(body)
        if request.path == "/-/run-stop":
            return self.stop(body)
        if request.path == "/-/hold":
            return await self.hold(body)
        return 400, {"clock_ms": self.clock_ms()}

    def start(self, body):
        """Starts a run."""
        task, run = body["task"], body["run"]
        current = self.running.get(task)
        if current and current["run"] == run:
            self.extend(body["deadline_ms"])
            return 200, {"clock_ms": self.clock_ms()}
        if body["deadline_ms"] <= self.clock_ms():
            return 409, {"clock_ms": self.clock_ms(), "reason": "late"}
        self.extend(body["deadline_ms"])
        if current or run <= self.closed.get(task, 0):
            return 409, {"clock_ms": self.clock_ms(), "reason": "old"}
        spec = json.loads(body["spec"])
        work_ms = spec.get("work_ms")
        if work_ms is not None:
            work_ms *= 1 - spec.get("spread", 0) * zlib.crc32(task.encode()) / (1 << 32)
        loop = asyncio.get_running_loop()
        delay = 1e6 if work_ms is None else work_ms / 1000
        timer = loop.call_later(delay, self.end, task, "done")
        self.running[task] = {"run": run, "timer": timer, "begin": time.monotonic(), "work_ms": work_ms}
        self.write("start", task=task, run=run)
        return 200, {"clock_ms": self.clock_ms()}

    def stop(self, body):
        """Stops a run, or refuses its later start."""
        task, run = body["task"], body["run"]
        self.closed[task] = max(self.closed.get(task, 0), run)
        current = self.running.get(task)
        if current and current["run"] == run:
            delay = self.config["stop_grace_ms"] / 2000
            asyncio.get_running_loop().call_later(delay, self.end_run, task, run, "stopped")
        return 200, {"clock_ms": self.clock_ms()}

    def end_run(self, task, run, how):
        """Ends a run if it is still the current one of its task."""
        current = self.running.get(task)
        if current and current["run"] == run:
            self.end(task, how)

    async def hold(self, body):
        """Extends the lease, forgets the ends that were taken note of, and lists runs and ends."""
        self.extend(body.get("deadline_ms"))
        seen = body.get("seen_upto", 0)
        if seen and any(end[0] <= seen for end in self.ended):
            self.write("noted", upto=seen)
        self.ended = [end for end in self.ended if end[0] > seen]
        wait = min(body.get("wait_ms", 0), 2000) / 1000
        if not self.ended and wait:
            try:
                await asyncio.wait_for(self.news.wait(), wait)
            except asyncio.TimeoutError:
                pass
        running = [[task, run["run"], "", self.percent(run), 0] for task, run in self.running.items()]
        return 200, {"clock_ms": self.clock_ms(), "running": running,
                     "ended_runs": self.ended[:ENDS_PER_REPLY]}

    def percent(self, run):
        """Progress of a run; a task that lasts is at work after a short start."""
        worked = (time.monotonic() - run["begin"]) * 1000
        return min(100, int(worked * 100 / (run["work_ms"] or 500)))

    async def enforce_lease(self):
        """Kills everything that runs when the lease has expired."""
        held = False
        while True:
            await asyncio.sleep(0.02)
            expired = self.clock_ms() >= self.lease_until
            if expired and held:
                self.write("lease expired")
            held = not expired
            if expired:
                for task in list(self.running):
                    self.end(task, "lapsed")

    async def register(self):
        """Writes the worker's entry into the platform's store."""
        config, seq = self.config, 0
        platform = tuple(config["platform"])
        while True:
            seq += 1
            entry = {"service": config["service"], "address": f"{config['ip']}:{config['port']}",
                     "zone": "z1", "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0,
                     "seq": seq, "capacity": config["capacity"], "labels": config["labels"]}
            await call(platform, "POST", f"/servers/{self.id}", entry)
            await asyncio.sleep(config["heartbeat_ms"] / 1000)

    async def run(self):
        """Serves until the process is killed."""
        await serve((self.config["ip"], self.config["port"]), self.handle)
        self.write("up")
        await asyncio.gather(self.register(), self.enforce_lease())


if __name__ == "__main__":
    asyncio.run(Worker(json.loads(sys.argv[1])).run())
