"""Addresses of other regions, from their summaries and from the log.

After a long partition the addresses of the last summary may all be dead, on
both sides. Then the contacts in the log show the way.
"""

from collections.abc import Sequence
import dataclasses

from buckthorn_core import ids

MAX_ANNOUNCED = 3


@dataclasses.dataclass
class _Page:
    from_log: list[ids.Address] = dataclasses.field(default_factory=list)
    time_ms: int = -1
    index: int = 0
    failures: int = 0


class AddressBook:
    """Chooses an address of a region, another one after each failure."""

    def __init__(self) -> None:
        self._pages: dict[ids.RegionName, _Page] = {}

    def _page(self, region: ids.RegionName) -> _Page:
        return self._pages.setdefault(region, _Page())

    def add_from_log(
        self,
        region: ids.RegionName,
        addresses: Sequence[ids.Address],
        time_ms: int,
    ) -> None:
        """Notes the contacts of a record, unless a later one is known."""
        page = self._page(region)
        if time_ms >= page.time_ms:
            page.from_log = list(addresses)
            page.time_ms = time_ms

    def choose(
        self, region: ids.RegionName, announced: Sequence[ids.Address]
    ) -> ids.Address | None:
        """Returns the address to use now, or None if none is known.

        Args:
            region: The region.
            announced: Addresses of its last summary; they come first.
        """
        page = self._page(region)
        known = [*announced[:MAX_ANNOUNCED], *page.from_log]
        found = list(dict.fromkeys(known))
        return found[page.index % len(found)] if found else None

    def record_failure(self, region: ids.RegionName) -> None:
        """Notes that the address chosen last did not answer."""
        page = self._page(region)
        page.index += 1
        page.failures += 1

    def record_success(self, region: ids.RegionName) -> None:
        """Notes that the address chosen last answered."""
        self._page(region).failures = 0

    def needs_log_contacts(self) -> bool:
        """Returns whether a region stayed silent on several addresses."""
        return any(p.failures >= MAX_ANNOUNCED for p in self._pages.values())
