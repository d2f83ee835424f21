"""A loopback proxy that delays, resets, or silences connections."""

import contextlib
import enum
import socket
import threading
import time

PIECE_BYTES = 65_536
POLL_S = 0.05


class Mode(enum.Enum):
    """What happens to bytes on their way."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"


class Proxy:
    """Passes connections on to one address.

    Attributes:
        mode: What happens to bytes; a connection that has been silent stays
            so, as if something on the way had forgotten it.
        delay_s: How long bytes are delayed.
    """

    def __init__(self, target):
        host, _, port = target.partition(":")
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.mode = Mode.PASS
        self.delay_s = 0.05
        self._socks = set()
        self._closed = False
        self._thread = threading.Thread(target=self._accept, daemon=True)

    def start(self):
        self._thread.start()
        return self

    def close(self):
        self._closed = True
        self._listener.close()
        self.reset()

    def reset(self):
        """Resets all connections."""
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        for sock in list(self._socks):
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                sock.shutdown(socket.SHUT_RDWR)
                sock.close()
        self._socks.clear()

    def _accept(self):
        while not self._closed:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            try:
                far = socket.create_connection(self._target, 1.0)
            except OSError:
                near.close()
                continue
            self._socks |= {near, far}
            for source, sink in ((near, far), (far, near)):
                threading.Thread(
                    target=self._pump, args=(source, sink), daemon=True
                ).start()

    def _pump(self, source, sink):
        silent = False
        with contextlib.suppress(OSError):
            while data := source.recv(PIECE_BYTES):
                silent = silent or self.mode is Mode.SILENT
                if silent:
                    continue
                if self.mode is Mode.DELAY:
                    time.sleep(self.delay_s)
                sink.sendall(data)
        if not silent:
            with contextlib.suppress(OSError):
                sink.shutdown(socket.SHUT_WR)
