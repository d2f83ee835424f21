"""Messages between daemons over pynng."""

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
# Each kept socket costs NNG's timer thread 0.08% of a core; a new connection to
# the next member to probe costs less.
MAX_SOCKETS = 4
# Two may wait for indirect probes while the others answer.
SERVER_THREADS = 4
# By default NNG starts several threads for each processor core.
_NNG_TASK_THREADS = (1, 2)
_NNG_OTHER_THREADS = ((2, 1), (3, 1), (4, 1), (5, 2), (6, 1), (7, 1))

Handler = Callable[[messages.Envelope], messages.Payload]
_logger = loguru.logger.bind(module=__name__)


def limit_nng_threads() -> None:
    """Keeps NNG's thread pools small; call it before the first socket."""
    for parameter, value in (_NNG_TASK_THREADS, *_NNG_OTHER_THREADS):
        pynng.lib.nng_init_set_parameter(parameter, value)


class Identity:
    """Who sends messages from this process.

    Attributes:
        daemon: Id of the daemon.
        address: Its peer address inside its region.
        remote_address: Its peer address for other regions.
        region: Its region.
        site: Its site.
        key: Key that authenticates messages.
        version: Returns the number of the version in force.
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
        """Encodes a message from this process."""
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
    """Answers up to `SERVER_THREADS` messages at a time.

    The handler must be safe for several threads, and only indirect probes
    may block it: a daemon that does not answer in time is taken for dead.
    """

    def __init__(
        self,
        listen: ids.Address,
        identity: Identity,
        control: traffic.ControlTraffic,
        handler: Handler,
    ):
        self._listen = listen
        self._identity = identity
        self._control = control
        self._handler = handler
        self._threads: list[threading.Thread] = []
        self._contexts: list[pynng.Context] = []
        self._socket: pynng.Rep0 | None = None
        self.bad_messages = 0

    def start(self) -> None:
        """Listens and starts to answer.

        Raises:
            errors.PeerError: The address can't be listened on.
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
                target=self._run,
                args=(context,),
                name=f"peer-server-{index}",
                daemon=True,
            )
            self._threads.append(thread)
            thread.start()

    def close(self) -> None:
        """Stops answering."""
        if self._socket is not None:
            for context in self._contexts:
                context.close()
            self._socket.close()
            for thread in self._threads:
                thread.join(timeout=REQUEST_TIMEOUT_S)

    def _run(self, context: pynng.Context) -> None:
        while True:
            try:
                data = context.recv()
                context.send(self._answer(data))
            except pynng.Closed:
                return
            except pynng.NNGException:
                self.bad_messages += 1

    def _answer(self, data: bytes) -> bytes:
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
        sealed = self._identity.encode(payload, scope)
        self._control.add(messages.kind(payload), scope, len(sealed))
        return sealed


class PeerClient:
    """Sends messages; sockets are kept in a bounded cache."""

    def __init__(self, identity: Identity, control: traffic.ControlTraffic):
        self._identity = identity
        self._control = control
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
        """Sends a message and returns the answer.

        Raises:
            errors.PeerError: There was no answer in time, it can't be read,
                or the peer failed.
        """
        socket = self._take(address)
        sealed = self._identity.encode(payload, scope)
        try:
            socket.send_timeout = socket.recv_timeout = int(timeout_s * 1000)
            socket.send(sealed)
            self._control.add(messages.kind(payload), scope, len(sealed))
            data = socket.recv()
        except pynng.NNGException as exc:
            socket.close()
            raise errors.PeerError(
                errors.Code.PEER_UNAVAILABLE, f"{address}: {exc}"
            ) from exc
        self._give_back(address, socket)
        envelope = messages.decode(data, self._identity.key)
        if isinstance(envelope.payload, messages.ErrorReply):
            raise errors.PeerError(
                errors.Code.PEER_UNAVAILABLE, envelope.payload.message
            )
        return envelope

    def _take(self, address: ids.Address) -> pynng.Req0:
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

    def _give_back(self, address: ids.Address, socket: pynng.Req0) -> None:
        old: list[pynng.Req0] = []
        with self._lock:
            self._idle.setdefault(address, []).append(socket)
            self._idle.move_to_end(address)
            if len(self._idle) > MAX_SOCKETS:
                _, old = self._idle.popitem(last=False)
        for stale in old:
            stale.close()
