"""Daemons on a fake clock, log and channel, otherwise as in production."""

import random
import sys

from buckthorn_core import entries
from buckthorn_core import ids
from buckthorn_core import records
from buckthorn_daemon import daemon
from buckthorn_daemon import jobs
from buckthorn_daemon import settings
from tests.fakes import bundles
from tests.fakes import channels
from tests.fakes import clocks
from tests.fakes import logs

STEP_S = 0.1
CHECKPOINT_S = 60.0


class Node:
    """One daemon; `step` runs its due jobs."""

    def __init__(self, mesh: "Mesh", cfg: settings.Settings):
        self.cfg = cfg
        self.daemon = daemon.Daemon(cfg)
        self.shared = self.daemon.shared
        self.reader = self.daemon._reader
        self.frozen = False
        self._tasks: list = []
        log = mesh.log.view_for(cfg.daemon_id)
        self.daemon._log = log
        self.reader._log = log
        self.daemon._gossiper._log = log
        self.shared.rng.seed(mesh.rng.random())
        self.shared.client = mesh.channel.client(self.shared.identity)
        self.daemon._scheduler.submit = self._tasks.append
        mesh.channel.serve(self.shared.identity, self.daemon._on_message)

    @property
    def version(self) -> int:
        return self.shared.holder.version.number

    @property
    def live_members(self) -> set[str]:
        """Ids of the members that this daemon considers live."""
        return {m.id for m in self.shared.membership.members()}

    def step(self, now_s: float) -> None:
        for job in self.daemon._scheduler._jobs:
            if job.is_due(now_s):
                job.mark_running()
                job.run()
        while self._tasks:
            task = self._tasks.pop(0)
            jobs.Job("task", lambda: 0.0, task).run()


