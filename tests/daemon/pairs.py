"""An egress and an ingress in one process, with a scripted upstream."""

from collections.abc import Callable
import pathlib
import socket
import threading

from buckthorn_adapters import servers
from buckthorn_client import files
from buckthorn_core import bundles
from buckthorn_core import entries
from buckthorn_core import ids
from buckthorn_daemon import egress
from buckthorn_daemon import ingress
from buckthorn_daemon import settings
from buckthorn_daemon import state

DEPLOY = pathlib.Path(__file__).parents[2] / "deploy" / "kulhus"
SITE = ids.SiteName("aarhus-havn")
KEY = b"k" * 16
SERVICE = ids.ServiceName("delivery-booking")
SILENCE_S = 0.8
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

Script = Callable[[socket.socket, bytes], None]


class _NoClaims:
    """Sends requests without a claim: these tests use no operation keys."""

    def run(self, ctx, send):
        del ctx
        send()


class SocketServer:
    """Runs a script for each connection, after reading a request head.

    Attributes:
        received: The first bytes of each connection, up to the end of the head
            or beyond.
        port: The TCP port.
    """

    def __init__(self, script: Script):
        self.received: list[bytes] = []
        self._script = script
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._run, args=(conn,), daemon=True
            ).start()

    def _run(self, conn: socket.socket) -> None:
        with conn:
            head = b""
            while b"\r\n\r\n" not in head:
                data = conn.recv(65_536)
                if not data:
                    return
                head += data
            self.received.append(head)
            try:
                self._script(conn, head)
            except OSError:
                return

    def stop_listening(self) -> None:
        # Without the shutdown, the thread in accept() keeps the port open.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()


def make_state(name: str, port: int = 1) -> state.State:
    address = ids.Address(f"127.0.0.1:{port}")
    shared = state.State(
        settings.Settings(
            daemon_id=ids.DaemonId(name),
            region=ids.RegionName("jylland"),
            site=SITE,
            peer_listen=address,
            http_listen=address,
            admin_listen=address,
            http_address=address,
            log_url="http://127.0.0.1:1",
            log_region=ids.RegionName("jylland"),
            publish_key="k" * 16,
            peer_key=KEY.decode(),
        )
    )
    raw = bundles.encode(files.BundleFiles(DEPLOY).load())
    version = bundles.VersionId(ids.VersionNumber(1), bundles.digest(raw))
    shared.apply(version, raw)
    shared.holder.confirm_floor()
    return shared


class Pair:
    """An egress and an ingress that are connected over loopback.

    Attributes:
        sender: State of the daemon with the egress.
        receiver: State of the daemon with the ingress.
        egress: The egress.
        ingress: The ingress.
        port: Port for callers.
        ingress_port: Port on which the ingress accepts requests of the egress.
    """

    def __init__(self) -> None:
        self.sender = make_state("sender")
        self.receiver = make_state("receiver")
        self.egress = egress.Egress(
            self.sender, _NoClaims(), lambda ctx, cause, seconds: None
        )
        self.ingress = ingress.Ingress(self.receiver)
        self.ingress.start()
        self._egress_server = self._serve(self.egress.handle)
        self._ingress_server = self._serve(self.ingress.handle)
        self.port = self._egress_server.port
        self.ingress_port = self._ingress_server.port

    def _serve(self, handler: servers.Handler) -> servers.HttpServer:
        server = servers.HttpServer("127.0.0.1:0", 8, handler)
        server.start()
        return server

    def connect(self, upstream: SocketServer, slots: int = 4) -> None:
        """Announces an upstream and adds the ingress as its endpoint."""
        self.announce(upstream.port, entries.UpstreamState.UP, slots)
        self.add_endpoint("receiver", self._ingress_server.port)

    def announce(
        self, port: int, upstream_state: entries.UpstreamState, slots: int = 4
    ) -> None:
        self.ingress.announce(
            ingress.Announcement(
                ids.ServiceName("delivery-booking"),
                port,
                upstream_state,
                slots,
                100,
            )
        )

    def add_endpoint(self, name: str, port: int) -> None:
        """Adds a daemon with a delivery-booking upstream for the egress."""
        record = make_state(name, port).membership.local_member
        values = {f: getattr(record, f) for f in record.__struct_fields__}
        values |= {
            "state": entries.MemberState.UP,
            "service": ids.ServiceName("delivery-booking"),
            "upstream_state": entries.UpstreamState.UP,
            "slots": 4,
        }
        self.sender.table.put(entries.Member(**values))

    def call(self, request: bytes, timeout_s: float = 10.0) -> bytes:
        """Sends bytes and returns all bytes received until the close."""
        address = ("127.0.0.1", self.port)
        with socket.create_connection(address, timeout_s) as sock:
            sock.sendall(request)
            return read_all(sock)

    def close(self) -> None:
        self.ingress.close()
        # Closing a server takes a second, for which tests need not wait.
        for server in (self._egress_server, self._ingress_server):
            threading.Thread(target=server.close, daemon=True).start()


def read_all(sock: socket.socket) -> bytes:
    data_read = b""
    while data := sock.recv(65_536):
        data_read += data
    return data_read


def decode_body(answer: bytes) -> bytes:
    """Returns the body of a response, with chunked encoding removed."""
    head, _, rest = answer.partition(b"\r\n\r\n")
    if b"chunked" not in head.lower():
        return rest
    body = b""
    while True:
        size, _, rest = rest.partition(b"\r\n")
        if int(size, 16) == 0:
            assert rest == b"\r\n"
            return body
        body += rest[: int(size, 16)]
        rest = rest[int(size, 16) + 2 :]
