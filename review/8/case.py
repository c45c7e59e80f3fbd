"""A bad client hands over tasks that no host knows. The ends of the owners' tasks have to reach the owners."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from standins import *

LIFE_S = 6.0
RELEASED_WITHIN_S, SLACK_S = 1.0, 0.05


async def case(world):
    hosts = [Host(world.record, f"s-{n:08x}", LIFE_S) for n in range(4)]
    await world.start(hosts, settings([one_class("play", "free")]))
    first, second = await world.owner("owner, connection 1"), await world.owner("owner, connection 2")
    tasks = range(1, 12)
    for task in tasks:
        connection = second if task == 11 else first
        connection.set_up(task, "play", 4000, service=task % 3)
        answer = await connection.answer(task, 5)
        if not answer or answer[1] != ANSWER:
            raise CannotRun("a task was not placed before the disruption")

    async def bad_client():
        client = await world.owner("bad client")
        number = 0x7000
        while client.closed_at is None:
            number += 1
            client.set_up(number, "play", 4000, at=hosts[number % 4].name)
            await asyncio.sleep(0.3)

    job = asyncio.create_task(bad_client()) if TROUBLE else None
    await asyncio.sleep(4.2)
    # Nothing is open on it; the tasks that stand belong to no connection.
    first.close()
    await asyncio.sleep(LIFE_S)
    if job:
        job.cancel()
    ended = {int(id, 16): at for host in hosts for at, id, _ in host.ended}
    lost = []
    for task in tasks:
        told = [one[0] for owner in (first, second) for one in owner.messages(task, RELEASE)]
        if task not in ended:
            raise CannotRun("a task did not end")
        if not told or told[0] > ended[task] + RELEASED_WITHIN_S + SLACK_S:
            lost.append(task)
    elsewhere = [owner.name for owner in world.owners[2:] for one in owner.received if one[1] == RELEASE and one[2] in tasks]
    world.record(f"ends that came to the bad client: {len(elsewhere)}")
    return f"the ends of {len(lost)} of {len(tasks)} tasks did not reach their owner, {len(elsewhere)} went to the bad client" if lost else None


play(HERE, case)
