"""Stand-ins for the users' platform, on loopback: owners, hosts and the notice board. They do what the users' protocol
page says, and start the placer with the command `run` of deploy/balancer.toml.

All times are seconds of the system's clock. Nothing here judges; each case has its own check.
"""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]

SETUP, ANSWER, RELEASE, TEST, TEST_RESULT = 1, 9, 12, 52, 53
P_CLASS, P_LEFT, P_TENANT, P_RETRY, P_TASK, P_EXTRAS, P_AWAY = 180, 181, 182, 183, 184, 185, 186
P_KEY, P_CAUSE, P_DESCRIPTION = 193, 194, 195


class CannotRun(Exception):
    """The case could not be played: exit status 2."""


class Record:
    """What was sent, answered and run, one line each, with seconds since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.time()

    def now(self):
        return time.time() - self.started

    def line(self, who, what):
        self.file.write(f"{self.now():9.3f} {who:<9} {what}\n")
        self.file.flush()


def free_port(ip="127.0.0.1"):
    with socket.socket() as one:
        one.bind((ip, 0))
        return one.getsockname()[1]


def settings(**changes):
    """Settings of a small deployment: 3 classes, 2 tenants, 2 zones, one kind of machine, one placer. The figures of
    classes, limits and rules are those of campus-ost; names are our own."""
    value = {
        "nInstances": 1,
        "position": 0,
        "zone": 0,
        "tier": 0,
        "failureDomains": ["east", "west"],
        "kinds": ["std"],
        "layers": ["hosts"],
        "tenants": [
            {"name": "red", "fraction": 0.5, "quotaPerS": 20.0},
            {"name": "blue", "fraction": 0.5, "quotaPerS": 20.0},
        ],
        "discovery": "ask",
        "family": "place",
        "report": {"how": "silent", "names": []},
        "classes": [
            {"name": "serve", "effect": "free", "group": "all", "aimUs": 700000, "hardLimitUs": 8000000,
             "dedupWindowUs": 5000000, "lateShare": 0.1, "longLived": True, "gain": 3.0},
            {"name": "batch", "effect": "guarded", "group": "zone", "aimUs": 600000, "hardLimitUs": 8000000,
             "dedupWindowUs": 5000000, "lateShare": 0.1, "longLived": True, "gain": 2.0},
            {"name": "print", "effect": "single_shot", "group": "all", "aimUs": 5500000, "hardLimitUs": 9500000,
             "dedupWindowUs": 5000000, "lateShare": 0.1, "longLived": True, "gain": 3.0},
        ],
        "specifics": {
            "acceptsCores": 2.0, "memBooking": 1.5, "yesAt": "accepted", "cpuOfKind": [32], "memOfKind": [96.0],
            "unitCores": 1.0, "unitMemory": 2.0, "listsFree": True, "counts": "used", "youngLimit": 27.0,
            "needsKind": [-1, -1, -1], "mostTogether": [2, 2, 2], "spreadOver": ["silent", "silent", "silent"],
            "easyUntil": [0.8, 0.8, 0.8], "bound": False, "displaces": False, "makeSureUs": 3000000,
        },
        "penalties": {"fleet": 0.0, "crossZone": 0.0},
        "policyLimits": {
            "maxAttempts": 4, "cancelling": True, "probing": True, "mayDuplicate": False, "mayTell": False,
            "connectTimeoutUs": 250000, "idleCloseUs": 30000000, "maxRetryAfterUs": 3000000, "retryAfter": True,
            "maxOpen": 20000, "perConn": 100,
        },
        "rules": {
            "answerSlackUs": 8000, "coldFrom": 0.18, "fallMultiple": 2.5, "mustAskInUs": 10000000,
            "overloadForUs": 2000000, "stopSendingWithinUs": 500000, "warmAfterUs": 18000000,
        },
        "tickUs": 2000, "weights": "silent", "valueBy": "work",
    }
    for key, part in changes.items():
        value[key] = {**value[key], **part} if isinstance(part, dict) else part
    return value


# ---- The notice board ----


class Board:
    """Numbered events over HTTP. `delay` is for how long it works on an answer that has become due."""

    def __init__(self, record):
        self.record, self.events, self.delay = record, [], 0.0
        self.changed = asyncio.Condition()
        self.server, self.address = None, None
        self.answered = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def publish(self, hosts, whole=False):
        async with self.changed:
            rev = len(self.events) + 1
            self.events.append({"rev": rev, "pool": {"seq": rev, "whole": whole, "hosts": hosts}})
            self.changed.notify_all()
        told = ", ".join(f"{host['host']} {host['health']}" for host in hosts)
        self.record.line("board", f"event {rev}: {told}")

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ")[1].decode()
                query = dict(part.split("=") for part in path.split("?")[1].split("&"))
                watch, linger = int(query["watch"]), min(int(query["linger"]), 5000) / 1000
                self.record.line("board", f"asked {path}")

                async def later():
                    async with self.changed:
                        await self.changed.wait_for(lambda: len(self.events) > watch)

                try:
                    await asyncio.wait_for(later(), linger)
                except asyncio.TimeoutError:
                    pass
                body = json.dumps({"rev": len(self.events), "notices": self.events[watch:]}).encode()
                await asyncio.sleep(self.delay)
                if writer.is_closing():
                    return
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % len(body) + body)
                await writer.drain()
                self.answered += 1
                self.record.line("board", f"answered {path} with {len(self.events[watch:])} events")
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


# ---- Hosts ----


class HostTask:
    def __init__(self, wire_id, key, class_name, link):
        self.wire_id, self.key, self.class_name, self.link = wire_id, key, class_name, link


class HostLink(asyncio.Protocol):
    """One connection of a placer to a host."""

    def __init__(self, host):
        self.host, self.buffer, self.forgotten = host, b"", False
        self.open_setups = set()

    def connection_made(self, transport):
        host = self.host
        self.transport, self.number, self.used = transport, host.link_count, time.time()
        host.link_count += 1
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        host.links.append(self)
        host.record.line(host.name, f"link {self.number} opened")
        host.link_opened(self)

    def data_received(self, data):
        if self.forgotten:
            # A machine that no longer knows a connection resets it when something arrives on it.
            return self.reset()
        self.used = time.time()
        self.buffer += data
        while b"\n" in self.buffer:
            line, self.buffer = self.buffer.split(b"\n", 1)
            self.host.message(self, json.loads(line))

    def eof_received(self):
        if self.forgotten:
            self.reset()
        return False

    def connection_lost(self, error):
        if self in self.host.links:
            self.host.links.remove(self)
        if not self.forgotten:
            self.host.record.line(self.host.name, f"link {self.number} ended by the placer")
            self.host.link_ended(self)

    def send(self, message):
        if self.transport.is_closing():
            return
        self.used = time.time()
        self.transport.write(json.dumps(message).encode() + b"\n")

    def forget(self):
        """The host's record of the connection is gone; nothing is sent, not even its end."""
        self.forgotten = True
        self.host.links.remove(self)
        self.host.record.line(self.host.name, f"link {self.number} forgotten, idle for {time.time() - self.used:.2f} s")

    def silence(self):
        """The other end hears nothing more, and nothing that it sends is read."""
        self.forgotten = True
        self.host.links.remove(self)
        self.host.old_links.append(self)
        self.open_setups.clear()
        self.transport.pause_reading()

    def wake(self):
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def reset(self):
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()


