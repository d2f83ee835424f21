"""A deployment on one machine: log service, link, daemons and upstreams."""

from collections.abc import Iterator
from collections.abc import Sequence
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from typing import Any

import msgspec
import urllib3

from buckthorn_standins import link_plans

FIRST_PORT = 12_000
FIRST_PORT_VARIABLE = "BUCKTHORN_FIRST_PORT"
KEY = "trial-key-0123456789"
HOST = "127.0.0.1"
STOP_TIMEOUT_S = 30.0
POLL_S = 0.05


class Deployment(msgspec.Struct, frozen=True):
    """Sizes and names of a user's mesh.

    Attributes:
        name: Folder below `deploy`.
        regions: Sites by region; the log service is in the first region.
        services: Instances by service, over all sites.
        slots: Slots of an instance.
        connections: Connections of an instance.
        lookup: Prefix of lookups.
        order: Prefix of bookings or orders.
        upload: Prefix of uploads.
    """

    name: str
    regions: dict[str, list[str]]
    services: dict[str, int]
    slots: int
    connections: int
    lookup: str
    order: str
    upload: str

    def sites(self) -> list[tuple[str, str]]:
        """Returns all sites with their regions."""
        return [(s, r) for r, sites in self.regions.items() for s in sites]


DEPLOYMENTS = {
    "kulhus": Deployment(
        name="kulhus",
        regions={
            "jylland": ["aarhus-havn", "esbjerg-dok"],
            "sjaelland": ["koege-bugt", "roskilde-nord"],
        },
        services={"stock-catalogue": 8, "delivery-booking": 4},
        slots=20,
        connections=130,
        lookup="/stock/",
        order="/bookings/",
        upload="/scans/",
    ),
    "association": Deployment(
        name="association",
        regions={
            "viti-levu": ["suva", "lautoka"],
            "vanua-levu": ["labasa", "savusavu"],
        },
        services={"kit-catalogue": 8, "order-desk": 4},
        slots=6,
        connections=120,
        lookup="/kits/",
        order="/orders/",
        upload="/photos/",
    ),
}


class Instance(msgspec.Struct):
    """A daemon and its upstream.

    Attributes:
        name: Name of the daemon.
        region: Its region.
        site: Its site.
        service: Service of its upstream.
        ports: Ports by use.
    """

    name: str
    region: str
    site: str
    service: str
    ports: dict[str, int]

    def address(self, use: str) -> str:
        """Returns the address of a port."""
        return f"{HOST}:{self.ports[use]}"


class Ports:
    """Hands out free ports below the range that the system uses itself."""

    def __init__(self) -> None:
        self._next = int(os.environ.get(FIRST_PORT_VARIABLE, FIRST_PORT))

    def take(self) -> int:
        """Returns a port that is free now."""
        while True:
            port = self._next
            self._next += 1
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((HOST, port))
                    return port
                except OSError:
                    continue


def plan_instances(deployment: Deployment, ports: Ports) -> list[Instance]:
    """Spreads the instances of all services over the sites."""
    found = []
    sites = deployment.sites()
    for service, count in deployment.services.items():
        for index in range(count):
            site, region = sites[index % len(sites)]
            name = f"{service}-{site}-{index // len(sites)}"
            uses = ("peer", "http", "admin", "upstream")
            links = ("peer_near", "peer_far", "http_near", "http_far")
            found.append(
                Instance(
                    name,
                    region,
                    site,
                    service,
                    {use: ports.take() for use in (*uses, *links)},
                )
            )
    return found


