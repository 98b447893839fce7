"""A job of four million tasks: each process that owns the pool needs more memory than its machine has."""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-3"))
import standin

TASKS = 4_000_000
TASKS_WITHOUT_TROUBLE = 2_000
TASK_S = 1.0
LOOKUPS = 8
WATCHED_S = 50.0
FINISH_S = 14.0
# The sheet's memory of a machine.
MEMORY_MB = 260


class World(standin.World):
    def __init__(self, record):
        super().__init__(record)
        self.ends = {}

    async def watch_memory(self):
        """Kills a process over its memory and starts it again, as the platform does."""
        while True:
            for process in self.processes:
                used = process.memory_mb()
                if used > MEMORY_MB:
                    self.ends[process.name] = self.ends.get(process.name, 0) + 1
                    self.record.line(f"process {process.name} uses {used} MB, allowed: {MEMORY_MB}")
                    process.kill()
                    asyncio.get_running_loop().call_later(0.5, process.start)
            await asyncio.sleep(0.05)


async def submit(world, number, path, steps):
    name = standin.job_id()
    world.durations[name] = TASK_S
    for attempt in range(8):
        process = world.processes[(number + attempt) % len(world.processes)]
        answer = await standin.request(f"{process.ip}:8161", "POST", path + name, "desk.example", {"spec": "text", "steps": steps})
        if answer and answer[0] == 200:
            world.record.line(f"POST {path}{name}: {answer}")
            return name
        await asyncio.sleep(0.5)
    world.record.line(f"POST {path}{name}: {answer}; not accepted")
    return None


async def ask(world, number, path, name):
    for attempt in range(4):
        process = world.processes[(number + attempt) % len(world.processes)]
        answer = await standin.request(f"{process.ip}:8161", "GET", path + name, "desk.example")
        if answer and answer[0] == 200:
            return answer
        await asyncio.sleep(0.5)
    return answer


async def case(world, trouble):
    queues = [standin.queue("batch", "/batch/", "stores", 1), standin.queue("lookup", "/lookup/", "stores", 0, slo_ms=250)]
    await world.open(4, 48, standin.configuration(queues))
    for process in world.processes:
        if not await world.ready(process):
            raise RuntimeError("a process is not ready")
    await asyncio.sleep(3)
    watch = asyncio.create_task(world.watch_memory())
    count = TASKS if trouble else TASKS_WITHOUT_TROUBLE
    step = {"count": count, "cpu": 1000, "mem_mb": 256, "estimate_ms": int(TASK_S * 1000)}
    if await submit(world, 0, "/batch/", [step]) is None:
        raise RuntimeError("the job was not accepted")
    started = time.monotonic()
    lookups = []
    for number in range(LOOKUPS):
        small = {"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": int(TASK_S * 1000)}
        name = await submit(world, number, "/lookup/", [small])
        if name:
            lookups.append(name)
        await asyncio.sleep(0.5)
    await asyncio.sleep(max(FINISH_S, started + WATCHED_S - time.monotonic()))
    answers = await asyncio.gather(*(ask(world, number, "/lookup/", name) for number, name in enumerate(lookups)))
    for name, answer in zip(lookups, answers):
        world.record.line(f"GET /lookup/{name}: {answer}")
    watch.cancel()
    world.record.line(f"processes that ended over their memory: {world.ends}")
    broken = []
    unanswered = [answer for answer in answers if not answer or answer[0] != 200]
    if unanswered:
        broken.append(f"LOST: {len(unanswered)} of {len(answers)} accepted lookups got no answer over {FINISH_S} s after the last one")
    return broken


standin.main(case, os.path.dirname(os.path.abspath(__file__)), World)