class Host:
    """A host: it accepts each set-up after some milliseconds, or refuses all of them while it drains."""

    def __init__(self, record, name, zone="east", block=1):
        self.record, self.name, self.zone, self.block = record, name, zone, block
        self.health, self.born_ms = "active", 0
        self.links, self.link_count = [], 0
        self.tasks, self.to_tell = {}, []
        self.setups = []
        self.answer_after, self.old_links, self.lost = 0.01, [], []
        # Called with each set-up that arrives whole.
        self.on_setup = lambda host, message: None

    async def start(self):
        self.port = None
        await self.listen()

    async def listen(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self.port or 0))
        self.port = listener.getsockname()[1]
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: HostLink(self), sock=listener, backlog=128)

    async def vanish(self):
        """The machine is gone, and all its tasks with it. It says nothing: open connections stay open and silent, and new
        ones never come up. (A listener whose queue is full accepts no connection and refuses none.)"""
        self.server.close()
        self.lost = [self.tasks[wire_id] for wire_id in sorted(self.tasks)]
        self.tasks, self.to_tell = {}, []
        for link in list(self.links):
            link.silence()
        self.silent = socket.socket()
        self.silent.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.silent.bind(("127.0.0.1", self.port))
        self.silent.listen(0)
        self.fillers = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.fillers.append(filler)
        self.record.line(self.name, f"vanished, with {len(self.lost)} tasks")

    async def return_cold(self):
        """The machine is back, with a new process that knows nothing. What arrives on an old connection is reset."""
        self.silent.close()
        for filler in self.fillers:
            filler.close()
        self.born_ms = int(time.time() * 1000)
        await self.listen()
        for link in self.old_links:
            link.wake()
        self.record.line(self.name, "is back, cold")

    def entry(self):
        return {"host": self.name, "dial": f"127.0.0.1:{self.port}", "site": self.zone, "class": "std",
                "block": self.block, "health": self.health, "share": 4, "born_ms": self.born_ms, "room": [32, 96]}

    def message(self, link, message):
        kind, wire_id = message["type"], message["id"]
        if kind == "setup":
            self.setups.append((time.time(), wire_id))
            link.open_setups.add(wire_id)
            self.record.line(self.name, f"set-up {wire_id} on link {link.number}, class {message['fields']['class']}")
            self.on_setup(self, message)
            asyncio.get_running_loop().call_later(self.answer_after, self.decide, link, message)
        elif kind == "ping":
            link.send({"type": "pong", "id": wire_id, "fields": {}, "cause": 1})
        elif kind == "release":
            self.record.line(self.name, f"release {wire_id} cause {message['cause']} from the placer")
            link.open_setups.discard(wire_id)
            if self.tasks.pop(wire_id, None) and message["cause"] != 16:
                link.send({"type": "release", "id": wire_id, "fields": {}, "cause": 31})

    def decide(self, link, message):
        wire_id = message["id"]
        if wire_id not in link.open_setups:
            return
        link.open_setups.discard(wire_id)
        if self.health != "active":
            link.send({"type": "release", "id": wire_id, "fields": {"note": "unfit"}, "cause": 34})
            return self.record.line(self.name, f"refused {wire_id}: it drains")
        fields = message["fields"]
        self.tasks[wire_id] = HostTask(wire_id, fields["key"], fields["class"], link)
        link.send({"type": "answer", "id": wire_id, "fields": {}, "sdp": f"here {wire_id} at {self.name}"})
        self.record.line(self.name, f"answered {wire_id}: the task runs")

    def end_task(self, wire_id):
        """A task has come to its end: its release goes out on the connection of its set-up, otherwise on any open one,
        and also on the next connection opened."""
        task = self.tasks.pop(wire_id, None)
        if task is None:
            return False
        link = task.link if task.link in self.links else next(iter(self.links), None)
        if link:
            link.send({"type": "release", "id": wire_id, "fields": {}, "cause": 16})
            self.record.line(self.name, f"task {wire_id} ended; release sent on link {link.number}")
        else:
            self.record.line(self.name, f"task {wire_id} ended; no connection is open")
        self.to_tell.append((time.time(), wire_id))
        return True

    # For how long a release is repeated on each connection that is opened. The page asks for the next one only.
    REPEAT_S = 12.0

    def link_opened(self, link):
        now = time.time()
        self.to_tell = [(at, wire_id) for at, wire_id in self.to_tell if now - at < self.REPEAT_S]
        for _, wire_id in self.to_tell:
            link.send({"type": "release", "id": wire_id, "fields": {}, "cause": 16})
            self.record.line(self.name, f"release {wire_id} sent on link {link.number}, just opened")

    def link_ended(self, link):
        link.open_setups.clear()


