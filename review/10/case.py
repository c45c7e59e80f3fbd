"""Hosts forget idle connections without a word. An owner ends its tasks; the hosts have to hear of it."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from standins import *

IDLE_S = 8.0
# The longest time that the protocol page allows for the end of a task to be passed on, and the 50 ms.
HEARD_WITHIN_S = 8.0 + 0.05


def forget_idle_connections(world, host):
    """What comes on the connections from now on is not read, as the host has no record of them any more; new connections
    are served."""
    for writer in host.connections:
        if writer is not None:
            writer.transport.pause_reading()
    world.record(f"{host.name}: forgets its {sum(one is not None for one in host.connections)} idle connections")
    host.connections = [None] * len(host.connections)


async def case(world):
    hosts = [Host(world.record, f"s-{n:08x}", None) for n in range(4)]
    await world.start(hosts, settings([one_class("play", "free")]))
    owner = await world.owner("owner")
    tasks = range(1, 9)
    for task in tasks:
        owner.set_up(task, "play", 4000, service=task)
        answer = await owner.answer(task, 5)
        if not answer or answer[1] != ANSWER:
            raise CannotRun("a task was not placed before the disruption")
    await asyncio.sleep(IDLE_S)
    if TROUBLE:
        for host in hosts:
            forget_idle_connections(world, host)
    await asyncio.sleep(0.5)
    for task in tasks:
        owner.release(task)
    released = time.monotonic()
    await asyncio.sleep(20)
    cut = {int(id, 16): at for host in hosts for at, id, cause in host.ended}
    left = [task for task in tasks if cut.get(task, float("inf")) > released + HEARD_WITHIN_S]
    opened = sum(len(host.connections) for host in hosts)
    world.record(f"{opened} connections to hosts were opened in all")
    return f"{len(left)} of {len(tasks)} tasks that their owner ended still stand 20 s later" if left else None


play(HERE, case)
