"""Stand-in of the platform: its store of rows, and its list of machines.

The store keeps the limits of the settings: `row_bytes` of a row's value, 100 entries and 1 MB of a
transaction. It carries out the transactions of a part one after the other, `tx_ms` each.
"""

import asyncio
import base64
import bisect
import time

MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
MAX_REPLY_ROWS = 500
MAX_REPLY_BYTES = 1_000_000


class Store:
    """The platform's store."""

    def __init__(self, row_bytes=65536, tx_ms=8.0, read_ms=4.0):
        self.row_bytes = row_bytes
        self.tx_s = tx_ms / 1000
        self.read_s = read_ms / 1000
        self.version = 0
        self.rows = {}
        self.history = []
        self.changed = asyncio.Event()
        self.part_locks = {}
        self.refused = []
        self.down = False

    def now_ms(self):
        """The store's steady clock."""
        return int(time.monotonic() * 1000)

    def put(self, changes):
        """Applies changes (name, value or None) at a new version."""
        self.version += 1
        for name, value in changes:
            if value is None:
                self.rows.pop(name, None)
            else:
                self.rows[name] = (value, self.version)
            self.history.append((self.version, name, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def platform_put(self, table, key, value):
        """Writes or removes a row as the operator or a worker does."""
        encoded = None if value is None else base64.b64encode(value).decode()
        self.put([((table, "", key), encoded)])

    def row_json(self, name, value, version):
        """Encodes a row."""
        table, part, key = name
        row = {"table": table, "part": part, "key": key, "ver": version}
        if value is None:
            row["tombstone"] = True
        else:
            row["value"] = value
        return row

    async def handle(self, request):
        """Serves a call; a store that is down answers 503 and does nothing."""
        if self.down:
            return 503, {"error": "the store is down"}
        if request.path == "/-/rows-tx":
            return await self.transact(request)
        await asyncio.sleep(self.read_s)
        if request.path == "/-/rows-get":
            return self.get(request.query)
        if request.path == "/-/rows-parts":
            parts = sorted({part for table, part, _ in self.rows if table == request.query["table"]})
            after = request.query.get("after", "")
            page = [part for part in parts if part > after or not after][:1000]
            return 200, {"parts": page, "has_more": False, "ver": self.version, "now_ms": self.now_ms()}
        if request.path == "/-/rows-feed":
            return await self.feed(request.query)
        return 404, {"error": "no such call"}

    async def transact(self, request):
        """Carries out a transaction whole, or not at all."""
        body = request.json()
        expect = body.get("precondition", [])
        puts = body.get("puts", [])
        removes = body.get("remove", [])
        name = lambda row: (row["table"], row.get("part", ""), row["key"])
        entries = expect + puts + removes
        parts = {row.get("part", "") for row in entries}
        written = {row["table"] for row in puts + removes}
        if written & {"op", "servers"}:
            return 403, {"error": "table is read-only"}
        sizes = [len(base64.b64decode(row["value"])) for row in puts]
        if (len(entries) > MAX_ENTRIES or len(request.body) > MAX_CALL_BYTES or len(parts) > 1
                or max(sizes, default=0) > self.row_bytes):
            self.refused.append((time.monotonic(), max(sizes, default=0), len(request.body)))
            return 400, {"error": "transaction exceeds a limit of the store"}
        lock = self.part_locks.setdefault(next(iter(parts), ""), asyncio.Lock())
        async with lock:
            await asyncio.sleep(self.tx_s)
            conflict = any(self.rows.get(name(row), (None, 0))[1] != row.get("ver", 0) for row in expect)
            if conflict:
                found = [self.row_json(name(row), *self.rows[name(row)])
                         for row in expect if name(row) in self.rows]
                return 412, {"rows": found, "ver": self.version, "now_ms": self.now_ms()}
            changes = [(name(row), row["value"]) for row in puts]
            changes += [(name(row), None) for row in removes]
            self.put(changes)
            return 200, {"ver": self.version, "now_ms": self.now_ms()}

    def get(self, query):
        """Reads the rows of a part, in the order of their keys."""
        table, part = query["table"], query.get("part", "")
        first, last = query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", MAX_REPLY_ROWS)), MAX_REPLY_ROWS)
        keys = sorted(key for t, p, key in self.rows if t == table and p == part)
        keys = keys[bisect.bisect_left(keys, first):]
        if last is not None:
            keys = keys[:bisect.bisect_left(keys, last)]
        rows, size = [], 0
        for key in keys[:limit]:
            value, version = self.rows[(table, part, key)]
            size += len(value)
            if rows and size > MAX_REPLY_BYTES:
                break
            rows.append(self.row_json((table, part, key), value, version))
        more = len(rows) < len(keys)
        return 200, {"rows": rows, "has_more": more, "ver": self.version, "now_ms": self.now_ms()}

    async def feed(self, query):
        """Returns the changes of a table after a version, and waits for one if there is none."""
        table, after = query["table"], int(query.get("after", 0))
        until = time.monotonic() + min(int(query.get("wait_ms", 0)), 30_000) / 1000
        while True:
            start = bisect.bisect_left(self.history, after + 1, key=lambda change: change[0])
            found = [change for change in self.history[start:] if change[1][0] == table]
            remaining = until - time.monotonic()
            if found or remaining <= 0:
                break
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass
        page = found[:MAX_REPLY_ROWS]
        version = page[-1][0] if len(page) < len(found) else self.version
        rows = [self.row_json(name, value, at) for at, name, value in page]
        return 200, {"rows": rows, "ver": version, "now_ms": self.now_ms()}


class Machines:
    """The list of machines, with the worker that runs on each."""

    def __init__(self):
        self.entries = {}

    def set(self, machine, state, worker, labels, capacity):
        """Sets the entry of a machine."""
        entry = {"machine": machine, "pool": "pool", "state": state, "zone": "z1",
                 "labels": labels, "capacity": capacity}
        if worker:
            entry["id"] = worker
        self.entries[machine] = entry

    async def handle(self, request):
        """Serves a call."""
        if request.path == "/-/machines":
            return 200, {"machines": list(self.entries.values()), "next_token": ""}
        return 404, {"error": "no such call"}