class Mesh:
    """Daemons in two regions; the log is in region `near`."""

    def __init__(self, monkeypatch, seed: int = 1):
        self.rng = random.Random(seed)
        self.clock = clocks.Clock()
        self.log = logs.FakeLog(self.clock)
        self.channel = channels.Channel(self.rng)
        self.nodes: dict[str, Node] = {}
        self.versions: dict[str, list[int]] = {}
        self.upstreams: dict[str, str] = {}
        self._publications = 0
        for name, module in list(sys.modules.items()):
            if name.startswith("buckthorn_daemon.") and hasattr(module, "time"):
                monkeypatch.setattr(module, "time", self.clock)
        # Jobs take the jitter of their runs from the random module.
        monkeypatch.setattr(jobs, "random", self.rng)

    def start(self, name: str, site: str = "n1", **changes) -> Node:
        """Starts a daemon, or restarts it without state."""
        port = 30_000 + int(name.lstrip("abcdefghijklmnopqrstuvwxyz"))
        address = f"127.0.0.1:{port}"
        key = bundles.KEY.decode()
        cfg = settings.Settings(
            daemon_id=ids.DaemonId(name),
            region=ids.RegionName("far" if site == "f1" else "near"),
            site=ids.SiteName(site),
            peer_listen=address,
            http_listen=f"127.0.0.1:{port + 10_000}",
            admin_listen=f"127.0.0.1:{port + 20_000}",
            log_url="http://127.0.0.1:1",
            log_region=ids.RegionName("near"),
            publish_key=key,
            peer_key=key,
            checkpoint_s=CHECKPOINT_S,
            **changes,
        )
        node = Node(self, settings._with_default_addresses(cfg))
        self.nodes[name] = node
        self.versions[name] = []
        return node

    def stop(self, name: str) -> None:
        self.channel.stop(self.nodes.pop(name).cfg.peer_address)

    def freeze(self, name: str) -> None:
        node = self.nodes[name]
        node.frozen = True
        self.channel.silent.add(node.cfg.peer_address)

    def unfreeze(self, name: str) -> None:
        node = self.nodes[name]
        node.frozen = False
        self.channel.silent.discard(node.cfg.peer_address)

    def cut(self, source: str, target: str, both: bool = True) -> None:
        """Cuts the link from one daemon to another, or in both directions."""
        pair = self.address(source), self.address(target)
        self.channel.cut.add(pair)
        if both:
            self.channel.cut.add((pair[1], pair[0]))

    def routing_daemons(self, name: str, among=None) -> list[str]:
        """Returns the daemons that route requests to an upstream's daemon."""
        service = self.upstreams[name]
        return [
            other
            for other, node in self.nodes.items()
            if other != name
            and (among is None or other in among)
            and name in {e.daemon for e in node.shared.endpoints.local(service)}
        ]

    def address(self, name: str) -> ids.Address:
        return self.nodes[name].cfg.peer_address

    def publish(self, based_on=None, service: str = "stock") -> int:
        """Appends a publication and returns its offset."""
        self._publications += 1
        if based_on is None:
            based_on = max(
                (n.shared.holder.version for n in self.nodes.values()),
                key=lambda v: v.number,
            )
        record = bundles.publication(
            f"p{self._publications}", based_on, service, self.log.epoch
        )
        return self.log.append(records.CONFIG_STREAM, records.encode(record))

    def run(self, span_s: float, until=None) -> bool:
        """Advances the clock; returns whether the condition became true.

        Args:
            span_s: Longest time to run, in seconds.
            until: Condition that ends the run; None to run the whole span.
        """
        end_s = self.clock.now_s + span_s
        while self.clock.now_s < end_s:
            self.clock.now_s += STEP_S
            for name, node in list(self.nodes.items()):
                if not node.frozen:
                    self._register_upstream(name, node)
                    node.step(self.clock.now_s)
                self._check_versions_increase(name, node)
            if until is not None and until():
                return True
        return until is None

    def all_at_version(self, number: int) -> bool:
        return all(
            n.version == number and n.shared.holder.ready
            for n in self.nodes.values()
        )

    def log_readers(self) -> list[str]:
        """Returns the daemons of the log's region that are log readers."""
        near = [n for n in self.nodes.values() if n.cfg.region == "near"]
        return [n.cfg.daemon_id for n in near if n.shared.holds("log_reader")]

    def first_relays(self, region: str = "near") -> list[str]:
        """Returns the daemons of a region that act as its first relay."""
        return [
            name
            for name, node in self.nodes.items()
            if node.cfg.region == region and node.shared.is_first_relay()
        ]

    def membership_complete(self) -> bool:
        """Returns whether all daemons know all members of their regions."""
        return all(
            node.live_members == self._region(node)
            for node in self.nodes.values()
        )

    def roles_agree(self) -> bool:
        """Returns whether all daemons derive the same roles."""
        return all(
            set(node.shared.membership.role_candidates()) == self._region(node)
            for node in self.nodes.values()
        )

    def _region(self, node: Node) -> set[str]:
        return {
            name
            for name, other in self.nodes.items()
            if other.cfg.region == node.cfg.region
        }

    def summary(self) -> str:
        return " ".join(
            f"{name}:v{node.version}"
            f"{'' if node.shared.holder.ready else '?'}"
            f"/{len(node.live_members)}"
            for name, node in self.nodes.items()
        )

    def _register_upstream(self, name: str, node: Node) -> None:
        """Registers the upstream, as its heartbeat does."""
        service = self.upstreams.get(name)
        me = node.shared.membership.local_member
        if service is not None and me.service != service:
            node.shared.membership.update_local(
                service=service,
                upstream_state=entries.UpstreamState.UP,
                slots=4,
                connections=8,
            )

    def _check_versions_increase(self, name: str, node: Node) -> None:
        versions = self.versions[name]
        if not versions or node.version != versions[-1]:
            assert not versions or node.version > versions[-1], (
                f"{name} moved back"
            )
            versions.append(node.version)
