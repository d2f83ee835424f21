"""A small mesh of real daemons with callers, faults and checks."""

import collections
import contextlib
import http.client
import itertools
import json
import random
import signal
import threading
import time

from tests.fakes import limits
from tests.platform import standins
from tests.soak import proxies

CALLERS = 5
EXTRA_FAULTS = 4
RECOVERY_S = 15.0
DRAIN_S = 2.5
LIMITED_S = 8.0
NOT_RUN = (408, 421, 429, 503)
LEAVING = [("Server-Leaving", "1")]
KINDS = {
    "browse": ("/browse/1", "GET"),
    "book": ("/book/1", "POST"),
    "once": ("/once/1", "PUT"),
    "download": ("/download/1", "GET"),
}
REPEATABLE = ("browse", "download")
ORDERS = standins.path_entry("once", "/once/", "orders", kind="non_idempotent")
DOWNLOAD = standins.path_entry("download", "/download/", kind="download")
EXTRA = standins.path_entry("extra", "/extra/")
WORKSPACE = "shop"
# A key that all versions hold.
KEY = "key-of-all-versions"
LONG_BODY_REPEATS = 8_000
# Clients that leave together during a planned stop, and the pause between them
# in seconds.
LEAVING_CLIENTS = 400
LEAVING_PAUSE_S = 0.0002
# Answers without end, by what comes before the part that is repeated.
ENDLESS = (
    (b"HTTP/1.1 200 OK\r\nX-A: ", 65_536 * b"a"),
    (b"", 2_000 * b"HTTP/1.1 102 Processing\r\n\r\n"),
    (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        10_000 * b"2\r\nab\r\n",
    ),
)
ENDLESS_S = 1.0
TENANT = (standins.PREFIX + "Tenant").lower()


def _bearer(key):
    return {"Authorization": f"Bearer {key}"}


def _body(kind, request_id):
    """Returns the body of an instance's answer; that of a download is long."""
    repeats = LONG_BODY_REPEATS if kind == "download" else 1
    return f"done {request_id}".encode() * repeats


def _send_until(call, parts, until_s):
    """Sends an answer without end until a time, or until the peer closes."""
    first, repeated = parts
    call.close_connection = True
    with contextlib.suppress(OSError):
        call.wfile.write(first)
        while time.monotonic() < until_s:
            call.wfile.write(repeated)


def _target(run):
    """Returns the id of the instance that a request was meant for."""
    return run["headers"].get("x-buckthornstack-target-instance")


class Limit:
    """A limit that an instance states, from one time to another."""

    def __init__(self, instance, per_s, since_s):
        self.instance = instance
        self.per_s = per_s
        self.since_s = since_s
        self.until_s = since_s + LIMITED_S
        self._headers = [("Server-Limit", str(per_s))]
        instance.headers = self._headers

    def is_stated(self):
        """Returns whether the instance still states it."""
        return self.instance.headers is self._headers

    def end(self, now_s):
        """Ends the limit."""
        self.until_s = min(self.until_s, now_s)
        self.instance.headers = []

    def excess(self):
        """Returns the most requests beyond the limit in one window."""
        most = limits.most_in_window(
            run["at_s"]
            for run in list(self.instance.runs)
            if self.since_s + limits.STABILITY_S <= run["at_s"] < self.until_s
        )
        return most - limits.allowed(self.per_s)


