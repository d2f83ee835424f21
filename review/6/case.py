"""A planned stop while some clients of the host end.

Hosts are stopped and started in turn. At each stop a client program on the
host ends, with answers that it has not read. Bookings of the host's other
clients are in flight.
"""

import pathlib
import signal
import subprocess
import sys
import threading
import time

HERE = pathlib.Path(__file__).parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
import lab as labs  # noqa: E402

HOSTS = 3
ROUNDS = 3
# 60 clients a host, of which a share of 0.3 leaves.
LEAVING = 18
STAYING = 42
BOOKINGS = 12
RUN_S = 0.6


def case(lab):
    lab.configure(
        2,
        labs.route("stock-browse", "/browse/", "lagerkig"),
        labs.route("delivery-book", "/book/", "lagerkig", "non_idempotent"),
    )
    zones = ("aarhus-havn", "esbjerg-dok", "aarhus-havn")
    hosts = [
        lab.add_host(f"sidecar-{n}", "lagerkig", zones[n]) for n in range(HOSTS)
    ]
    for host in hosts:
        host.start()
    for host in hosts:
        labs.wait_for(host.ready, what="readiness")
    stop = threading.Event()
    for host in hosts:
        threading.Thread(target=beat, args=(host, stop), daemon=True).start()
    time.sleep(1.0)
    breaches = []
    for turn in range(ROUNDS * HOSTS):
        breaches += stop_host(lab, hosts, hosts[turn % HOSTS], turn)
    stop.set()
    return breaches


def beat(host, stop):
    while not stop.is_set():
        host.instance.send(host.control, "heartbeat", host.instance.heartbeat())
        stop.wait(1.5)


def stop_host(lab, hosts, host, turn):
    """Stops and starts a host's daemon; returns the bookings that were cut."""
    for other in hosts:
        other.instance.work_s = 0.02
    staying = [
        keep(lab, host, f"k{turn}-{n}") for n in range(STAYING - BOOKINGS)
    ]
    address = host.outbound.split(":")
    leaver = subprocess.Popen(
        [
            sys.executable,
            HERE / "leaver.py",
            *address,
            str(LEAVING),
            f"x{turn}",
        ],
        stdout=subprocess.PIPE,
    )
    lab.processes.append(leaver)
    labs.wait_for(leaver.stdout.readline, what="clients")
    lab.record.add(
        f"client program at {host.name}: {LEAVING} connections x{turn}-0 to"
        f" x{turn}-{LEAVING - 1}, two requests sent on each, no answer read"
    )
    for other in hosts:
        other.instance.work_s = RUN_S
    replies = {}

    def book(request_id):
        replies[request_id] = host.call(
            request_id, "POST", f"/book/{request_id}", body=b"coal"
        )

    clients = [
        threading.Thread(target=book, args=(f"b{turn}-{n}",))
        for n in range(BOOKINGS)
    ]
    for client in clients:
        client.start()
    time.sleep(0.2)
    if labs.troubled():
        lab.record.add(f"{host.name}: {LEAVING} clients leave")
        leaver.kill()
    host.signal(signal.SIGTERM)
    status = host.wait_end()
    for client in clients:
        client.join()
    for sock in staying:
        sock.close()
    leaver.kill()
    leaver.wait()
    host.start()
    labs.wait_for(host.ready, what="readiness")
    time.sleep(0.5)
    runs = {run["id"] for other in hosts for run in other.instance.runs}
    return [
        f"LOST: {request_id} was passed on to an instance and its connection"
        f" ended without an answer ({reply.reason}) after"
        f" {reply.seconds:.3f} s; the daemon of {host.name} ended with"
        f" status {status}"
        for request_id, reply in replies.items()
        if reply.status is None and request_id in runs
    ]


def keep(lab, host, request_id):
    """Returns a kept connection whose request has been answered."""
    ip, port = host.outbound.split(":")
    sock = labs.socket.create_connection((ip, int(port)), 2.0)
    sock.sendall(
        labs.encode(
            "GET",
            f"/browse/{request_id}",
            {
                "Host": "ficu95.example",
                labs.PREFIX + "Request-Id": request_id,
                labs.PREFIX + "Deadline-Ms": "2000",
            },
        )
    )
    with sock.makefile("rb") as stream:
        reply = labs.read_reply(stream)
    text = reply.status or reply.reason
    lab.record.add(f"client at {host.name}: {request_id} -> {text}, kept")
    return sock


if __name__ == "__main__":
    labs.main(case, HERE)
