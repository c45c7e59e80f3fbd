"""Bad clients: connections that send requests and take them back at once, at full speed, and read what is sent to them.

Arguments: address, port, number of connections, seconds."""
import os
import socket
import sys
import time

from standins import RELEASE, SETUP, frame, parameter

host, port, count, seconds = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4])


def requests(first):
    """Hundreds of requests, each followed by its release."""
    result = b""
    for id in range(first, first + 150):
        extras = "cores:1;memory:1;service:0000000000000009"
        result += frame(SETUP, id, parameter(180, "publish"), parameter(181, "3000"), parameter(184, f"{id:016x}"),
                        parameter(185, extras), parameter(195, "x"))
        result += frame(RELEASE, id, parameter(194, b"\x10"))
    return result


connections = []
for number in range(count):
    connection = socket.create_connection((host, port))
    connection.setblocking(False)
    connections.append([connection, requests((os.getpid() << 40) | (number << 20) | 1), 0])
end = time.monotonic() + seconds
while time.monotonic() < end and connections:
    for one in list(connections):
        connection, data, at = one
        try:
            one[2] = (at + connection.send(data[at:at + 65536])) % len(data)
        except BlockingIOError:
            pass
        except OSError:
            connections.remove(one)
            continue
        try:
            while connection.recv(65536):
                pass
            connections.remove(one)
        except BlockingIOError:
            pass
        except OSError:
            connections.remove(one)