class Mesh:
    """Three hosts; links between daemons run through proxies.

    Attributes:
        replies: By request id: its kind and the reply, or None if there was
            none.
        drained: Acknowledged ends of lifetimes: instance, its id, the time.
        limits: Limits that instances stated.
        told: Responses that said that their upstream leaves: host, id of the
            instance, when the caller had it.
        disturbed: Restarts and freezes: host, the time of the end.
        ends: Daemons that ended otherwise than they should, as text.
        endless: What instances send without end, and until when, by instance.
    """

    def __init__(self, folder, seed):
        self.rng = random.Random(seed)
        self.store = standins.Store().start()
        self.store.on_append = self._through_proxy
        self.instances = [
            standins.Instance(service, instance=f"i-{n}", born_ms=1_000 + n)
            for n, service in enumerate(("stock", "stock", "orders"))
        ]
        self.hosts = []
        self.proxies = {}
        self.number = itertools.count(2)
        self.published = []
        # Keys beside KEY: the one in force, and those withdrawn before it.
        self.short_lived_key = "key-0"
        self.withdrawn_keys = []
        # Copies of the store, the newest last.
        self.copies = collections.deque(maxlen=3)
        self.replies = {}
        self.drained = []
        self.limits = []
        self.told = []
        self.disturbed = []
        self.ends = []
        self.endless = {}
        # When each request was sent, and to which host.
        self._sent = {}
        # Lifetimes that drain, with the time at which the next one starts.
        self._draining = {}
        self._born_ms = itertools.count(10_000)
        self._ids = itertools.count()
        self._calm = threading.Event()
        self._lock = threading.Lock()
        self.publish()
        for n, instance in enumerate(self.instances):
            instance.start()
            instance.respond = self._work(instance)
            host = standins.Host(folder, f"h-{n}", self.store, instance)
            proxy = proxies.Proxy(host.ports["inbound"]).start()
            self.proxies[host.name] = proxy
            self.hosts.append(host)

    def _through_proxy(self, key, value):
        if not value or key not in self.proxies:
            return value
        record = json.loads(value)
        record["address"] = self.proxies[key].address
        return json.dumps(record).encode()

    def _work(self, instance):
        def respond(call, run):
            time.sleep(0.02 + 0.06 * random.random())
            parts, until_s = self.endless.get(instance.address, ((), 0.0))
            if time.monotonic() < until_s:
                _send_until(call, parts, until_s)
                return
            kind = run["path"].split("/")[1]
            instance.answer(call, run, body=_body(kind, run["id"]))

        return respond

    def publish(self, extra=False):
        paths = [standins.BROWSE, standins.BOOK, ORDERS, DOWNLOAD]
        if extra:
            paths.append(EXTRA)
        tenant = {"name": WORKSPACE, "apiKeys": [KEY, self.short_lived_key]}
        record = standins.configuration(
            next(self.number), *paths, tenants=[tenant]
        )
        self.published.append(record)
        self.store.put("keyed.op", "config", record)

    def close(self):
        self._calm.set()
        for host in self.hosts:
            host.close()
        for thing in (*self.proxies.values(), *self.instances, self.store):
            thing.close()

    def run(self):
        """Runs callers and faults, and returns what was broken."""
        for host in self.hosts:
            host.start()
        threads = [
            threading.Thread(target=self._call, daemon=True)
            for _ in range(CALLERS)
        ]
        threads.append(threading.Thread(target=self._beat, daemon=True))
        for thread in threads:
            thread.start()
        self._await_service()
        for inject in self._plan():
            self.copies.append(self.store.copy())
            inject(self)
            time.sleep(self.rng.uniform(0.1, 0.8))
        self._heal()
        self.publish(extra=True)
        broken = self._await_service()
        self._calm.set()
        for thread in threads:
            thread.join(standins.WAIT_S)
        return broken + self._broken_promises()

    def _plan(self):
        """Returns each fault once and some twice, in random order."""
        plan = [*FAULTS, *self.rng.choices(FAULTS, k=EXTRA_FAULTS)]
        self.rng.shuffle(plan)
        return plan

    def _heal(self):
        standins.wait_for(lambda: not self._draining)
        standins.wait_for(lambda: not any(i.headers for i in self.instances))
        self.store.down = False
        for proxy in self.proxies.values():
            proxy.mode = proxies.Mode.PASS
        for host in self.hosts:
            if host.running():
                host.signal(signal.SIGCONT)
            else:
                self.ends.append(f"{host.name} ended by itself")
                host.start()

    def _beat(self):
        while not self._calm.wait(0.4):
            for host, instance in zip(self.hosts, self.instances, strict=True):
                with self._lock:
                    self._beat_one(host, instance)

    def _beat_one(self, host, instance):
        now_s = time.monotonic()
        for limit in self.limits:
            if limit.is_stated() and now_s >= limit.until_s:
                limit.end(now_s)
        until_s = self._draining.get(instance.service + instance.address)
        if until_s is None:
            self._say(host, instance, "ready")
        elif now_s < until_s:
            leaving = instance.headers == LEAVING
            self._say(host, instance, "ready" if leaving else "draining")
        else:
            del self._draining[instance.service + instance.address]
            self.end_statements(instance)
            instance.born_ms = next(self._born_ms)
            instance.instance = f"i-{instance.born_ms}"
            instance.sequence = 0
            self._say(host, instance, "ready")

    def end_statements(self, instance):
        """Ends what an instance states in its responses."""
        for limit in self.limits:
            if limit.instance is instance and limit.is_stated():
                limit.end(time.monotonic())
        instance.headers = []

    def _say(self, host, instance, state):
        try:
            return instance.heartbeat(host.ports["control"], state)
        except (OSError, http.client.HTTPException):
            return None

    def _call(self):
        while not self._calm.is_set():
            kind = random.choice(list(KINDS))
            path, method = KINDS[kind]
            request_id = f"q-{next(self._ids)}"
            host = random.choice(self.hosts)
            body = b"x" if method != "GET" else None
            self._sent[request_id] = host, time.monotonic()
            headers = {**_bearer(KEY), TENANT: "set by the caller"}
            try:
                reply = host.call(
                    request_id, path, method, body, 1500, headers=headers
                )
            except (OSError, http.client.HTTPException):
                reply = None
                time.sleep(0.05)
            self.replies[request_id] = (kind, reply)
            if reply is not None and reply.headers.get("server-leaving"):
                self._add_told(host, request_id)

    def _add_told(self, host, request_id):
        """Records that a host passed on that an upstream leaves."""
        now_s = time.monotonic()
        for instance in self.instances:
            for run in reversed(list(instance.runs)):
                if run["id"] == request_id:
                    self.told.append((host, _target(run), now_s))
                    return

    def _sent_although_told(self):
        """Returns requests to an upstream that their host knew leaves."""
        found = []
        for instance in self.instances:
            for run in instance.runs:
                host, sent_s = self._sent.get(run["id"], (None, 0.0))
                told_s = [
                    at_s
                    for told, name, at_s in self.told
                    if told is host
                    and name == _target(run)
                    and at_s + DRAIN_S < sent_s
                    and not any(
                        h is host and at_s < t for h, t in self.disturbed
                    )
                ]
                if told_s:
                    found.append(f"{run['id']} reached {_target(run)}")
        return found

    def _await_service(self):
        """Waits until every host serves everything."""
        end_s = time.monotonic() + RECOVERY_S
        missing = ["not asked"]
        while missing and time.monotonic() < end_s:
            missing = [
                f"{host.name} does not serve {kind}"
                for host in self.hosts
                for kind in KINDS
                if not self._is_served(host, kind)
            ]
            missing.extend(
                f"{host.name} takes the withdrawn {key}"
                for host in self.hosts
                for key in self.withdrawn_keys
                if not self._refuses(host, key)
            )
        return missing

    def _refuses(self, host, key):
        try:
            reply = host.call(f"p-{next(self._ids)}", headers=_bearer(key))
        except (OSError, http.client.HTTPException):
            return False
        return reply.status == 401

    def _is_served(self, host, kind):
        path, method = KINDS[kind]
        body = b"x" if method != "GET" else None
        try:
            reply = host.call(
                f"p-{next(self._ids)}",
                path,
                method,
                body,
                headers=_bearer(KEY),
            )
        except (OSError, http.client.HTTPException):
            return False
        return reply.status == 200

    def stop(self, host):
        """Stops a daemon as planned, and starts it again."""
        status = host.stop()
        if status != 0:
            self.ends.append(f"{host.name} stopped with status {status}")
        host.start()
        self.disturbed.append((host, time.monotonic()))

    def _broken_promises(self):
        found = list(self.ends)
        for request_id, (kind, reply) in self.replies.items():
            runs = sum(i.run_count(request_id) for i in self.instances)
            status = reply.status if reply is not None else None
            if kind not in REPEATABLE and runs > 1:
                found.append(f"{request_id} ({kind}) ran {runs} times")
            if kind not in REPEATABLE and status in NOT_RUN and runs:
                found.append(f"{request_id} ({kind}) got {status} and ran")
            if status == 200 and reply.body != _body(kind, request_id):
                found.append(f"{request_id} got another answer")
            if status in (401, 404):
                found.append(f"{request_id} ({kind}) got {status}")
        found.extend(self._wrong_workspaces())
        found.extend(
            f"{text} although its host knew that it leaves"
            for text in self._sent_although_told()
        )
        for limit in self.limits:
            if limit.excess() > 0:
                found.append(
                    f"{limit.instance.address} got {limit.excess():g} requests"
                    f" beyond its limit of {limit.per_s} a second"
                )
        for instance, name, at_s in self.drained:
            late = [
                run["id"]
                for run in instance.runs
                if _target(run) == name and run["at_s"] > at_s + DRAIN_S
            ]
            found.extend(
                f"{run} reached {name} after its drain" for run in late
            )
        return found

    def _wrong_workspaces(self):
        """Returns runs that got a key, or another workspace than its own."""
        found = []
        for run in (run for i in self.instances for run in i.runs):
            headers = run["headers"]
            if "authorization" in headers:
                found.append(f"{run['id']} ran with the caller's key")
            if headers.get(TENANT) != WORKSPACE:
                found.append(f"{run['id']} ran for {headers.get(TENANT)}")
        return found

    def some_host(self):
        return self.rng.choice(self.hosts)


