"""Indirect probes, which must not keep a daemon from answering others."""

import socket
import threading

import pytest
from tests.fakes import bundles

from buckthorn_adapters import peers
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import messages
from buckthorn_core import traffic
from buckthorn_daemon import gossiping

ACK_TIMEOUT_S = 10.0


def make_identity(name: str, address: str) -> peers.Identity:
    return peers.Identity(
        ids.DaemonId(name),
        ids.Address(address),
        ids.Address(address),
        ids.RegionName("near"),
        ids.SiteName("n1"),
        bundles.KEY,
        lambda: ids.VersionNumber(1),
    )


@pytest.fixture
def address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def test_indirect_probes_do_not_delay_other_answers(address):
    """Guards against daemons that appear dead while they probe dead hosts.

    The failure of a rack would otherwise make live daemons suspect each other.
    """
    control = traffic.ControlTraffic()
    release = threading.Event()
    probing = threading.Semaphore(0)

    def handle(envelope):
        if isinstance(envelope.payload, messages.ProbeRequest):
            probing.release()
            release.wait(ACK_TIMEOUT_S)
            return messages.ProbeReply(False)
        return messages.Ack()

    server = peers.PeerServer(
        address, make_identity("a", address), control, handle
    )
    server.start()
    client = peers.PeerClient(make_identity("b", "127.0.0.1:1"), control)
    target = messages.ProbeRequest(ids.Address("127.0.0.1:1"))
    requesters = [
        threading.Thread(
            target=client.request, args=(address, target), daemon=True
        )
        for _ in range(gossiping.MAX_PROBES)
    ]
    try:
        for requester in requesters:
            requester.start()
        for _ in requesters:
            assert probing.acquire(timeout=ACK_TIMEOUT_S)
        reply = client.request(address, messages.Sync([]), timeout_s=2.0)
        assert isinstance(reply.payload, messages.Ack)
    finally:
        release.set()
        for requester in requesters:
            requester.join(ACK_TIMEOUT_S)
        client.close()
        server.close()


def test_number_of_indirect_probes_is_bounded(make_mesh):
    """Guards against probe requests that occupy all threads of the server."""
    mesh = make_mesh(1, near=3, far=0)
    gossiper = mesh.nodes["n0"].daemon._gossiper
    request = messages.ProbeRequest(ids.Address("127.0.0.1:1"))
    refused = []

    def request_during_probe(*args, **kwargs):
        # Another probe request arrives while this probe waits.
        try:
            gossiper.on_probe_request(request)
        except errors.PeerError as exc:
            refused.append(exc)
        raise errors.PeerError(errors.Code.PEER_UNAVAILABLE, "dead")

    gossiper._shared.client.request = request_during_probe
    assert not gossiper.on_probe_request(request).alive
    assert len(refused) == 1
    gossiper._shared.client.request = lambda *a, **k: None
    assert gossiper.on_probe_request(request).alive
