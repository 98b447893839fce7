"""A job starts seconds after its cancel was answered with "no such job"."""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-3"))
import standin

# `platform_lost` as the site's list of troubles and `kinds` have it: for 4.5 s, answers of writes are lost, and these
# writes are done 1 to 6 s later.
WINDOW_S = 4.5
LATE_S = 5.95
LOST_SHARE = 0.35
SUBMIT_IN_WINDOW_S = 3.0
# Bounds of the sheet.
CANCEL_S = 3.0
CONTACT_S = 3.0
TASK_S = 1.0
OTHER_JOBS = 8


class World(standin.World):
    def __init__(self, record):
        super().__init__(record)
        self.starts = []
        self.job = None

    def started(self, worker, run):
        super().started(worker, run)
        if run.task.startswith(self.job or "-"):
            self.starts.append(time.monotonic())


async def call(world, number, method, name, body=None):
    process = world.processes[number % len(world.processes)]
    return await world.call(process, method, "/desk/" + name, body)


async def case(world, trouble):
    await world.open(4, 12, standin.configuration([standin.queue("desk", "/desk/", "stores", 1)]))
    for process in world.processes:
        if not await world.ready(process):
            raise RuntimeError("a process is not ready")
    await asyncio.sleep(4)
    body = {"spec": "restock", "steps": [{"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 1000}]}
    world.job = standin.job_id()
    window = time.monotonic()
    writes = {"all": 0, "lost": 0}

    def lose(transaction):
        if not trouble or time.monotonic() > window + WINDOW_S:
            return None
        writes["all"] += 1
        if not any(put["key"].startswith(world.job) for put in transaction.get("puts", [])):
            return None
        writes["lost"] += 1
        world.record.line(f"store: the answer to a write of {world.job} is lost; it is done in {LATE_S} s")
        return LATE_S

    world.store.lose = lose
    # Other callers' jobs, whose writes are answered.
    for number in range(OTHER_JOBS):
        await call(world, number, "POST", standin.job_id(), body)
    await asyncio.sleep(max(0.0, window + SUBMIT_IN_WINDOW_S - time.monotonic()))
    answer = await call(world, 1, "POST", world.job, body)
    if answer and answer[0] == 503:
        raise RuntimeError("the job was refused")
    canceled = await call(world, 2, "DELETE", world.job)
    if not canceled or canceled[0] not in (200, 410):
        raise RuntimeError("the cancel was not answered")
    acknowledged = time.monotonic()
    await asyncio.sleep(10)
    world.record.line(f"of {writes['all']} writes in the window, {writes['lost']} got no answer")
    if writes["lost"] > max(1, LOST_SHARE * writes["all"]):
        raise RuntimeError("more writes were lost than the dose allows")
    await call(world, 3, "GET", world.job)
    late = [at for at in world.starts if at > acknowledged + CANCEL_S and at > window + WINDOW_S + CONTACT_S]
    if late:
        return [f"UNASKED: {len(late)} tasks start {late[0] - acknowledged:.1f} s after the cancel was answered {canceled[0]}"]
    return []


# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
standin.main(case, os.path.dirname(os.path.abspath(__file__)), World, TROUBLE)