FAULTS = []


def fault(function):
    """Registers a fault."""
    FAULTS.append(function)
    return function


@fault
def kill(mesh):
    host = mesh.some_host()
    host.kill()
    time.sleep(mesh.rng.uniform(0.0, 0.5))
    host.start()
    mesh.disturbed.append((host, time.monotonic()))


@fault
def stop_as_planned(mesh):
    host = mesh.some_host()
    host.signal(signal.SIGCONT)
    mesh.stop(host)


@fault
def stop_while_clients_leave(mesh):
    """Stops a daemon while clients leave that have not read their answers."""
    host = mesh.some_host()
    socks = standins.keep_open(host, LEAVING_CLIENTS, _bearer(KEY))

    def leave():
        for sock in socks:
            sock.close()
            time.sleep(LEAVING_PAUSE_S)

    leaving = threading.Thread(target=leave)
    leaving.start()
    time.sleep(mesh.rng.uniform(0.0, 0.05))
    mesh.stop(host)
    leaving.join()


@fault
def answer_without_end(mesh):
    instance = mesh.rng.choice(mesh.instances)
    until_s = time.monotonic() + ENDLESS_S
    mesh.endless[instance.address] = mesh.rng.choice(ENDLESS), until_s
    time.sleep(ENDLESS_S)


