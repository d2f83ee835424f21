"""Addresses of other regions, from their summaries and from the log.

After a long partition all addresses of the last summary may be dead, on both
sides. The contacts in the log are then the only way to reconnect.
"""

from collections.abc import Sequence
import dataclasses

from buckthorn_core import ids

# Addresses of a summary that are tried, and failures after which the log is
# read.
MAX_ANNOUNCED = 3


@dataclasses.dataclass
class _Region:
    log_addresses: list[ids.Address] = dataclasses.field(default_factory=list)
    log_time_ms: int = -1
    # Index of the address in use, modulo the number of addresses.
    index: int = 0
    consecutive_failures: int = 0


class AddressBook:
    """Chooses an address of a region, and the next one after a failure."""

    def __init__(self) -> None:
        self._regions: dict[ids.RegionName, _Region] = {}

    def _entry(self, region: ids.RegionName) -> _Region:
        return self._regions.setdefault(region, _Region())

    def add_from_log(
        self,
        region: ids.RegionName,
        addresses: Sequence[ids.Address],
        time_ms: int,
    ) -> None:
        """Stores the contacts of a record, unless a later one is known.

        Args:
            region: The region.
            addresses: The addresses in the record.
            time_ms: Time of the record, in ms since the epoch.
        """
        entry = self._entry(region)
        if time_ms >= entry.log_time_ms:
            entry.log_addresses = list(addresses)
            entry.log_time_ms = time_ms

    def choose(
        self, region: ids.RegionName, announced: Sequence[ids.Address]
    ) -> ids.Address | None:
        """Returns the address to use, or None if none is known.

        Args:
            region: The region.
            announced: Addresses of its last summary; they come first.
        """
        entry = self._entry(region)
        known = [*announced[:MAX_ANNOUNCED], *entry.log_addresses]
        addresses = list(dict.fromkeys(known))
        return addresses[entry.index % len(addresses)] if addresses else None

    def record_failure(self, region: ids.RegionName) -> None:
        """Moves on to the next address, as the last one didn't answer."""
        entry = self._entry(region)
        entry.index += 1
        entry.consecutive_failures += 1

    def record_success(self, region: ids.RegionName) -> None:
        """Resets the failures, as the address in use answered."""
        self._entry(region).consecutive_failures = 0

    def needs_log_contacts(self) -> bool:
        """Returns whether several addresses of a region didn't answer."""
        return any(
            entry.consecutive_failures >= MAX_ANNOUNCED
            for entry in self._regions.values()
        )
