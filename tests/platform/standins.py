"""Stand-ins of the platform: a store, an instance, a caller and a host.

They follow the platform's documentation and import none of the code under
test, so that a fault in it can't hide in them.
"""

import base64
import collections
import contextlib
import http.client
import http.server
import json
import os
import pathlib
import random
import re
import resource
import signal
import socket
import socketserver
import subprocess
import sys
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).parents[2]
PACKAGE_PATHS = [
    *(ROOT / "packages" / name for name in ("core", "adapters", "sidecar")),
    ROOT / "platform",
]
PREFIX = "X-Buckthornstack-"
WAIT_S = 10.0
# First and last port, below the range that the system uses for outgoing
# connections.
PORTS = (15_000, 30_000)
# Number of ports of one test run, so that concurrent runs use different ones.
PORTS_OF_RUN = 1_000
_allocated_ports: set[int] = set()


def free_port():
    """Allocates a port that is free and that no one else uses before.

    A port is allocated once, because it seems free until its user listens on
    it.
    """
    runs = (PORTS[1] - PORTS[0]) // PORTS_OF_RUN
    first = PORTS[0] + os.getpid() % runs * PORTS_OF_RUN
    if len(_allocated_ports) > PORTS_OF_RUN // 2:
        _allocated_ports.clear()
    while True:
        port = first + random.randrange(PORTS_OF_RUN)
        if port in _allocated_ports:
            continue
        _allocated_ports.add(port)
        with contextlib.closing(socket.socket()) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


def wait_for(condition, timeout_s=WAIT_S):
    """Waits until a condition holds and returns its value."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError(f"not true within {timeout_s} s: {condition}")


class _Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 64

    def handle_error(self, request, client_address):
        """Ignores closed connections, which tests cause on purpose."""


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        """Logs nothing, to keep the output of the tests short."""

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def reply(self, status, body, headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _Standin:
    """An HTTP server that runs on its own thread."""

    def __init__(self, port=0):
        self._open(port)
        self.port = self._server.server_address[1]
        self.address = f"127.0.0.1:{self.port}"

    def _open(self, port):
        standin = self

        class Handler(_Handler):
            def __getattr__(self, name):
                if name.startswith("do_"):
                    return lambda: standin.handle(self)
                raise AttributeError(name)

        self._server = _Server(("127.0.0.1", port), Handler)
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        )

    def start(self):
        self._thread.start()
        return self

    def close(self):
        self._server.shutdown()
        self._server.server_close()


class Store(_Standin):
    """The store: topics of keyed records with one partition.

    Attributes:
        down: Whether calls are answered with status 503.
        silent: Whether calls get no answer and are not executed.
        first: Offset of the first record by topic; earlier ones have expired.
        calls: Number of calls by name.
        era: Rises by one with each restoration; stated in all answers.
        on_append: Returns the value to store for a key and value that a
            daemon appends.
    """

    def __init__(self, port=0):
        super().__init__(port)
        self.down = False
        self.silent = False
        self.first = collections.Counter()
        self.era = 1
        self.on_append = lambda key, value: value
        self.calls = collections.Counter()
        self._topics = collections.defaultdict(list)
        self._changed = threading.Condition()

    def put(self, topic, key, value):
        """Appends a record, as the platform's operator does."""
        with self._changed:
            self._topics[topic].append((key, value))
            self._changed.notify_all()

    def compact(self, topic):
        """Expires all records of a topic but the newest of each key."""
        with self._changed:
            self.first[topic] = len(self._topics[topic])

    def copy(self):
        """Returns a copy of all topics, for `restore`."""
        with self._changed:
            return {t: list(records) for t, records in self._topics.items()}

    def restore(self, copy):
        """Comes back from a copy: what was appended since is lost."""
        with self._changed:
            self._topics.clear()
            self._topics.update({t: list(r) for t, r in copy.items()})
            self.era += 1
            self._changed.notify_all()

    def length(self, topic):
        """Returns the offset after a topic's last record."""
        with self._changed:
            return len(self._topics[topic])

    def newest(self, topic):
        """Returns the newest value of each key."""
        with self._changed:
            return {k: v for k, v in dict(self._topics[topic]).items() if v}

    def handle(self, call):
        body = call.body()
        path, _, query = call.path.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        name = path.rpartition("/")[2]
        self.calls[name] += 1
        if self.silent:
            time.sleep(WAIT_S)
            call.close_connection = True
            return
        if self.down:
            self._reply(call, 503, b"{}")
            return
        getattr(self, "_" + name.replace("-", "_"))(call, fields, body)

    def _reply(self, call, status, body):
        call.reply(status, body, [("Store-Era", str(self.era))])

    def _log_append(self, call, fields, body):
        position, offset = 0, len(self._topics[fields["topic"]])
        if int(fields.get("at", offset)) != offset:
            self._reply(call, 412, json.dumps({"end": offset}).encode())
            return
        while position < len(body):
            length = int.from_bytes(body[position : position + 4], "big")
            content = body[position + 4 : position + 4 + length]
            key_end = 1 + content[0]
            key = content[1:key_end].decode()
            value = self.on_append(key, content[key_end:])
            self.put(fields["topic"], key, value)
            position += 4 + length
        answer = {"offset": offset, "end": len(self._topics[fields["topic"]])}
        self._reply(call, 200, json.dumps(answer).encode())

    def _log_read(self, call, fields, body):
        del body
        topic, start = fields["topic"], int(fields["from"])
        with self._changed:
            era = self.era
            self._changed.wait_for(
                lambda: (
                    len(self._topics[topic]) != start
                    or self.down
                    or self.era != era
                ),
                int(fields.get("waitMs", 0)) / 1000,
            )
            if not self.first[topic] <= start <= len(self._topics[topic]):
                self._reply(call, 410, b'{"first":%d}' % self.first[topic])
                return
            records = self._topics[topic][start:]
            end = len(self._topics[topic])
        out = end.to_bytes(8, "big") + self.first[topic].to_bytes(8, "big")
        for key, value in records:
            name = key.encode()
            content = bytes([len(name)]) + name + value
            out += len(content).to_bytes(4, "big") + content
        self._reply(call, 200, out)

    def _log_newest(self, call, fields, body):
        del body
        topic = fields["topic"]
        with self._changed:
            newest = {
                key: (offset, value)
                for offset, (key, value) in enumerate(self._topics[topic])
            }
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for key, (offset, value) in sorted(newest.items())
                if value and key > fields.get("after", "")
            ]
            end = len(self._topics[topic])
        answer = {"items": items, "hasMore": False, "end": end}
        self._reply(call, 200, json.dumps(answer).encode())


