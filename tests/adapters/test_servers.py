"""Closing of keep-alive connections when the server drains or stops."""

import http.client
import socket

import pytest

from buckthorn_adapters import servers
from buckthorn_standins import fleet


@pytest.fixture
def server():
    found = servers.HttpServer(
        f"127.0.0.1:{fleet.Ports().take()}",
        2,
        lambda exchange: exchange.respond(200, b"ok", "text/plain"),
    )
    found.start()
    yield found
    found.close()


def connect(server: servers.HttpServer) -> http.client.HTTPConnection:
    conn = http.client.HTTPConnection("127.0.0.1", server.port, timeout=5)
    conn.request("GET", "/")
    assert conn.getresponse().read() == b"ok"
    return conn


def test_draining_server_sends_connection_close(server):
    """Guards against requests on connections that are about to close."""
    conn = connect(server)
    server.drain()
    conn.request("GET", "/")
    resp = conn.getresponse()
    assert resp.read() == b"ok"
    assert resp.headers["Connection"] == "close"


def test_idle_connections_are_shut_down_before_the_server_stops(server):
    """Guards against a request that gets no response during a stop."""
    conn = connect(server)
    assert isinstance(conn.sock, socket.socket)
    server.close()
    assert conn.sock.recv(1) == b""
