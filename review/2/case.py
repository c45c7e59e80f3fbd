"""Bad clients hand over tasks under ids that no host knows, some hundreds at once; the platform enforces the memory limit."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
# What was sent, answered and run.
RECORD = HERE / "record.txt"
sys.path.insert(0, str(HERE.parent / "lib"))
import standin  # noqa: E402

MEMORY_MB = 64
BAD_CLIENTS, REQUESTS_EACH = 12, 400
# The description of each: with it, a message is just under the 16 KiB that a message may hold.
DESCRIPTION = b"v=0\r\n" + b"a" * 15_900


def memory_mb(pid):
    """What the process has allocated itself, without its program file, in MB."""
    with open(f"/proc/{pid}/status", encoding="ascii") as lines:
        return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("RssAnon"))


async def bad_client(case, number):
    """Sends its requests at full speed, reads for 3 s what it is owed, and closes."""
    ip, port = case.placer.listen.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    host = case.hosts[number % len(case.hosts)].name
    case.record.line(f"bad {number}", f"{REQUESTS_EACH} set-ups with at:{host}, ids that no host knows")
    got = 0
    try:
        for index in range(REQUESTS_EACH):
            wire_id = 0xBAD0000000000000 + number * 100_000 + index
            writer.write(standin.encode(standin.SETUP, wire_id, [
                (standin.P_CLASS, "serve"), (standin.P_LEFT, "8000"), (standin.P_TENANT, "red"),
                (standin.P_TASK, f"{wire_id:016x}"),
                (standin.P_EXTRAS, f"cores:0.01;memory:0.01;service:{wire_id:016x};at:{host}"),
                (standin.P_DESCRIPTION, DESCRIPTION),
            ]))
            await writer.drain()
        until = time.time() + 3.0
        while (left := until - time.time()) > 0:
            part = await asyncio.wait_for(reader.read(4096), left)
            if not part:
                break
            got += len(part)
    except (OSError, asyncio.TimeoutError):
        pass
    case.record.line(f"bad {number}", f"got {got} bytes; closes")
    writer.close()


async def play(case):
    await case.start(["h-1", "h-2", "h-3"], standin.settings(), sockets=256, memory_mb=MEMORY_MB)
    pid, over = case.placer.process.pid, []

    async def enforce_limit():
        """Over `memory_mb` the placer is killed."""
        while True:
            used = memory_mb(pid)
            case.record.line("platform", f"the placer holds {used:.1f} MB of {MEMORY_MB}")
            if used > MEMORY_MB:
                case.placer.process.kill()
                over.append(f"the placer held {used:.1f} MB of {MEMORY_MB} and was killed: it has crashed, "
                            f"with {sum(1 for one in case.owners.requests.values() if not one.ended_at)} "
                            "tasks and requests of usual owners")
                case.record.line("platform", "killed it")
                return
            await asyncio.sleep(0.25)

    async def usual_owner(seconds):
        connection, until, number = await case.owners.connect(), time.time() + seconds, 0
        while time.time() < until and not over:
            number += 1
            request = connection.request("serve", 8000, service=number % 12)
            asyncio.get_running_loop().call_later(
                3.0, lambda one=request: [host.end_task(f"{one.wire_id:016x}") for host in case.hosts])
            await asyncio.sleep(0.2)

    limit, owner = asyncio.create_task(enforce_limit()), asyncio.create_task(usual_owner(25.0))
    await asyncio.sleep(2.0)
    bad = []
    for number in range(BAD_CLIENTS if case.trouble else 0):
        bad.append(asyncio.create_task(bad_client(case, number)))
        await asyncio.sleep(1.0)
        if over:
            break
    await asyncio.gather(*bad, owner)
    limit.cancel()
    return over


standin.main(RECORD, play)
