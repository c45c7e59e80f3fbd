"""Owners close connections that carry no task; from then on their connections carry releases alone."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
# What was sent, answered and run.
RECORD = HERE / "record.txt"
sys.path.insert(0, str(HERE.parent / "lib"))
import standin  # noqa: E402

# How long an owner keeps a connection that carries no task.
CLOSE_AFTER_S = 4.0
TASKS, ENDED_BY_OWNER = 12, 7
# Within 1 s of the host's release. The check allows the 8 s that hold where no release could be sent; 50 ms of slack.
LIMIT_S = 8.0 + 0.05


async def play(case):
    await case.start(["h-1", "h-2", "h-3"], standin.settings())
    connection = await case.owners.connect()
    requests = [connection.request(["serve", "batch", "print"][number % 3], 8000, cores="0.25", service=number)
                for number in range(TASKS)]
    await asyncio.sleep(1.0)
    if any(one.answered_at is None for one in requests):
        raise standin.CannotRun("not all tasks were placed")
    await asyncio.sleep(CLOSE_AFTER_S)
    if case.trouble:
        await connection.close()
    # The owner ends its tasks one after the other, each on a connection of its own, which it closes 4 s later.
    ends = {}

    async def end_one(request):
        own = await case.owners.connect()
        own.release(request)
        await asyncio.sleep(CLOSE_AFTER_S)
        await own.close()

    ending = []
    for number, request in enumerate(requests[:ENDED_BY_OWNER]):
        ending.append(asyncio.create_task(end_one(request)))
        await asyncio.sleep(1.0)
        if number == 1:
            # Meanwhile other tasks come to their end by themselves.
            for other in requests[ENDED_BY_OWNER:]:
                if not any(host.end_task(f"{other.wire_id:016x}") for host in case.hosts):
                    raise standin.CannotRun(f"no host runs {other.wire_id:016x}")
                ends[other.wire_id] = time.time()
        await asyncio.sleep(1.0)
    await asyncio.gather(*ending)
    left = max(ends.values()) + LIMIT_S + 1.0 - time.time()
    await asyncio.sleep(max(left, 0.0))
    broken = []
    for request in requests[ENDED_BY_OWNER:]:
        took = request.ended_at and request.ended_at - ends[request.wire_id]
        if took is None or took > LIMIT_S:
            shown = f"after {took:.2f} s" if took else f"never, in {time.time() - ends[request.wire_id]:.2f} s"
            broken.append(f"task {request.wire_id:016x} is over; released towards its owner: {shown}")
    return broken


standin.main(RECORD, play)
