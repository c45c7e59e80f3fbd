"""Discovery is slow: each of its answers takes 1.6 s longer. A host drains; set-ups to it have to stop."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from standins import *

SLOW_S = 1.6
# What a discovery service would have told counts as told 7 s after its trouble began, or after the event if that is later;
# then the grace of the settings, and the 50 ms of the protocol page.
TOLD_S, GRACE_S, SLACK_S = 7.0, 0.5, 0.05


async def case(world):
    hosts = [Host(world.record, f"s-{n:08x}", 4.0) for n in range(4)]
    await world.start(hosts, settings([one_class("play", "free")]))
    owner = await world.owner("owner")
    number = 0x100

    async def traffic(seconds):
        nonlocal number
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            number += 1
            owner.set_up(number, "play", 4000, service=number % 7)
            await asyncio.sleep(0.1)

    await traffic(2)
    if TROUBLE:
        world.board.delay = SLOW_S
        world.record(f"board: each answer takes {SLOW_S} s more from now on")
    await traffic(2)
    drained = hosts[0]
    if not drained.setups:
        raise CannotRun("the host got nothing before it drained")
    drained.health = "leaving"
    told = world.board.tell([drained.entry()])
    await traffic(30)
    late = [at - told for at, _, _ in drained.setups if at > told + TOLD_S + GRACE_S + SLACK_S]
    world.record(f"board: {world.board.polls} polls, {len(world.board.answered)} answers")
    world.record(f"set-ups to {drained.name} after the event, in s: {[round(at - told, 2) for at, _, _ in drained.setups if at > told]}")
    if late:
        return f"{len(late)} set-ups went to {drained.name} later than {TOLD_S + GRACE_S + SLACK_S} s after it began to drain, the last {late[-1]:.1f} s after"
    return None


play(HERE, case)