# ---- Owners ----


def encode(kind, wire_id, parameters=()):
    body = struct.pack(">BQ", kind, wire_id)
    for code, value in parameters:
        value = value if isinstance(value, bytes) else value.encode()
        body += struct.pack(">BH", code, len(value)) + value
    return struct.pack(">H", len(body)) + body


def decode(body):
    kind, wire_id = struct.unpack(">BQ", body[:9])
    parameters, at = {}, 9
    while at < len(body):
        code, length = struct.unpack(">BH", body[at:at + 3])
        parameters[code] = body[at + 3:at + 3 + length]
        at += 3 + length
    return kind, wire_id, parameters


class Request:
    """A request of an owner and what became of it; times are Unix seconds."""

    def __init__(self, wire_id, class_name, left):
        self.wire_id, self.class_name, self.left = wire_id, class_name, left
        self.sent_at = self.answered_at = self.ended_at = self.lost_connection_at = None
        self.answer = self.cause = None


class Owners:
    """All owners' connections together: what ends a task may come on any of them."""

    def __init__(self, record, listen):
        self.record, self.host_port = record, listen
        self.requests, self.next_id = {}, 0x5A00000000000000
        self.connection_count = 0

    async def connect(self):
        ip, port = self.host_port.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        self.connection_count += 1
        connection = OwnerConnection(self, reader, writer, self.connection_count)
        self.record.line("owner", f"connection {connection.number} opened")
        return connection

    async def test_until_passed(self, limit):
        """The front's test: the placer is ready once it has passed one."""
        until = time.time() + limit
        while time.time() < until:
            try:
                connection = await self.connect()
                await connection.test()
                await connection.close()
                return
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                await asyncio.sleep(0.05)
        raise CannotRun("the placer was not ready in time")

    def received(self, number, kind, wire_id, parameters):
        request = self.requests.get(wire_id)
        if kind == ANSWER:
            text = parameters.get(P_DESCRIPTION, b"").decode()
            self.record.line("owner", f"answer for {wire_id:016x} on connection {number}: {text}")
            if request:
                request.answered_at, request.answer = time.time(), text
        elif kind == RELEASE:
            cause = parameters.get(P_CAUSE, b"\x00")[0]
            self.record.line("owner", f"release of {wire_id:016x}, cause {cause}, on connection {number}")
            if request and request.ended_at is None:
                request.ended_at, request.cause = time.time(), cause


