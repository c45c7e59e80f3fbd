"""Stand-ins for a placer's platform, after the users' protocol page: owners, hosts, discovery, and a proxy.

Only the standard library is used. Everything listens on loopback addresses and on free ports.
"""
import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

SETUP, PROGRESS, ANSWER, RELEASE, RELEASED, NOTE, MOVE, TEST, TEST_RESULT = 1, 6, 9, 12, 16, 44, 51, 52, 53


class CannotRun(Exception):
    """The case could not be played: exit code 2."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_port(address="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def settings(classes, **changes):
    """The settings object of a small deployment. `classes` are dictionaries with the keys of the wire page, and with
    `spread_over` and `most_together`, which belong to `specifics`."""
    count = len(classes)
    listed = [{key: value for key, value in one.items() if key not in ("spread_over", "most_together")} for one in classes]
    result = {
        "classes": listed,
        "clientHabits": {"marksRetry": True},
        "discovery": "push",
        "failureDomains": ["hall-a", "hall-b"],
        "family": "place",
        "goal": {"whole": 0.4, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.3},
        "kinds": ["node-32"],
        "layers": ["node"],
        "nInstances": 3,
        "overShareWorth": 0.05,
        "penalties": {"connection": 0.0, "crossZone": 0.0, "discovery": 0.004, "handshake": 0.0, "lateFail": 0.0,
                      "moves": 0.08, "origin": 0.0, "peer": 0.0, "probe": 0.003, "waste": 0.03},
        "policyLimits": {"cancelling": True, "connectTimeoutUs": 250000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 66666,
                         "idleCloseUs": 30000000, "maxAttempts": 4, "maxOpen": 1333333, "maxRetryAfterUs": 3000000,
                         "mayDuplicate": False, "mayTell": False, "perConn": 1048576, "probing": True,
                         "retryAfter": True},
        "position": 0,
        "report": {"how": "silent", "names": []},
        "rules": {"answerSlackUs": 8000, "coldFrom": 0.18, "fallMultiple": 2.5, "mustAskInUs": 10000000,
                  "overloadForUs": 2000000, "stopSendingWithinUs": 500000, "warmAfterUs": 18000000},
        "specifics": {"acceptsCores": 2.0, "bound": False, "classFade": [0.2] * count, "classPriority": [0] * count,
                      "counts": "used", "cpuOfKind": [32], "displaces": False, "easyUntil": [0.8] * count,
                      "evictCounts": 2.0, "listsFree": False, "makeSureUs": 3000000, "memBooking": 1.5,
                      "memOfKind": [64.0], "mostTogether": [one.get("most_together", 2) for one in classes],
                      "needsKind": [-1] * count, "saysPressure": False,
                      "spreadOver": [one.get("spread_over", "silent") for one in classes],
                      "startBonusS": [12.0] * count, "turnedDownPrice": 0.02, "unitCores": 1.0, "unitMemory": 2.0,
                      "useNotes": False, "yesAt": "accepted", "youngLimit": 27.0},
        "tenants": [],
        "tickUs": 2000, "tier": 0, "valueBy": "work", "weights": "silent", "zone": 0,
    }
    for path, value in changes.items():
        place = result
        *parents, last = path.split("__")
        for parent in parents:
            place = place[parent]
        place[last] = value
    return result


def one_class(name, effect, **more):
    return {"aimUs": 700000, "dedupWindowUs": 5000000, "effect": effect, "gain": 3.0, "group": "all",
            "hardLimitUs": 8000000, "lateShare": 0.1, "longLived": True, "name": name, **more}


# ---------------------------------------------------------------- hosts


class Host:
    """A host: accepts every task that it is sent while it is not draining, and reports its end.

    `life` is how long a task stands, in seconds."""

    def __init__(self, record, name, life, zone="hall-a", block=1):
        self.record, self.name, self.life, self.zone, self.block = record, name, life, zone, block
        self.health, self.born_ms = "active", 0
        self.server = None
        self.connections = []
        self.standing = {}     # id -> connection of its set-up
        self.pending = {}      # id -> connection
        self.setups = []       # (time, id, service)
        self.ended = []        # (time, id, cause)
        self.unsent = []       # releases since the last connection was opened, which go on the next one as well
        self.services = {}     # id -> what the owner's description says
        self.accepts = True
        self.address = None
        self.jobs = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.own_address = self.server.sockets[0].getsockname()
        self.address = self.own_address

    def entry(self):
        return {"host": self.name, "dial": f"{self.address[0]}:{self.address[1]}", "site": self.zone, "class": "node-32",
                "block": self.block, "health": self.health, "share": 1, "born_ms": self.born_ms, "room": [32.0, 64.0]}

    def stop_listening(self):
        """A host that wraps up its work: its connections stay, new ones are refused."""
        self.server.close()
        self.record(f"{self.name}: accepts no new connections; those that are open stay open")

    def job(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.jobs.add(task)
        task.add_done_callback(self.jobs.discard)

    def send(self, writer, message):
        if not writer.is_closing():
            writer.write(json.dumps(message).encode() + b"\n")

    async def serve(self, reader, writer):
        self.connections.append(writer)
        self.record(f"{self.name}: connection {len(self.connections)} opened")
        unsent, self.unsent = self.unsent, []
        for release in unsent:
            self.record(f"{self.name}: sends on the new connection {json.dumps(release)}")
            self.send(writer, release)
        try:
            while line := await reader.readline():
                message = json.loads(line)
                self.handle(writer, message)
        except (ConnectionError, asyncio.CancelledError):
            pass
        # When a connection is closed, the set-ups open on it are given up.
        for id in [id for id, of in self.pending.items() if of is writer]:
            del self.pending[id]
        if writer in self.connections:
            self.connections[self.connections.index(writer)] = None
        writer.close()

    def handle(self, writer, message):
        id, kind = message["id"], message["type"]
        if kind == "setup":
            self.record(f"{self.name}: set-up {id} class {message['fields'].get('class')} {message.get('sdp')!r}")
            self.setups.append((time.monotonic(), id, message.get("sdp", "")))
            self.services[id] = message.get("sdp", "")
            if not self.accepts or self.health != "active":
                self.send(writer, {"type": "release", "id": id, "fields": {"note": "unfit"}, "cause": 34})
                return
            self.pending[id] = writer
            self.job(self.accept(writer, id))
        elif kind == "release":
            if id in self.pending:
                del self.pending[id]
                self.record(f"{self.name}: set-up {id} given up, cause {message.get('cause')}")
            elif id in self.standing:
                self.record(f"{self.name}: task {id} cut by the placer, cause {message.get('cause')}")
                self.end(id, 31)
            else:
                self.record(f"{self.name}: release of {id}, which does not stand here")
            self.send(writer, {"type": "released", "id": id, "fields": {}})
        elif kind == "ping":
            self.send(writer, {"type": "pong", "id": id, "fields": {}, "cause": 1})

    async def accept(self, writer, id):
        await asyncio.sleep(0.01)
        if self.pending.pop(id, None) is None:
            return
        self.standing[id] = writer
        self.record(f"{self.name}: answer {id}: the task stands")
        self.send(writer, {"type": "answer", "id": id, "fields": {}, "sdp": f"at {self.name}\r\n"})
        if self.life is not None:
            await asyncio.sleep(self.life)
            self.end(id, 16)

    def end(self, id, cause):
        """A task has come to its end. Its release goes on the connection of its set-up, otherwise on any open one, and also
        on the next connection opened."""
        writer = self.standing.pop(id, None)
        if writer is None:
            return
        self.ended.append((time.monotonic(), id, cause))
        release = {"type": "release", "id": id, "fields": {}, "cause": cause}
        is_open = [one for one in self.connections if one is not None and not one.is_closing()]
        if writer not in is_open:
            writer = is_open[0] if is_open else None
        self.record(f"{self.name}: task {id} ended, cause {cause}" + ("" if writer else "; no connection to say so"))
        self.unsent.append(release)
        if writer is not None:
            self.send(writer, release)

    def close(self):
        if self.server:
            self.server.close()
        for task in list(self.jobs):
            task.cancel()
        for writer in self.connections:
            if writer is not None:
                writer.close()


class Proxy:
    """Stands between the placer and one host. While it is cut, nothing passes: open connections stay open and silent, and
    new ones never come up. What was under way arrives once the cut is over, as it does over TCP."""

    def __init__(self, record, host):
        self.record, self.host = record, host
        self.passing = asyncio.Event()
        self.passing.set()
        self.fillers = []
        self.jobs = set()
        self.sockets = []

    async def start(self):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.listener.setblocking(False)
        self.address = self.listener.getsockname()
        self.host.address = self.address
        asyncio.get_running_loop().add_reader(self.listener, self.accept)

    def job(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.jobs.add(task)
        task.add_done_callback(self.jobs.discard)

    def accept(self):
        """Accepts a connection, and connects it to the host."""
        try:
            near, peer = self.listener.accept()
        except OSError:
            return
        if any(filler.getsockname() == peer for filler in self.fillers):
            near.close()
            return
        near.setblocking(False)
        near.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.job(self.connect(near))

    async def connect(self, near):
        far = socket.socket()
        far.setblocking(False)
        self.sockets += [near, far]
        try:
            await asyncio.get_running_loop().sock_connect(far, self.host.own_address)
        except OSError:
            near.close()
            return
        self.job(self.copy(near, far))
        self.job(self.copy(far, near))

    async def copy(self, source, target):
        loop = asyncio.get_running_loop()
        try:
            while True:
                await self.passing.wait()
                data = await loop.sock_recv(source, 65536)
                await self.passing.wait()
                if not data:
                    target.shutdown(socket.SHUT_WR)
                    return
                await loop.sock_sendall(target, data)
        except OSError:
            for one in (source, target):
                try:
                    one.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    async def cut(self):
        """Cuts the host off. The queue of the listener is filled, so that the system drops what asks for a connection."""
        self.passing.clear()
        asyncio.get_running_loop().remove_reader(self.listener)
        self.listener.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            try:
                filler.connect(self.address)
            except BlockingIOError:
                pass
            self.fillers.append(filler)
        await asyncio.sleep(0.05)
        probe = socket.socket()
        probe.setblocking(False)
        try:
            await asyncio.wait_for(asyncio.get_running_loop().sock_connect(probe, self.address), 0.2)
            raise CannotRun("a connection came up at a host that is cut off")
        except TimeoutError:
            pass
        finally:
            probe.close()
        self.record(f"proxy: {self.host.name} is cut off")

    def heal(self):
        self.listener.listen(64)
        self.passing.set()
        asyncio.get_running_loop().add_reader(self.listener, self.accept)
        self.record(f"proxy: {self.host.name} is reachable again")

    def close(self):
        asyncio.get_running_loop().remove_reader(self.listener)
        for task in list(self.jobs):
            task.cancel()
        for one in [self.listener, *self.fillers, *self.sockets]:
            one.close()


# ---------------------------------------------------------------- discovery


class Board:
    """The notice board. `delay` is how long it takes over each answer, in seconds."""

    def __init__(self, record):
        self.record = record
        self.notices = []
        self.delay = 0.0
        self.changed = asyncio.Event()
        self.writers = []
        self.answered = []    # (time, rev, bytes)
        self.polls = 0

    @property
    def rev(self):
        return len(self.notices)

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.address = self.server.sockets[0].getsockname()

    def tell(self, entries, whole=False, quiet=False):
        self.notices.append({"rev": self.rev + 1, "pool": {"seq": self.rev + 1, "whole": whole, "hosts": entries}})
        if not quiet:
            states = ", ".join(f"{one['host']} {one['health']}" for one in entries[:4])
            self.record(f"board: event {self.rev}: {states}{' ...' if len(entries) > 4 else ''}")
        self.changed.set()
        self.changed = asyncio.Event()
        return time.monotonic()

    def known(self):
        return {"rev": self.rev, "notices": list(self.notices)}

    async def serve(self, reader, writer):
        self.writers.append(writer)
        try:
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                query = line.split()[1].decode().split("?", 1)[1]
                fields = dict(part.split("=") for part in query.split("&"))
                watch, linger = int(fields["watch"]), int(fields["linger"])
                self.polls += 1
                await self.answer(writer, watch, linger)
        except (ConnectionError, asyncio.CancelledError, asyncio.IncompleteReadError):
            pass
        writer.close()

    async def answer(self, writer, watch, linger):
        until = time.monotonic() + min(linger, 5000) / 1000
        while self.rev <= watch and time.monotonic() < until:
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), max(0, until - time.monotonic()))
            except TimeoutError:
                pass
        if self.delay:
            await asyncio.sleep(self.delay)
        later = [notice for notice in self.notices if notice["rev"] > watch]
        body = json.dumps({"rev": self.rev, "notices": later}, separators=(",", ":")).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        writer.write(head + body)
        await writer.drain()
        self.answered.append((time.monotonic(), self.rev, len(body)))

    def close_connections(self):
        for writer in self.writers:
            writer.close()
        self.writers = []

    def close(self):
        self.server.close()
        self.close_connections()


# ---------------------------------------------------------------- owners


def parameter(code, value):
    value = value if isinstance(value, bytes) else value.encode()
    return struct.pack(">BH", code, len(value)) + value


def frame(kind, id, *parameters):
    body = struct.pack(">BQ", kind, id) + b"".join(parameters)
    return struct.pack(">H", len(body)) + body


class Owner:
    """A connection of an owner to the placer."""

    def __init__(self, record, name):
        self.record, self.name = record, name
        self.received = []       # (time, kind, id, cause, description)
        self.arrived = asyncio.Event()
        self.closed_at = None
        self.reading = None

    async def connect(self, placer):
        self.reader, self.writer = await asyncio.open_connection(placer.host, placer.port)
        self.reading = asyncio.get_running_loop().create_task(self.read())
        return self

    async def read(self):
        try:
            while True:
                length, = struct.unpack(">H", await self.reader.readexactly(2))
                body = await self.reader.readexactly(length)
                kind, id = struct.unpack(">BQ", body[:9])
                cause, description, at = None, None, 9
                while at < len(body):
                    code, size = struct.unpack(">BH", body[at:at + 3])
                    value = body[at + 3:at + 3 + size]
                    at += 3 + size
                    if code == 194:
                        cause = value[0]
                    elif code == 195:
                        description = value.decode()
                self.received.append((time.monotonic(), kind, id, cause, description))
                names = {ANSWER: "answer", RELEASE: "release", MOVE: "move", TEST_RESULT: "test result"}
                cause_text = "" if cause is None else f", cause {cause}"
                self.record(f"{self.name}: got {names.get(kind, kind)} {id:016x}{cause_text}"
                            + (f" {description!r}" if description else ""))
                self.arrived.set()
                self.arrived = asyncio.Event()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            self.closed_at = time.monotonic()
            self.record(f"{self.name}: connection ended")
            self.arrived.set()

    def send(self, data):
        self.writer.write(data)

    def test(self, id=1):
        self.send(frame(TEST, id, parameter(194, b"\0")))

    def set_up(self, id, klass, left_ms, key=None, service=1, at=None, cores="1", memory="2", idem=None, quiet=False):
        key = id if key is None else key
        extras = f"cores:{cores};memory:{memory};service:{service:016x}" + (f";at:{at}" if at else "")
        parameters = [parameter(180, klass), parameter(181, str(left_ms)), parameter(184, f"{key:016x}"),
                      parameter(185, extras)]
        if idem:
            parameters.append(parameter(193, idem))
        parameters.append(parameter(195, f"task {id:016x} service {service:x}\r\n"))
        if not quiet:
            self.record(f"{self.name}: set-up {id:016x} class {klass} service {service:x}" + (f" at {at}" if at else ""))
        self.send(frame(SETUP, id, *parameters))

    def release(self, id, cause=16):
        self.record(f"{self.name}: release {id:016x}, cause {cause}")
        self.send(frame(RELEASE, id, parameter(194, bytes([cause]))))

    def messages(self, id, kind=None):
        return [one for one in self.received if one[2] == id and (kind is None or one[1] == kind)]

    async def until(self, condition, seconds):
        """Waits until the condition holds; returns whether it does."""
        end = time.monotonic() + seconds
        while not condition():
            left = end - time.monotonic()
            if left <= 0 or self.closed_at:
                return condition()
            arrived = self.arrived
            try:
                await asyncio.wait_for(arrived.wait(), min(left, 0.1))
            except TimeoutError:
                pass
        return True

    async def answer(self, id, seconds):
        """The first answer or release of this id; None if there is none in time."""
        await self.until(lambda: self.messages(id), seconds)
        return next(iter(self.messages(id)), None)

    def close(self):
        if self.reading:
            self.reading.cancel()
            self.reading = None
        self.writer.close()
        self.record(f"{self.name}: closes its connection")


# ---------------------------------------------------------------- the placer


class Placer:
    """The placer, started by the command `run` of the deploy file."""

    def __init__(self, record, folder, settings, board, name="n1", memory_mb=96, sockets=256):
        self.record, self.folder, self.settings, self.board = record, folder, settings, board
        # An address of its own, so that no connection of another process takes its port.
        pid = os.getpid()
        self.name, self.host = name, f"127.{64 + pid % 64}.{pid // 64 % 250 + 1}.{pid // 16000 % 250 + 1}"
        self.port = free_port(self.host)
        self.limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.process, self.starts = None, 0

    def write_config(self):
        self.starts += 1
        config = {"name": self.name, "listen": f"{self.host}:{self.port}", "seed": f"{0x8c1f30d27a5be964 + self.starts:016x}",
                  "limits": self.limits, "board": f"{self.board.address[0]}:{self.board.address[1]}",
                  "known": self.board.known(), "settings": self.settings}
        path = os.path.join(self.folder, "config.json")
        with open(path + ".new", "w", encoding="utf-8") as file:
            json.dump(config, file)
        os.replace(path + ".new", path)
        return path

    async def start(self):
        path = self.write_config()
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            run = tomllib.load(file)["run"]
        scratch = os.path.join(self.folder, f"tmp{self.starts}")
        os.makedirs(scratch)
        environment = {**os.environ, "PROXY_NAME": self.name, "PROXY_LISTEN": f"{self.host}:{self.port}",
                       "PROXY_CONFIG": path, "TMPDIR": scratch}
        log = open(os.path.join(self.folder, "placer.log"), "ab")
        self.process = await asyncio.create_subprocess_exec("/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log,
                                                            stderr=log)
        self.record(f"placer: started, process {self.process.pid}")
        end = time.monotonic() + 30
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise CannotRun(f"the placer ended at its start with {self.process.returncode}")
            try:
                front = await Owner(self.record, "front").connect(self)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            front.test()
            result = await front.answer(1, 5)
            front.close()
            if result and result[3] == 1:
                return
        raise CannotRun("the placer did not pass a test within 30 s")

    def running(self):
        return self.process is not None and self.process.returncode is None

    async def stop(self):
        if self.running():
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class World:
    """A placer, its board, its hosts and what else a case needs, in a temporary folder."""

    def __init__(self, record_path):
        self.folder = tempfile.mkdtemp(prefix="reedring-review-")
        self.record = Record(record_path)
        self.board = Board(self.record)
        self.hosts, self.proxies, self.owners = [], [], []

    async def start(self, hosts, settings, proxied=(), **limits):
        """Starts `hosts` (those with a name in `proxied` behind a proxy), the board and the placer."""
        self.hosts = hosts
        self.proxy = {}
        for host in hosts:
            await host.start()
            if host.name in proxied:
                proxy = Proxy(self.record, host)
                await proxy.start()
                self.proxies.append(proxy)
                self.proxy[host.name] = proxy
        await self.board.start()
        self.board.tell([host.entry() for host in hosts], whole=True)
        self.placer = Placer(self.record, self.folder, settings, self.board, **limits)
        await self.placer.start()

    async def owner(self, name):
        owner = await Owner(self.record, name).connect(self.placer)
        self.owners.append(owner)
        return owner

    async def close(self):
        if getattr(self, "placer", None):
            await self.placer.stop()
        for one in [*self.owners, *self.proxies, *self.hosts]:
            try:
                one.close()
            except Exception:
                pass
        if getattr(self.board, "server", None):
            self.board.close()
        log = os.path.join(self.folder, "placer.log")
        if os.path.exists(log):
            with open(log, encoding="utf-8", errors="replace") as file:
                for line in file.read().splitlines()[-200:]:
                    self.record(f"placer's log: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


def play(record_path, case):
    """Runs a case and writes it down in the file `record_path`. `case(world)` returns a sentence that says how the rule was
    broken, or None if it held."""

    async def run():
        world = World(record_path)
        try:
            broken = await asyncio.wait_for(case(world), 110)
            if not broken and not world.placer.running():
                broken = f"the placer ended with {world.placer.process.returncode}"
            code = 1 if broken else 0
            world.record(f"verdict: broken: {broken}" if broken else "verdict: the rule held")
            print(f"broken: {broken}" if broken else "held")
        except CannotRun as error:
            code = 2
            world.record(f"verdict: could not run: {error}")
            print(f"could not run: {error}")
        except (Exception, TimeoutError) as error:
            code = 2
            world.record(f"verdict: could not run: {error!r}")
            print(f"could not run: {error!r}")
        finally:
            await world.close()
        return code

    sys.exit(asyncio.run(run()))
