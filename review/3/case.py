"""A zone is lost for 5 s and returns cold; the list of hosts tells of the new start 4.5 s after it."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import standin  # noqa: E402

LOST_S = 5.0
LIST_LATE_S = 4.5
# No release could be sent: within 8 s of the end; 50 ms of slack.
LIMIT_S = 8.0 + 0.05


async def play(case):
    await case.start(["h-1", "h-2", "h-3", "h-4"], standin.settings())
    connection = await case.owners.connect()

    async def load(seconds):
        """Usual traffic: about 8 tasks a second, most of which live for some seconds, and some for long."""
        until, number = time.time() + seconds, 0
        while time.time() < until:
            number += 1
            class_name = ["serve", "batch", "serve", "serve", "print"][number % 5]
            request = connection.request(class_name, 8000, cores="0.25", service=number % 12)
            if number % 4:
                asyncio.get_running_loop().call_later(
                    2.0, lambda one=request: [host.end_task(f"{one.wire_id:016x}") for host in case.hosts])
            await asyncio.sleep(0.12)

    await load(5.0)
    zone = [host for host in case.hosts if host.zone == "east"]
    cut_at, cut = time.time(), []
    if case.trouble:
        for host in zone:
            await host.vanish()
        cut = [task.wire_id for host in zone for task in host.lost]
    await load(LOST_S)
    if case.trouble:
        for host in zone:
            await host.return_cold()
    await load(LIST_LATE_S)
    if case.trouble:
        await case.board.publish([host.entry() for host in zone])
    await load(5.0)
    await asyncio.sleep(3.0)
    if not connection.is_open:
        raise standin.CannotRun("the owner's connection did not stay open")
    broken, judged = [], 0
    for wire_id in cut:
        request = case.owners.requests[int(wire_id, 16)]
        if request.answered_at is None or request.answered_at > cut_at:
            continue
        judged += 1
        took = request.ended_at and request.ended_at - cut_at
        if took is None or took > LIMIT_S:
            shown = f"after {took:.2f} s" if took else "never"
            broken.append(f"task {wire_id} was cut with its machine; released towards its owner: {shown}")
    case.record.line("case", f"{judged} tasks stood on the machines that vanished")
    if case.trouble and not judged:
        raise standin.CannotRun("no task stood on the machines that vanished")
    return broken


standin.main(HERE, play)