class OwnerConnection:
    def __init__(self, owners, reader, writer, number):
        self.owners, self.reader, self.writer, self.number = owners, reader, writer, number
        self.tests, self.is_open = {}, True
        self.task = asyncio.create_task(self.read())

    async def read(self):
        try:
            while True:
                length = struct.unpack(">H", await self.reader.readexactly(2))[0]
                kind, wire_id, parameters = decode(await self.reader.readexactly(length))
                if kind == TEST_RESULT and wire_id in self.tests:
                    self.tests.pop(wire_id).set_result(parameters.get(P_CAUSE))
                else:
                    self.owners.received(self.number, kind, wire_id, parameters)
        except (OSError, asyncio.IncompleteReadError):
            if self.is_open:
                self.owners.record.line("owner", f"connection {self.number} ended by the placer")
            self.is_open = False

    async def test(self):
        wire_id = 0x7E00000000000000 + self.number
        self.tests[wire_id] = asyncio.get_running_loop().create_future()
        self.writer.write(encode(TEST, wire_id, [(P_CAUSE, b"\x00")]))
        result = await asyncio.wait_for(self.tests[wire_id], 2.0)
        if result != b"\x01":
            raise OSError("the test failed")

    def request(self, class_name, left_ms, cores="0.5", memory="1", service=7, tenant="red"):
        """Sends a set-up. Its id and the name of its task are new."""
        owners = self.owners
        owners.next_id += 1
        wire_id = owners.next_id
        request = Request(wire_id, class_name, left_ms / 1000)
        owners.requests[wire_id] = request
        parameters = [
            (P_CLASS, class_name), (P_LEFT, str(left_ms)), (P_TENANT, tenant), (P_TASK, f"{wire_id ^ 0xABC:016x}"),
            (P_EXTRAS, f"cores:{cores};memory:{memory};service:{service:016x}"),
            (P_DESCRIPTION, f"{wire_id:016x}\r\nwork of owner\r\n"),
        ]
        if class_name == "batch":
            parameters.append((P_KEY, f"{wire_id:032x}"))
        self.writer.write(encode(SETUP, wire_id, parameters))
        request.sent_at = time.time()
        owners.record.line("owner", f"set-up {wire_id:016x} class {class_name} left {left_ms} on connection {self.number}")
        return request

    def release(self, request, cause=31):
        """Gives a set-up up (cause 16), or ends a task that stands."""
        self.writer.write(encode(RELEASE, request.wire_id, [(P_CAUSE, bytes([cause]))]))
        self.owners.record.line("owner", f"releases {request.wire_id:016x}, cause {cause}, on connection {self.number}")

    async def close(self):
        if self.is_open:
            self.is_open = False
            self.owners.record.line("owner", f"connection {self.number} closed by the owner")
        self.writer.close()