class Instance(_Standin):
    """An application instance.

    Attributes:
        runs: Requests that it has started to run, in order.
        respond: Answers a request in place of the default; takes the handler
            and the run.
        unblocked: Event that requests wait for before they are answered.
        disconnected_ids: Ids of requests whose connection was closed while
            they ran.
        healthy: Whether its health check passes.
        headers: Further headers of all its answers.
        crashes_on: Returns whether a request crashes it, by path.
        crash_count: How often it has crashed.
    """

    def __init__(self, service, port=0, instance="i-1", born_ms=1_000):
        super().__init__(port)
        self.service = service
        self.instance = instance
        self.born_ms = born_ms
        self.sequence = 0
        self.runs = []
        self.respond = None
        self.unblocked = threading.Event()
        self.unblocked.set()
        self.disconnected_ids = []
        self.healthy = True
        self.headers = []
        self.connections = set()
        self.crashes_on = lambda path: False
        self.crash_count = 0
        self._sockets = set()

    def crash(self):
        """Ends all connections and stops listening, as a process that dies."""
        self.crash_count += 1
        self.close()
        for sock in list(self._sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self._sockets.clear()

    def restart(self):
        """Starts a new lifetime with a new id after a crash."""
        self._open(self.port)
        self.instance = f"{self.instance}x"
        self.born_ms += 1_000
        self.sequence = 0
        return self.start()

    def handle(self, call):
        body = call.body()
        self.connections.add(call.client_address)
        self._sockets.add(call.connection)
        if call.path == "/health":
            status = 200 if self.healthy else 503
            call.reply(status, b"", [(PREFIX + "Instance-Id", self.instance)])
            return
        request_id = call.headers[PREFIX + "Request-Id"]
        target = call.headers.get(PREFIX + "Target-Instance")
        if target not in (None, self.instance):
            call.reply(421, b"", [(PREFIX + "Request-Id", request_id)])
            return
        run = {
            "id": request_id,
            "method": call.command,
            "path": call.path,
            "body": body,
            "at_s": time.monotonic(),
            "headers": {k.lower(): v for k, v in call.headers.items()},
        }
        self.runs.append(run)
        if self.crashes_on(call.path):
            self.crash()
            call.close_connection = True
            return
        if not self._wait_unblocked(call, request_id):
            return
        if self.respond is not None:
            self.respond(call, run)
            return
        self.answer(call, run)

    def _wait_unblocked(self, call, request_id):
        while not self.unblocked.wait(0.02):
            call.connection.setblocking(False)
            try:
                closed = call.connection.recv(1, socket.MSG_PEEK) == b""
            except BlockingIOError:
                closed = False
            except OSError:
                closed = True
            finally:
                call.connection.setblocking(True)
            if closed:
                self.disconnected_ids.append(request_id)
                call.close_connection = True
                return False
        return True

    def answer(self, call, run, status=200, body=None, request_id=None):
        """Sends an answer with the instance's signature."""
        call.reply(
            status,
            f"done {run['id']}".encode() if body is None else body,
            [
                (PREFIX + "Request-Id", request_id or run["id"]),
                (PREFIX + "Response-Signature", f"proof-{run['id']}"),
                *self.headers,
            ],
        )

    def run_count(self, request_id):
        """Returns how often a request was run."""
        return sum(run["id"] == request_id for run in self.runs)

    def heartbeat(self, control, state="ready", sequence=None, **changes):
        """Announces the instance and returns the status of the answer."""
        self.sequence += 1
        announcement = {
            "address": self.address,
            "born": self.born_ms,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": "z1",
                "capacity": 4,
            },
            "status": {
                "state": state,
                "sequence": sequence or self.sequence,
                "warmupLeft": "0ms",
            },
            **changes,
        }
        return self._call(control, "instances.heartbeat", announcement)

    def leave(self, control):
        """Announces that it leaves and returns the status of the answer."""
        return self._call(control, "instances.leave", {"born": self.born_ms})

    def _call(self, control, name, body):
        conn = http.client.HTTPConnection(control, timeout=2)
        raw = body if isinstance(body, bytes) else json.dumps(body).encode()
        try:
            conn.request(
                "POST",
                f"/api/rpc?call={name}&of={self.instance}",
                raw,
                {"Content-Type": "application/json"},
            )
            return conn.getresponse().status
        finally:
            conn.close()


