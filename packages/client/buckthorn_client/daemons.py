"""Client of a daemon's admin interface."""

from typing import TypeVar
import urllib.parse

import msgspec
import urllib3

from buckthorn_adapters import limited_responses
from buckthorn_core import burn_reports
from buckthorn_core import errors
from buckthorn_core import fleets

TIMEOUT_S = 5.0
MAX_ANSWER_BYTES = 4 * 1_048_576

_Answer = TypeVar("_Answer")


class DaemonClient:
    """Asks one daemon about the whole fleet."""

    def __init__(self, url: str):
        self._url = url.rstrip("/")
        self._pool = limited_responses.PoolManager(
            retries=False, timeout=TIMEOUT_S
        )

    def fleet(self) -> fleets.FleetStatus:
        """Returns the status of the fleet.

        Raises:
            errors.PeerError: The daemon did not answer as expected.
        """
        return self._get("/v1/fleet", fleets.FleetStatus)

    def burn(self, service: str, limit: int) -> burn_reports.Report:
        """Returns burn rates, of one service if it is not empty.

        Raises:
            errors.PeerError: The daemon did not answer as expected.
        """
        query = urllib.parse.urlencode({"service": service, "limit": limit})
        return self._get(f"/v1/burn?{query}", burn_reports.Report)

    def _get(self, path: str, target: type[_Answer]) -> _Answer:
        try:
            resp = self._pool.request(
                "GET", f"{self._url}{path}", preload_content=False
            )
            body = limited_responses.read_body(
                resp, MAX_ANSWER_BYTES, TIMEOUT_S
            )
            resp.release_conn()
        except urllib3.exceptions.HTTPError as exc:
            raise _unavailable(self._url, str(exc)) from exc
        if resp.status != 200:
            raise _unavailable(
                self._url, f"status {resp.status}, {len(body)} bytes"
            )
        try:
            return msgspec.json.decode(body, type=target)
        except msgspec.DecodeError as exc:
            raise _unavailable(self._url, str(exc)) from exc


def _unavailable(url: str, text: str) -> errors.PeerError:
    return errors.PeerError(
        errors.Code.PEER_UNAVAILABLE,
        f"{url}: {text}. Name the admin address of another daemon with"
        " --daemon=http://IP:PORT",
    )