# ---- The placer ----


class Placer:
    """The program under review, started with `run` of deploy/balancer.toml."""

    def __init__(self, record, folder):
        self.record, self.folder, self.process = record, folder, None
        self.listen = f"127.0.0.1:{free_port()}"

    def write_config(self, board, hosts, settings_value, sockets=1024, memory_mb=192):
        known = {"rev": len(board.events), "notices": board.events}
        config = {"name": "n1", "listen": self.listen, "seed": "8c1f30d27a5be964",
                  "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                  "board": board.address, "known": known, "settings": settings_value}
        self.config = self.folder / "config.json"
        part = self.folder / "config.part"
        part.write_text(json.dumps(config))
        part.rename(self.config)

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        private = self.folder / "tmp"
        shutil.rmtree(private, ignore_errors=True)
        private.mkdir()
        environment = {**os.environ, "PROXY_NAME": "n1", "PROXY_LISTEN": self.listen,
                       "PROXY_CONFIG": str(self.config), "TMPDIR": str(private)}
        self.log = open(self.folder / "placer.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", deploy["run"], cwd=ROOT, env=environment, stdout=self.log, stderr=self.log,
            stdin=asyncio.subprocess.DEVNULL)
        self.record.line("placer", f"started: {deploy['run']}")

    def check_alive(self):
        if self.process.returncode is not None:
            raise CannotRun(f"the placer ended with status {self.process.returncode}")

    def signal(self, number):
        self.process.send_signal(number)
        self.record.line("placer", f"gets {signal.Signals(number).name}")

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Case:
    """The parts of a case, and its end: all processes and the temporary folder go with it."""

    def __init__(self, record):
        self.record = Record(record)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="reedring-review-"))
        self.board, self.placer, self.hosts = Board(self.record), Placer(self.record, self.folder), []
        self.owners = Owners(self.record, self.placer.listen)

    async def start(self, host_names, settings_value, **limits):
        await self.board.start()
        for number, name in enumerate(host_names):
            host = Host(self.record, name, zone="east" if number % 2 == 0 else "west", block=number % 2 + 1)
            await host.start()
            self.hosts.append(host)
        await self.board.publish([host.entry() for host in self.hosts], whole=True)
        self.placer.write_config(self.board, self.hosts, settings_value, **limits)
        await self.placer.start()
        await self.owners.test_until_passed(15.0)

    async def close(self):
        await self.placer.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(record, play):
    """Plays a case, writes the file `record`, and exits: 0 the rule held, 1 it was broken, 2 the case couldn't run.

    `play(case)` returns the lines that say how the rule was broken."""

    async def whole():
        case = Case(record)
        case.record.line("case", f"TROUBLE={'1' if case.trouble else '0'}")
        try:
            broken = await asyncio.wait_for(play(case), 110)
            if not broken:
                case.placer.check_alive()
        except Exception as error:  # Whatever went wrong here says nothing about the rule.
            case.record.line("case", f"could not run: {error!r}")
            return 2
        finally:
            await case.close()
        for line in broken:
            case.record.line("broken", line)
        case.record.line("case", "the rule was broken" if broken else "the rule held")
        return 1 if broken else 0

    try:
        status = asyncio.run(whole())
    except OSError as error:
        print(error, file=sys.stderr)
        status = 2
    print({0: "held", 1: "broken", 2: "could not run"}[status])
    sys.exit(status)