class Reply:
    """An answer that a caller received."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = {k.lower(): v for k, v in headers}
        self.body = body

    @property
    def retry_after_s(self):
        text = self.headers.get("retry-after")
        return None if text is None else float(text)


class Host:
    """A host whose daemon runs as a separate process."""

    def __init__(self, folder, name, store, instance, zone="z1", limits=None):
        """Writes the host's settings file.

        Args:
            folder: Where the file and the log are written.
            name: Name of the host.
            store: The store.
            instance: The host's instance.
            zone: Availability zone of the host.
            limits: Resources of the host as the file names them, such as
                `memoryMb` and `maxFds`; None to leave them out.
        """
        self.name = name
        ports = {
            listen: f"127.0.0.1:{free_port()}"
            for listen in ("inbound", "outbound", "ready", "control")
        }
        self.ports = ports
        self.metrics_port = free_port()
        self.file = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        listen = "\n".join(f'{k} = "{v}"' for k, v in ports.items())
        resources = "\n".join(f"{k} = {v}" for k, v in (limits or {}).items())
        self.file.write_text(
            f'node = "{name}"\nip = "127.0.0.1"\nzone = "{zone}"\n'
            f'region = "r1"\nservice = "{instance.service}"\n'
            f'appAddr = "{instance.address}"\nnew = "ignored"\n'
            f"internalPortRange = [{self.metrics_port}, {self.metrics_port}]\n"
            'bounds = ["grace=6s", "drain=2500ms", "retryBudgetRatio=0.2",'
            ' "budgetWindow=10s", "budgetSlack=60"]\n'
            f"[listen]\n{listen}\n"
            f'[provider]\naddress = "{store.address}"\nkeep = "300s"\n'
            f"[limits]\n{resources}\n"
        )
        self._process = None

    def start(self):
        env = dict(os.environ, BUCKTHORNSTACK_BOOT=str(self.file))
        env["PYTHONPATH"] = os.pathsep.join(str(f) for f in PACKAGE_PATHS)
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "buckthornd.py")],
                env=env,
                stdout=log,
                stderr=log,
            )
        try:
            wait_for(lambda: self.readiness() is not None or not self.running())
        except AssertionError as exc:
            exc.add_note(self._last_lines())
            raise
        assert self.running(), self._last_lines()
        return self

    def _last_lines(self):
        status = self._process.poll()
        lines = self.log.read_text().splitlines()[-10:]
        return f"{self.name}: exit status {status}, {lines}"

    def close(self):
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
        if self._process is not None:
            self._process.wait(WAIT_S)

    kill = close

    def limit_memory(self, size):
        """Limits the memory that the daemon can allocate, in bytes."""
        resource.prlimit(self._process.pid, resource.RLIMIT_DATA, (size, size))

    def limit_descriptors(self, number):
        """Limits the descriptors that the daemon can open."""
        resource.prlimit(
            self._process.pid, resource.RLIMIT_NOFILE, (number, number)
        )

    def peak_memory(self):
        """Returns the most memory that was resident so far, in bytes."""
        status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        [kilobytes] = re.findall(r"^VmHWM:\s+(\d+) kB$", status, re.M)
        return int(kilobytes) * 1_024

    def descriptors(self):
        """Returns how many descriptors the daemon has open."""
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    def signal(self, number):
        self._process.send_signal(number)

    def stop(self):
        """Stops the daemon as planned and returns its exit status."""
        self.signal(signal.SIGTERM)
        return self._process.wait(WAIT_S)

    def running(self):
        return self._process.poll() is None

    def exit_status(self):
        """Returns the exit status of the daemon once it has ended."""
        return self._process.wait(WAIT_S)

    def readiness(self):
        """Returns the status of the readiness check; None if unanswered."""
        conn = http.client.HTTPConnection(self.ports["ready"], timeout=1)
        try:
            conn.request("GET", "/api/readiness")
            return conn.getresponse().status
        except OSError:
            return None
        finally:
            conn.close()

    def metrics(self):
        """Returns the daemon's metrics in the exposition format."""
        conn = http.client.HTTPConnection(
            f"127.0.0.1:{self.metrics_port}", timeout=2
        )
        try:
            conn.request("GET", "/metrics")
            return conn.getresponse().read().decode()
        finally:
            conn.close()

    def events(self, name):
        """Returns the log entries of an event."""
        entries = []
        for line in self.log.read_text().splitlines():
            with contextlib.suppress(json.JSONDecodeError):
                entry = json.loads(line)
                if entry.get("event") == name:
                    entries.append(entry)
        return entries

    def connect(self):
        """Opens a socket to the daemon, as a caller does."""
        host, _, port = self.ports["outbound"].partition(":")
        return socket.create_connection((host, int(port)), WAIT_S)

    def call(
        self,
        request_id,
        path="/browse/1",
        method="GET",
        body=None,
        left_ms=2000,
        host="shop.example",
        headers=(),
    ):
        """Sends a caller's request and returns the reply."""
        conn = http.client.HTTPConnection(
            self.ports["outbound"], timeout=WAIT_S
        )
        request_headers = {"Host": host, PREFIX + "Deadline-Ms": str(left_ms)}
        if request_id is not None:
            request_headers[PREFIX + "Request-Id"] = request_id
        request_headers.update(headers)
        try:
            conn.request(method, path, body, request_headers)
            resp = conn.getresponse()
            return Reply(resp.status, resp.getheaders(), resp.read())
        finally:
            conn.close()


