"""A placer is restarted, and its owner hands over the tasks that stand. Bad clients hand over tasks that no host knows, each
on a connection of its own. The owner's tasks have to go on."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
# What was sent, answered and run.
RECORD = os.path.join(HERE, "record.txt")
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from standins import *

MEMORY_MB = 32
HAND_OVERS = 5000
AT_ONCE = 50


async def case(world):
    hosts = [Host(world.record, f"s-{n:08x}", None) for n in range(4)]
    await world.start(hosts, settings([one_class("publish", "single_shot")]), memory_mb=MEMORY_MB)
    owner = await world.owner("owner")
    tasks = range(1, 7)
    for task in tasks:
        owner.set_up(task, "publish", 4000, service=task)
        answer = await owner.answer(task, 5)
        if not answer or answer[1] != ANSWER:
            raise CannotRun("a task was not placed before the disruption")
    holder = {task: host for task in tasks for host in hosts if f"{task:016x}" in host.standing}
    await world.placer.stop()
    world.record("placer: killed")
    await asyncio.sleep(0.5)
    await world.placer.start()
    owner = await world.owner("owner, after the restart")
    for task, host in holder.items():
        owner.set_up(task, "publish", 4000, service=task, at=host.name)
    await asyncio.sleep(2)
    sent = 0

    async def bad_client():
        nonlocal sent
        while sent < HAND_OVERS:
            sent += 1
            number = 0x100000 + sent
            try:
                _, writer = await asyncio.open_connection(world.placer.host, world.placer.port)
            except OSError:
                continue
            at = hosts[number % 4].name
            extras = f"cores:0.01;memory:0.01;service:{number:016x};at:{at}"
            writer.write(frame(SETUP, number, parameter(180, "publish"), parameter(181, "4000"),
                               parameter(184, f"{number:016x}"), parameter(185, extras), parameter(195, "x")))
            await writer.drain()
            writer.close()

    if TROUBLE:
        world.record(f"bad clients: {HAND_OVERS} hand-overs of ids that no host knows begin")
        await asyncio.gather(*(bad_client() for _ in range(AT_ONCE)))
        world.record(f"bad clients: {sent} hand-overs sent")
    await asyncio.sleep(10)
    cut = [task for task, host in holder.items() if f"{task:016x}" not in host.standing]
    told = [task for task in tasks if owner.messages(task, RELEASE)]
    if cut:
        return f"{len(cut)} of {len(tasks)} standing tasks were cut by the placer, {len(told)} of them released towards their owner"
    return f"the owner was told that {len(told)} tasks are over, which stand" if told else None


play(RECORD, case)
