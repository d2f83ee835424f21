"""Many callers of one daemon that send or read in unusual ways."""

import contextlib
import selectors
import socket
import threading
import time

# The crowd has settled when nothing could be sent for this long, in seconds.
QUIET_S = 1.0
# The longest time that a crowd sends, in seconds.
SETTLE_S = 60.0
# Size of a slow caller's receive buffer, in bytes.
RECEIVE_BUFFER = 4_096
# What a slow caller reads at a time, in bytes, and how often, in seconds.
SLOW_READ = 1_024
SLOW_READ_INTERVAL_S = 0.1
SEND_SIZE = 262_144


class _Caller:
    def __init__(self, address, data, reads):
        host, _, port = address.partition(":")
        self.sock = socket.socket()
        self.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER
        )
        self.sock.connect((host, int(port)))
        self.sock.setblocking(False)
        self.left = memoryview(data)
        self.reads = reads

    def send(self):
        """Sends what the daemon takes; returns whether that was anything."""
        sent = self.sock.send(self.left[:SEND_SIZE])
        self.left = self.left[sent:]
        return sent > 0


class Crowd:
    """Callers that send their bytes and keep their connections open.

    Attributes:
        peak_descriptors: The most descriptors that the daemon had open.
    """

    def __init__(self, host, data, slow_readers=0):
        """Connects the callers.

        Args:
            host: The host whose daemon they call.
            data: What each of them sends.
            slow_readers: How many of them read at all, slowly.
        """
        self._host = host
        self._callers = [
            _Caller(host.ports["outbound"], sent, number < slow_readers)
            for number, sent in enumerate(data)
        ]
        self.peak_descriptors = 0
        self._settled = threading.Event()
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=run, daemon=True)
            for run in (self._send, self._read, self._watch)
        ]

    def start(self):
        for thread in self._threads:
            thread.start()
        return self

    def settle(self):
        """Waits until the callers have sent all that the daemon takes."""
        assert self._settled.wait(SETTLE_S)

    def close(self):
        self._stopped.set()
        for thread in self._threads:
            thread.join(SETTLE_S)
        for caller in self._callers:
            caller.sock.close()

    def _send(self):
        selector = selectors.DefaultSelector()
        for caller in self._callers:
            selector.register(caller.sock, selectors.EVENT_WRITE, caller)
        last_s = time.monotonic()
        while time.monotonic() - last_s < QUIET_S:
            if self._stopped.is_set():
                return
            ready = selector.select(0.05)
            for key, _ in ready:
                caller = key.data
                try:
                    progress = caller.send()
                except BlockingIOError:
                    continue
                except OSError:
                    # The daemon has closed the connection.
                    caller.left = caller.left[:0]
                    progress = False
                if progress:
                    last_s = time.monotonic()
                if not caller.left:
                    selector.unregister(caller.sock)
        self._settled.set()

    def _read(self):
        while not self._stopped.wait(SLOW_READ_INTERVAL_S):
            for caller in self._callers:
                if caller.reads:
                    with contextlib.suppress(OSError):
                        caller.sock.recv(SLOW_READ)

    def _watch(self):
        while not self._stopped.wait(0.02):
            with contextlib.suppress(OSError):
                self.peak_descriptors = max(
                    self.peak_descriptors, self._host.descriptors()
                )