@fault
def freeze(mesh):
    host = mesh.some_host()
    host.signal(signal.SIGSTOP)
    time.sleep(mesh.rng.uniform(0.2, 2.5))
    host.signal(signal.SIGCONT)
    mesh.disturbed.append((host, time.monotonic()))


@fault
def reset_links(mesh):
    mesh.proxies[mesh.some_host().name].reset()


@fault
def silence_links(mesh):
    proxy = mesh.proxies[mesh.some_host().name]
    proxy.mode = proxies.Mode.SILENT
    time.sleep(mesh.rng.uniform(0.3, 1.5))
    proxy.mode = proxies.Mode.PASS


@fault
def delay_links(mesh):
    mesh.proxies[mesh.some_host().name].mode = proxies.Mode.DELAY


@fault
def take_store_down(mesh):
    mesh.store.down = True
    time.sleep(mesh.rng.uniform(0.2, 1.5))
    mesh.store.down = False


@fault
def restore_store(mesh):
    """Brings the store back from an older copy.

    The operator writes the last version again, or all that are lost.
    """
    copy = mesh.copies[0]
    mesh.store.down = True
    time.sleep(mesh.rng.uniform(0.2, 1.0))
    mesh.store.restore(copy)
    lost = len(mesh.published) - len(copy["keyed.op"])
    lost = max(1, min(lost, mesh.rng.choice((1, lost))))
    for record in mesh.published[-lost:]:
        mesh.store.put("keyed.op", "config", record)
    mesh.store.down = False


@fault
def change_configuration(mesh):
    mesh.publish(extra=mesh.rng.random() < 0.5)


@fault
def withdraw_key(mesh):
    mesh.withdrawn_keys.append(mesh.short_lived_key)
    mesh.short_lived_key = f"key-{len(mesh.withdrawn_keys)}"
    mesh.publish()


@fault
def replace_lifetime(mesh):
    """Drains a lifetime, and starts the next one of the same instance."""
    number = mesh.rng.randrange(len(mesh.instances))
    host, instance = mesh.hosts[number], mesh.instances[number]
    with mesh._lock:
        key = instance.service + instance.address
        if key in mesh._draining:
            return
        if mesh._say(host, instance, "draining") != 200:
            return
        now_s = time.monotonic()
        mesh.drained.append((instance, instance.instance, now_s))
        mesh._draining[key] = now_s + DRAIN_S + 1.0


@fault
def state_limit(mesh):
    """Lets an instance state a limit for some seconds."""
    instance = mesh.rng.choice(mesh.instances)
    with mesh._lock:
        if not instance.headers:
            per_s = mesh.rng.choice((0.5, 1.0, 2.0, 5.0))
            mesh.limits.append(Limit(instance, per_s, time.monotonic()))


@fault
def leave_by_response(mesh):
    """Lets an instance's responses, and nothing else, say that it leaves."""
    instance = mesh.rng.choice(mesh.instances)
    with mesh._lock:
        key = instance.service + instance.address
        if key in mesh._draining:
            return
        mesh.end_statements(instance)
        instance.headers = LEAVING
        mesh._draining[key] = time.monotonic() + DRAIN_S + 3.0
