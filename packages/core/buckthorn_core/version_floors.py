"""How a daemon that keeps nothing learns the lowest version to serve."""

from buckthorn_core import ids

# A version is enforced at a site once most of its daemons have it; three
# answers make it unlikely that all of them are behind.
QUORUM = 3


class FloorSearch:
    """Collects what shows which version a site already enforces."""

    def __init__(self, site: ids.SiteName, started_s: float):
        self._site = site
        self._started_s = started_s
        self._answers: dict[ids.DaemonId, ids.VersionNumber] = {}
        self._log_end = False

    def add_confirmation(self, confirmed_s: float) -> None:
        """Notes when a log reader last found the held version the latest.

        A confirmation from after the start covers every version that was in
        force before it.
        """
        if confirmed_s >= self._started_s:
            self._log_end = True

    def add_answer(
        self,
        peer: ids.DaemonId,
        site: ids.SiteName,
        number: ids.VersionNumber,
    ) -> None:
        """Notes the version that a member of the own site enforces.

        Number 0 is ignored: that member doesn't know the floor itself.
        """
        if site == self._site and number > 0:
            self._answers[peer] = max(number, self._answers.get(peer, number))

    def floor(self, reachable: int) -> ids.VersionNumber | None:
        """Returns the floor, or None while it is not known.

        Args:
            reachable: Number of live members of the own site, without the
                daemon itself.
        """
        if self._log_end:
            return max(self._answers.values(), default=ids.VersionNumber(0))
        needed = max(1, min(QUORUM, reachable))
        if len(self._answers) < needed:
            return None
        return max(self._answers.values())