class Fleet:
    """Starts and stops the processes of a deployment.

    Attributes:
        deployment: The deployment.
        instances: All planned instances.
        folder: Folder for settings, logs and records.
        ports: Where further ports come from.
        seeds: Peer addresses by region, for daemons that start while the log
            is down.
    """

    def __init__(
        self,
        deployment: Deployment,
        folder: pathlib.Path,
        service_ms: float = 2.0,
        daemon_settings: dict[str, Any] | None = None,
        upstream_flags: Sequence[str] = (),
    ):
        self.deployment = deployment
        self.folder = folder
        self.ports = ports = Ports()
        self.instances = plan_instances(deployment, ports)
        self._upstream_flags = upstream_flags
        self._service_ms = service_ms
        self._daemon_settings = daemon_settings or {}
        self.seeds: dict[str, list[str]] = {}
        self._log_port = ports.take()
        self._log_links = {"near": ports.take(), "far": ports.take()}
        self._control_port = ports.take()
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._http = urllib3.PoolManager(retries=False, timeout=2.0)
        folder.mkdir(parents=True, exist_ok=True)

    @property
    def log_region(self) -> str:
        """Region of the log service."""
        return next(iter(self.deployment.regions))

    @property
    def log_url(self) -> str:
        """URL of the log service inside its region."""
        return f"http://{HOST}:{self._log_links['near']}"

    @property
    def direct_log_url(self) -> str:
        """URL of the log service past the link, which counts no bytes."""
        return f"http://{HOST}:{self._log_port}"

    def log_url_of(self, region: str) -> str:
        """Returns the URL of the log service for hosts of a region."""
        end = "near" if region == self.log_region else "far"
        return f"http://{HOST}:{self._log_links[end]}"

    def start(self) -> None:
        """Starts all processes; they need a moment to be ready."""
        self.start_platform()
        for instance in self.instances:
            self.start_instance(instance)

    def start_platform(self) -> None:
        """Starts log service and link."""
        self.spawn(
            "log",
            "buckthorn_standins.log_service",
            f"--listen={HOST}:{self._log_port}",
        )
        plan = self.folder / "link.json"
        plan.write_text(
            json.dumps(
                link_plans.make(
                    self.instances,
                    self._log_links,
                    self._log_port,
                    self._control_port,
                )
            )
        )
        self.spawn("link", "buckthorn_standins.link", f"--plan={plan}")
        self._wait_for_port(self._control_port)
        self._wait_for_port(self._log_port)

    def start_instance(self, instance: Instance) -> None:
        """Starts a daemon and its upstream."""
        self.start_daemon(instance)
        self.start_upstream(instance)

    def start_daemon(self, instance: Instance) -> None:
        """Starts a daemon."""
        cfg = self.folder / f"{instance.name}.jsonc"
        cfg.write_text(json.dumps(self._settings(instance), indent=2))
        self.spawn(instance.name, "buckthorn_daemon.main", f"--cfg={cfg}")

    def start_upstream(self, instance: Instance) -> None:
        """Starts the upstream beside a daemon."""
        self.spawn(
            f"upstream-{instance.name}",
            "buckthorn_standins.upstream",
            f"--listen={instance.address('upstream')}",
            f"--admin={instance.address('admin')}",
            f"--name={instance.name}",
            f"--service={instance.service}",
            f"--slots={self.deployment.slots}",
            f"--connections={self.deployment.connections}",
            f"--service_ms={self._service_ms}",
            f"--record={self.folder / (instance.name + '.records')}",
            *self._upstream_flags,
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process of this fleet."""
        self._processes[name].send_signal(number)

    def pid(self, name: str) -> int:
        """Returns the id of a process of this fleet."""
        return self._processes[name].pid

    def wait(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Waits for a process to end and returns its status.

        Raises:
            subprocess.TimeoutExpired: It runs on.
        """
        return self._processes.pop(name).wait(timeout_s)

    def close(self) -> None:
        """Ends all processes that still run."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()
        self._processes.clear()

    def status(self, instance: Instance) -> dict[str, Any] | None:
        """Returns the status of a daemon, or None if it does not answer."""
        url = f"http://{instance.address('admin')}/v1/status"
        try:
            return dict(json.loads(self._http.request("GET", url).data))
        except (urllib3.exceptions.HTTPError, ValueError):
            return None

    def wait_until(self, done: Any, timeout_s: float, what: str) -> None:
        """Waits for a condition.

        Raises:
            TimeoutError: The condition did not come true in time.
        """
        end_s = time.monotonic() + timeout_s
        while not done():
            if time.monotonic() > end_s:
                raise TimeoutError(f"{what} took over {timeout_s} s")
            time.sleep(POLL_S)

    def control_bytes(self) -> dict[str, int]:
        """Returns the bytes that the link carried, by kind and scope."""
        return dict(self._link_command({"op": "stats"}))

    def set_link_fault(self, ports: list[int], fault: str) -> None:
        """Sets a fault on ports of the link; an empty one heals."""
        listens = [f"{HOST}:{port}" for port in ports]
        self._link_command({"op": "fault", "listens": listens, "fault": fault})

    def set_log_faults(self, **faults: Any) -> None:
        """Sets the faults of the log service."""
        self._http.request(
            "POST",
            f"{self.direct_log_url}/v1/faults",
            body=json.dumps(faults).encode(),
        )

    def log_requests(self) -> dict[int, int]:
        """Returns requests at the log service by period of 100 ms."""
        answer = self._http.request("GET", f"{self.direct_log_url}/v1/requests")
        return msgspec.json.decode(answer.data, type=dict[int, int])

    def records(self) -> Iterator[dict[str, Any]]:
        """Yields what the upstreams recorded."""
        for path in sorted(self.folder.glob("*.records")):
            for line in path.read_text().splitlines():
                yield json.loads(line)

    def client_settings(self) -> pathlib.Path:
        """Writes settings for buckthornctl and returns their file."""
        path = self.folder / "buckthornctl.jsonc"
        path.write_text(
            json.dumps(
                {
                    "log_url": self.log_url,
                    "daemon_url": f"http://{self.instances[-1].address('admin')}",
                    "publish_key": KEY,
                    "peer_key": KEY,
                    "author": "operator",
                }
            )
        )
        return path

    def _settings(self, instance: Instance) -> dict[str, Any]:
        return {
            "daemon_id": instance.name,
            "region": instance.region,
            "site": instance.site,
            "peer_listen": instance.address("peer"),
            "http_listen": instance.address("http"),
            "admin_listen": instance.address("admin"),
            "peer_address": instance.address("peer_near"),
            "remote_peer_address": instance.address("peer_far"),
            "http_address": instance.address("http_near"),
            "remote_http_address": instance.address("http_far"),
            "log_url": self.log_url_of(instance.region),
            "seeds": self.seeds.get(instance.region, []),
            "log_region": self.log_region,
            "publish_key": KEY,
            "peer_key": KEY,
            **self._daemon_settings,
        }

    def _link_command(self, command: dict[str, Any]) -> Any:
        with socket.create_connection((HOST, self._control_port), 5.0) as sock:
            sock.sendall(json.dumps(command).encode() + b"\n")
            with sock.makefile("rb") as answer:
                return json.loads(answer.readline())

    def spawn(self, name: str, module: str, *args: str) -> None:
        """Starts a module as a process of this fleet."""
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
        with log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *args],
                stdout=log,
                stderr=log,
                env=environment,
            )

    def _wait_for_port(self, port: int) -> None:
        def answers() -> bool:
            with socket.socket() as probe:
                return probe.connect_ex((HOST, port)) == 0

        self.wait_until(answers, 10.0, f"port {port}")