def keep_open(host, count, headers=()):
    """Returns connections with answers that their clients have not read."""
    socks = [host.connect() for _ in range(count)]
    for n, sock in enumerate(socks):
        fields = {
            "Host": "shop.example",
            PREFIX + "Request-Id": f"k-{n}",
            PREFIX + "Deadline-Ms": "9000",
            **dict(headers),
        }
        lines = [f"{name}: {value}" for name, value in fields.items()]
        head = "\r\n".join(["GET /browse/1 HTTP/1.1", *lines, "", ""])
        sock.sendall(head.encode())
    for sock in socks:
        with contextlib.suppress(OSError):
            sock.recv(1)
    return socks


def path_entry(name, prefix, service="stock", **changes):
    """Returns a route as the platform's operator writes it."""
    return {
        "name": name,
        "pathPrefix": prefix,
        "kind": "idempotent",
        "timeout": "1500ms",
        "targetLatency": "800ms",
        "priority": 1,
        "service": service,
        "attempts": 2,
        **changes,
    }


BROWSE = path_entry("browse", "/browse/")
BOOK = path_entry("book", "/book/", kind="non_idempotent")


def configuration(number, *paths, **changes):
    """Returns the value of a configuration record."""
    services = [
        {"name": name, "healthPath": "/health", "maxConnections": 130}
        for name in ("stock", "orders")
    ]
    record = {
        "version": f"{number:08x}",
        "services": services,
        "limits": {
            "maxHeaderBytes": 4096,
            "maxBodyBytes": 65536,
            "headerTimeout": "3000ms",
            "idleTimeout": "15000ms",
        },
        "virtualHosts": [
            {"host": "shop.example", "paths": list(paths or (BROWSE, BOOK))}
        ],
        **changes,
    }
    return json.dumps(record).encode()
