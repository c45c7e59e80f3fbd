"""Hosts forget connections that were idle for the time in the settings; tasks end after that."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
# What was sent, answered and run.
RECORD = HERE / "record.txt"
sys.path.insert(0, str(HERE.parent / "lib"))
import standin  # noqa: E402

IDLE_S = 30.0
TASKS = 8
# Within 1 s of the host's release, and, if no release could be sent, within 8 s of the task's end; 50 ms of slack.
LIMIT_S = 8.0 + 0.05


async def forget_idle(case):
    while True:
        for host in case.hosts:
            for link in list(host.links):
                if time.time() - link.used >= IDLE_S and not link.open_setups:
                    link.forget()
        await asyncio.sleep(0.05)


async def play(case):
    values = standin.settings(policyLimits={"idleCloseUs": int(IDLE_S * 1e6)})
    await case.start(["h-1", "h-2", "h-3"], values)
    connection = await case.owners.connect()
    if case.trouble:
        forgetting = asyncio.create_task(forget_idle(case))
    for number in range(TASKS):
        connection.request(["serve", "batch", "print"][number % 3], 8000, service=number)
        await asyncio.sleep(0.3)
    await asyncio.sleep(1.0)
    placed = [one for one in case.owners.requests.values() if one.answered_at]
    if len(placed) < TASKS:
        raise standin.CannotRun(f"only {len(placed)} of {TASKS} tasks were placed")
    # A quiet time: the tasks run, and nothing crosses the links on which they were set up.
    await asyncio.sleep(IDLE_S + 3.0)
    ends = {}
    for request in placed:
        if not any(host.end_task(f"{request.wire_id:016x}") for host in case.hosts):
            raise standin.CannotRun(f"no host runs {request.wire_id:016x}")
        ends[request.wire_id] = time.time()
        await asyncio.sleep(0.25)
    await asyncio.sleep(LIMIT_S + 4.0)
    if not connection.is_open:
        raise standin.CannotRun("the owner's connection did not stay open")
    if case.trouble:
        forgetting.cancel()
    broken = []
    for request in placed:
        took = request.ended_at and request.ended_at - ends[request.wire_id]
        if took is None or took > LIMIT_S:
            shown = f"after {took:.2f} s" if took else f"never, in {time.time() - ends[request.wire_id]:.2f} s"
            broken.append(f"task {request.wire_id:016x} is over; released towards its owner: {shown}")
    return broken


standin.main(RECORD, play)
