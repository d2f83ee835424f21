"""A client program whose requests were answered and that has not read on.

Opens kept connections, sends two idempotent requests ahead on each, and says
`ready`. It then does nothing until it is ended.
"""

import socket
import sys
import time

ip, port, count, name = sys.argv[1:]
socks = []
for n in range(int(count)):
    sock = socket.create_connection((ip, int(port)))
    sock.sendall(
        b"".join(
            (
                f"GET /browse/{n} HTTP/1.1\r\nHost: ficu95.example\r\n"
                f"X-Buckthornstack-Request-Id: {name}-{n}-{k}\r\n"
                "X-Buckthornstack-Deadline-Ms: 2000\r\n\r\n"
            ).encode()
            for k in range(2)
        )
    )
    socks.append(sock)
    time.sleep(0.01)
time.sleep(0.4)
print("ready", flush=True)
time.sleep(100)
