"""Publication of changes by an experiment, past the link.

The first version comes from the files of a deployment by `buckthornctl`;
later ones are appended by this process, so that the start of a client does
not spread the changes out.
"""

import pathlib
import subprocess
import sys
import time
from typing import Any
from typing import NamedTuple
import uuid

import msgspec
import urllib3
import zstandard

from buckthorn_core import acceptance
from buckthorn_core import bundles
from buckthorn_core import ids
from buckthorn_core import records


class Accepted(NamedTuple):
    """An accepted version.

    Attributes:
        number: Its number.
        time_ms: When the log took its record, in ms since the epoch.
    """

    number: int
    time_ms: int


class LogReader:
    """Reads the configuration stream and applies it, as a daemon does.

    Attributes:
        acceptor: The acceptor that the records are applied to.
    """

    def __init__(self, url: str, key: str):
        self._url = f"{url}/v1/streams/{records.CONFIG_STREAM}/records"
        self._pool = urllib3.PoolManager(retries=False, timeout=5.0)
        self.acceptor = acceptance.Acceptor(key.encode(), key.encode())

    def append(self, data: bytes) -> int:
        """Appends a record and returns its offset."""
        body = zstandard.compress(data)
        answer = self._pool.request("POST", self._url, body=body)
        if answer.status != 200:
            raise RuntimeError(f"the log answered {answer.status}")
        return int(msgspec.json.decode(answer.data)["offset"])

    def read(self) -> list[tuple[acceptance.Outcome, int]]:
        """Applies new records; returns outcomes with times in ms."""
        start = self.acceptor.next_offset
        answer = self._pool.request(
            "GET", f"{self._url}?from={start}&limit=256"
        )
        if answer.status != 200:
            raise RuntimeError(f"the log answered {answer.status}")
        batch: dict[str, Any] = msgspec.msgpack.decode(answer.data)
        self.acceptor.set_log_start(ids.Offset(batch["first"]))
        return [
            (
                self.acceptor.apply_encoded(
                    ids.Offset(offset), zstandard.decompress(data)
                ),
                time_ms,
            )
            for offset, time_ms, data in batch["records"]
        ]


class Publisher:
    """Appends changed bundles to the log."""

    def __init__(self, url: str, key: str):
        self._key = key
        self._reader = LogReader(url, key)
        self._reader.read()

    @property
    def bundle(self) -> bundles.Bundle:
        """The accepted bundle."""
        return bundles.decode(self._reader.acceptor.raw)

    def publish(self, bundle: bundles.Bundle) -> Accepted:
        """Publishes a bundle and returns the version that it became.

        Raises:
            RuntimeError: It was not accepted.
        """
        self._reader.read()
        record = records.sign(
            records.Publication(
                id=ids.PublicationId(uuid.uuid4().hex),
                based_on=self._reader.acceptor.version,
                author="experiment",
                time_ms=time.time_ns() // 1_000_000,
                bundle=bundles.encode(bundle),
            ),
            self._key.encode(),
        )
        self._reader.append(records.encode(record))
        for outcome, time_ms in self._reader.read():
            if outcome.verdict is acceptance.Verdict.ACCEPTED:
                return Accepted(outcome.version.number, time_ms)
        raise RuntimeError("the publication was not accepted")

    def publish_small_change(self) -> Accepted:
        """Publishes the accepted bundle with one deadline raised by 1 ms."""
        bundle = self.bundle
        resources = dict(bundle.base.resources)
        name, old = next(iter(resources.items()))
        resources[name] = msgspec.structs.replace(
            old, deadline_ms=old.deadline_ms + 1
        )
        base = msgspec.structs.replace(bundle.base, resources=resources)
        return self.publish(msgspec.structs.replace(bundle, base=base))

    def publish_site_state(
        self, site: str, state: bundles.SiteState
    ) -> Accepted:
        """Publishes the accepted bundle with another state of a site."""
        bundle = self.bundle
        overlays = dict(bundle.overlays)
        name = ids.SiteName(site)
        overlays[name] = msgspec.structs.replace(overlays[name], state=state)
        return self.publish(msgspec.structs.replace(bundle, overlays=overlays))


def publish_files(folder: pathlib.Path, settings: pathlib.Path) -> None:
    """Publishes base and overlays with buckthornctl.

    Raises:
        subprocess.CalledProcessError: The publication failed.
    """
    subprocess.run(
        [
            sys.executable,
            "-m",
            "buckthorn_client.main",
            "publish",
            f"--folder={folder}",
            f"--cfg={settings}",
        ],
        check=True,
        capture_output=True,
    )
