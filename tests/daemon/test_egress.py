"""Concurrency limit of the egress, and authentication between daemons."""

from concurrent import futures
import threading
import types

import pytest

from buckthorn_adapters import metrics
from buckthorn_core import errors
from buckthorn_core import selection_policies
from buckthorn_core import traffic
from buckthorn_daemon import egress
from buckthorn_daemon import headers

WAIT_S = 10.0
KEY = b"test-key-0123456789"


class _Holder:
    """Blocks requests until released, then reports that it is not ready."""

    current = object()

    def __init__(self):
        self.entered = threading.Semaphore(0)
        self.release = threading.Event()

    @property
    def ready(self):
        self.entered.release()
        assert self.release.wait(WAIT_S)
        return False


def test_caller_requests_use_only_their_share_of_threads():
    """Guards against a deadlock of daemons that wait for each other's threads.

    Requests of callers occupy threads while they wait for the ingress of other
    daemons. When they occupied all threads, requests missed their deadlines.
    """
    holder = _Holder()
    cfg = types.SimpleNamespace(
        http_threads=4, choice_policy=selection_policies.DEFAULT_POLICY
    )
    shared = types.SimpleNamespace(
        cfg=cfg,
        holder=holder,
        metrics=metrics.Metrics(traffic.ControlTraffic()),
    )
    daemon_egress = egress.Egress(
        shared, None, lambda ctx, cause, seconds: None
    )

    def code_of_refusal():
        with pytest.raises(errors.RequestError) as raised:
            daemon_egress.handle(None)
        assert raised.value.info.not_run
        return raised.value.code

    with futures.ThreadPoolExecutor(2) as pool:
        running = [pool.submit(code_of_refusal) for _ in range(2)]
        for _ in running:
            assert holder.entered.acquire(timeout=WAIT_S)
        assert code_of_refusal() is errors.Code.SLOTS_FULL
        holder.release.set()
        codes = {future.result(WAIT_S) for future in running}
    assert codes == {errors.Code.NOT_READY}
    assert code_of_refusal() is errors.Code.NOT_READY


def make_exchange(text: str) -> types.SimpleNamespace:
    return types.SimpleNamespace(headers={"buckthorn-hop": text})


@pytest.mark.parametrize(
    ("text", "service"),
    [
        (headers.hop("stock", KEY), "stock"),
        (headers.hop("stock", b"another key"), None),
        (headers.hop("stock", KEY).replace("stock", "order"), None),
        ("stock", None),
        ("", None),
    ],
)
def test_hop_header_is_accepted_only_if_signed(text, service):
    """Guards against callers that bypass routing and claims."""
    assert headers.hop_service(make_exchange(text), KEY) == service
