"""Request/reply messages between daemons over pynng."""

import collections
from collections.abc import Callable
import threading

import loguru
import pynng

from buckthorn_core import errors
from buckthorn_core import ids
from buckthorn_core import messages
from buckthorn_core import traffic

REQUEST_TIMEOUT_S = 2.0
# Each open socket costs 0.08% of a core in NNG's timer thread, more than a new
# connection to the next member to probe.
MAX_SOCKETS = 4
# Two threads may wait for indirect probes while the others serve.
SERVER_THREADS = 4
# By default NNG starts several threads for each processor core.
_NNG_TASK_THREADS = (1, 2)
_NNG_OTHER_THREADS = ((2, 1), (3, 1), (4, 1), (5, 2), (6, 1), (7, 1))

Handler = Callable[[messages.Envelope], messages.Payload]
_logger = loguru.logger.bind(module=__name__)


def limit_nng_threads() -> None:
    """Limits NNG's thread pools; call it before opening the first socket."""
    for parameter, value in (_NNG_TASK_THREADS, *_NNG_OTHER_THREADS):
        pynng.lib.nng_init_set_parameter(parameter, value)


class Identity:
    """Sender of the messages of this process.

    Attributes:
        daemon: Id of the daemon.
        address: Its peer address inside its region.
        remote_address: Its peer address for other regions.
        region: Its region.
        site: Its site.
        key: Key that authenticates messages.
        version: Callable that returns the number of the version in force.
    """

    def __init__(
        self,
        daemon: ids.DaemonId,
        address: ids.Address,
        remote_address: ids.Address,
        region: ids.RegionName,
        site: ids.SiteName,
        key: bytes,
        version: Callable[[], ids.VersionNumber],
    ):
        self.daemon = daemon
        self.address = address
        self.remote_address = remote_address
        self.region = region
        self.site = site
        self.key = key
        self.version = version

    def encode(self, payload: messages.Payload, scope: traffic.Scope) -> bytes:
        """Encodes and authenticates a message from this process."""
        local = scope is traffic.Scope.LOCAL
        return messages.encode(
            messages.Envelope(
                format=messages.FORMAT,
                sender=self.daemon,
                address=self.address if local else self.remote_address,
                region=self.region,
                site=self.site,
                version=self.version(),
                payload=payload,
            ),
            self.key,
        )


class PeerServer:
    """Handles up to `SERVER_THREADS` messages at a time.

    The handler must be thread-safe, and only indirect probes may block it: a
    daemon that does not reply in time is considered dead.

    Attributes:
        bad_messages: Number of messages that failed to be received, decoded
            or handled.
    """

    def __init__(
        self,
        listen: ids.Address,
        identity: Identity,
        control_traffic: traffic.ControlTraffic,
        handler: Handler,
    ):
        self._listen = listen
        self._identity = identity
        self._control_traffic = control_traffic
        self._handler = handler
        self._threads: list[threading.Thread] = []
        self._contexts: list[pynng.Context] = []
        self._socket: pynng.Rep0 | None = None
        self.bad_messages = 0

    def start(self) -> None:
        """Binds the address and starts handling messages.

        Raises:
            errors.PeerError: The address can't be bound.
        """
        try:
            self._socket = pynng.Rep0(
                listen=f"tcp://{self._listen}",
                recv_max_size=messages.MAX_MESSAGE_BYTES,
            )
        except pynng.NNGException as exc:
            raise errors.PeerError(
                errors.Code.PEER_UNAVAILABLE, f"{self._listen}: {exc}"
            ) from exc
        for index in range(SERVER_THREADS):
            context = self._socket.new_context()
            self._contexts.append(context)
            thread = threading.Thread(
                target=self._serve,
                args=(context,),
                name=f"peer-server-{index}",
                daemon=True,
            )
            self._threads.append(thread)
            thread.start()

    def close(self) -> None:
        """Stops handling messages."""
        if self._socket is not None:
            for context in self._contexts:
                context.close()
            self._socket.close()
            for thread in self._threads:
                thread.join(timeout=REQUEST_TIMEOUT_S)

    def _serve(self, context: pynng.Context) -> None:
        while True:
            try:
                data = context.recv()
                context.send(self._handle_request(data))
            except pynng.Closed:
                return
            except pynng.NNGException:
                self.bad_messages += 1

    def _handle_request(self, data: bytes) -> bytes:
        scope = traffic.Scope.LOCAL
        payload: messages.Payload
        try:
            envelope = messages.decode(data, self._identity.key)
            if envelope.region != self._identity.region:
                scope = traffic.Scope.REGION
            payload = self._handler(envelope)
        except errors.BuckthornError as exc:
            self.bad_messages += 1
            payload = messages.ErrorReply(exc.code.value, exc.message)
        except Exception:
            _logger.exception("peer_handler_failed")
            payload = messages.ErrorReply("internal", "the handler failed")
        encoded = self._identity.encode(payload, scope)
        self._control_traffic.add(messages.kind(payload), scope, len(encoded))
        return encoded


class PeerClient:
    """Sends messages; idle sockets are kept in an LRU cache."""

    def __init__(
        self, identity: Identity, control_traffic: traffic.ControlTraffic
    ):
        self._identity = identity
        self._control_traffic = control_traffic
        self._lock = threading.Lock()
        self._idle: collections.OrderedDict[ids.Address, list[pynng.Req0]] = (
            collections.OrderedDict()
        )

    def close(self) -> None:
        """Closes all sockets."""
        with self._lock:
            for sockets in self._idle.values():
                for socket in sockets:
                    socket.close()
            self._idle.clear()

    def request(
        self,
        address: ids.Address,
        payload: messages.Payload,
        scope: traffic.Scope = traffic.Scope.LOCAL,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> messages.Envelope:
        """Sends a message and returns the reply.

        Raises:
            errors.PeerError: No valid reply arrived in time, or the peer
                replied with an error.
        """
        socket = self._acquire_socket(address)
        encoded = self._identity.encode(payload, scope)
        try:
            socket.send_timeout = socket.recv_timeout = int(timeout_s * 1000)
            socket.send(encoded)
            self._control_traffic.add(
                messages.kind(payload), scope, len(encoded)
            )
            data = socket.recv()
        except pynng.NNGException as exc:
            socket.close()
            raise errors.PeerError(
                errors.Code.PEER_UNAVAILABLE, f"{address}: {exc}"
            ) from exc
        self._release_socket(address, socket)
        envelope = messages.decode(data, self._identity.key)
        if isinstance(envelope.payload, messages.ErrorReply):
            raise errors.PeerError(
                errors.Code.PEER_UNAVAILABLE, envelope.payload.message
            )
        return envelope

    def _acquire_socket(self, address: ids.Address) -> pynng.Req0:
        with self._lock:
            sockets = self._idle.get(address)
            if sockets:
                return sockets.pop()
        try:
            return pynng.Req0(
                dial=f"tcp://{address}",
                block_on_dial=False,
                recv_max_size=messages.MAX_MESSAGE_BYTES,
            )
        except pynng.NNGException as exc:
            raise errors.PeerError(
                errors.Code.PEER_UNAVAILABLE, f"{address}: {exc}"
            ) from exc

    def _release_socket(self, address: ids.Address, socket: pynng.Req0) -> None:
        evicted: list[pynng.Req0] = []
        with self._lock:
            self._idle.setdefault(address, []).append(socket)
            self._idle.move_to_end(address)
            if len(self._idle) > MAX_SOCKETS:
                _, evicted = self._idle.popitem(last=False)
        for stale in evicted:
            stale.close()
