"""Bad clients take hundreds of requests back at once, and some answers of hosts are spoilt. The owner's tasks are of a class
that must never be started twice."""
import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
# What was sent, answered and run.
RECORD = os.path.join(HERE, "record.txt")
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from standins import *

SECONDS = 60.0
SPOILT = 0.1
BAD_CLIENTS = 80
random.seed(6)


class UnsafeHost(Host):
    """A host that also notes what became of each set-up of an id: refused, given up, out, or accepted."""

    spoils = False
    spoilt = 0
    attempts = {}      # id -> list of [host, state], over all hosts

    def handle(self, writer, message):
        if message["type"] == "setup":
            earlier = self.attempts.setdefault(message["id"], [])
            if earlier:
                self.record(f"{self.name}: set-up {message['id']} comes again; before: {earlier}")
            earlier.append([self.name, "out"])
        super().handle(writer, message)

    async def accept(self, writer, id):
        attempt = self.attempts[id][-1]
        await asyncio.sleep(random.uniform(0.006, 0.029))
        if self.pending.get(id) is not writer:
            attempt[1] = "given up"
            return
        del self.pending[id]
        attempt[1] = "accepted"
        self.standing[id] = writer
        if self.spoils and random.random() < SPOILT:
            UnsafeHost.spoilt += 1
            self.record(f"{self.name}: {id} stands; its answer is noise, the connection stays open")
            writer.write(b"\x7f#! noise\n")
        else:
            self.send(writer, {"type": "answer", "id": id, "fields": {}, "sdp": f"at {self.name}\r\n"})
        await asyncio.sleep(random.uniform(1.0, 3.0))
        self.end(id, 16)


async def case(world):
    hosts = [UnsafeHost(world.record, f"s-{n:08x}", None) for n in range(4)]
    await world.start(hosts, settings([one_class("publish", "single_shot")]))
    owners = [await world.owner(f"owner {n}") for n in range(3)]
    floods = []
    if TROUBLE:
        for host in hosts:
            host.spoils = True
        world.record(f"bad clients: {BAD_CLIENTS} connections begin")
        for _ in range(2):
            floods.append(await asyncio.create_subprocess_exec(
                sys.executable, os.path.join(HERE, "..", "lib-2", "flood.py"), world.placer.host, str(world.placer.port),
                str(BAD_CLIENTS // 2), str(SECONDS)))
    ids = []
    end = time.monotonic() + SECONDS
    try:
        while time.monotonic() < end:
            # A service asks for several tasks at once; 40 a second in all.
            for _ in range(5):
                ids.append(len(ids) + 1)
                random.choice(owners).set_up(ids[-1], "publish", 8000, service=ids[-1] % 5, cores="0.5", memory="0.5")
            await asyncio.sleep(0.125)
    finally:
        for flood in floods:
            if flood.returncode is None:
                flood.kill()
            await flood.wait()
    await asyncio.sleep(5)
    twice = []
    for id in ids:
        states = [state for _, state in UnsafeHost.attempts.get(f"{id:016x}", [])]
        if len(states) > 1 and "accepted" in states[:-1]:
            twice.append((f"{id:016x}", UnsafeHost.attempts[f"{id:016x}"]))
    world.record(f"{len(ids)} tasks asked for, {UnsafeHost.spoilt} answers spoilt; sent again after they ran: {twice}")
    if twice:
        stood = sum(1 for _, attempts in twice if sum(state == "accepted" for _, state in attempts) > 1)
        return f"{len(twice)} of {len(ids)} unsafe tasks were sent again after they ran, {stood} of them stood twice"
    return None


play(RECORD, case)
