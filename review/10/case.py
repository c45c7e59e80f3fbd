"""One good answer of each host stops in the middle, and its connection stays open. What the host then sends there can't be
read. It sends the end of a task on the next connection opened as well: the placer has to open one."""
import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
# What was sent, answered and run.
RECORD = os.path.join(HERE, "record.txt")
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from standins import *

LIFE_S = 6.0
# The end of a task is owed within 1 s of its release, and within 8 s of the end where no release could be sent. The longer
# time is taken here, and the 50 ms.
TOLD_WITHIN_S = 8.0 + 0.05


class SpoilingHost(Host):
    """A host that spoils one answer, once `spoil` is set: the first one on a connection whose tasks are about to end."""

    spoil = False

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.placed_at = {}

    async def accept(self, writer, id):
        about_to_end = any(of is writer and LIFE_S - 0.4 < time.monotonic() - self.placed_at[task]
                           for task, of in self.standing.items())
        self.placed_at[id] = time.monotonic()
        if not (self.spoil and about_to_end):
            return await super().accept(writer, id)
        self.spoil = False
        await asyncio.sleep(0.01)
        del self.pending[id]
        self.standing[id] = writer
        self.record(f"{self.name}: the answer to {id} stops in the middle; its connection stays open")
        line = json.dumps({"type": "answer", "id": id, "fields": {}, "sdp": f"at {self.name}\r\n"}).encode()
        writer.write(line[:len(line) // 2])
        await asyncio.sleep(LIFE_S)
        self.end(id, 16)


async def case(world):
    hosts = [SpoilingHost(world.record, f"s-{n:08x}", LIFE_S) for n in range(3)]
    await world.start(hosts, settings([one_class("play", "free")]))
    owner = await world.owner("owner")
    number = 0x100
    # A service asks for many tasks at once, so that the placer opens several connections to each host.
    for _ in range(24):
        number += 1
        owner.set_up(number, "play", 8000, service=number % 7, cores="0.25", memory="0.5")

    async def traffic(seconds):
        nonlocal number
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            number += 1
            owner.set_up(number, "play", 8000, service=number % 7, cores="0.25", memory="0.5")
            await asyncio.sleep(0.06)

    await traffic(8)
    for host in hosts:
        host.spoil = TROUBLE
    await traffic(14)
    now = time.monotonic()
    lost = []
    for host in hosts:
        for at, id, cause in host.ended:
            messages = owner.messages(int(id, 16))
            if cause != 16 or not messages or messages[0][1] != ANSWER or now < at + TOLD_WITHIN_S:
                continue
            told = [one[0] for one in messages if one[1] == RELEASE]
            if not told or told[0] > at + TOLD_WITHIN_S:
                lost.append(f"{id} at {host.name}, ended {now - at:.1f} s ago")
    for host in hosts:
        world.record(f"{host.name}: {len(host.connections)} connections were opened, {len(host.ended)} tasks ended")
    return f"the ends of {len(lost)} tasks did not reach their owner within 8 s: {', '.join(lost)}" if lost else None


play(RECORD, case)
