"""Fake channel between daemons that loses, duplicates and reorders."""

from collections.abc import Callable
import contextlib
import random

from buckthorn_adapters import peers
from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import messages
from buckthorn_core import traffic

Handler = Callable[[messages.Envelope], messages.Payload]


class Channel:
    """Carries requests between daemons by peer address.

    Attributes:
        cut: Pairs of addresses; no message passes from the first to the
            second.
        silent: Addresses that accept requests and never reply.
        slow: Addresses whose replies mostly arrive after the timeout.
        loss_rate: Share of messages lost, in each direction.
        response_loss_rate: Share of replies lost after the request has taken
            effect.
        duplicate_rate: Share of requests that are delivered again later, out
            of order.
        sent: Requests that were delivered, as (sender, address, payload).
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._servers: dict[ids.Address, tuple[peers.Identity, Handler]] = {}
        self._delayed: list[tuple[ids.Address, bytes]] = []
        self.cut: set[tuple[ids.Address, ids.Address]] = set()
        self.silent: set[ids.Address] = set()
        self.slow: set[ids.Address] = set()
        self.loss_rate = 0.0
        self.response_loss_rate = 0.0
        self.duplicate_rate = 0.0
        self.sent: list[tuple[ids.DaemonId, ids.Address, object]] = []

    def serve(self, identity: peers.Identity, handler: Handler) -> None:
        self._servers[identity.address] = (identity, handler)

    def stop(self, address: ids.Address) -> None:
        self._servers.pop(address, None)

    def client(self, identity: peers.Identity) -> "Client":
        return Client(self, identity)

    def request(
        self, identity: peers.Identity, address: ids.Address, data: bytes
    ) -> bytes:
        source = identity.address
        if self._lost(source, address):
            raise _unavailable(address)
        if self._delayed and self._rng.random() < self.duplicate_rate:
            index = self._rng.randrange(len(self._delayed))
            with contextlib.suppress(errors.BuckthornError):
                self._deliver(*self._delayed.pop(index))
        if self._rng.random() < self.duplicate_rate:
            self._delayed.append((address, data))
        reply = self._deliver(address, data)
        late = {source, address} & self.slow and self._rng.random() < 0.8
        late = late or self._rng.random() < self.response_loss_rate
        if reply is None or late or self._lost(address, source):
            raise _unavailable(address)
        return reply

    def _deliver(self, address: ids.Address, data: bytes) -> bytes | None:
        server = self._servers.get(address)
        if server is None or address in self.silent:
            return None
        identity, handler = server
        envelope = messages.decode(data, identity.key)
        self.sent.append((envelope.sender, address, envelope.payload))
        payload = handler(envelope)
        return identity.encode(payload, traffic.Scope.LOCAL)

    def _lost(self, source: ids.Address, target: ids.Address) -> bool:
        return (
            source,
            target,
        ) in self.cut or self._rng.random() < self.loss_rate


class Client:
    """Fake with the interface of `peers.PeerClient`."""

    def __init__(self, channel: Channel, identity: peers.Identity):
        self._channel = channel
        self._identity = identity

    def request(
        self,
        address: ids.Address,
        payload: messages.Payload,
        scope: traffic.Scope = traffic.Scope.LOCAL,
        timeout_s: float = peers.REQUEST_TIMEOUT_S,
    ) -> messages.Envelope:
        del timeout_s
        encoded = self._identity.encode(payload, scope)
        reply = self._channel.request(self._identity, address, encoded)
        return messages.decode(reply, self._identity.key)


def _unavailable(address: ids.Address) -> errors.PeerError:
    return errors.PeerError(errors.Code.PEER_UNAVAILABLE, address)
