"""Search for the lowest version that a starting daemon may serve.

A daemon stores nothing across restarts, and must not serve an older version
than its site enforces already.
"""

from buckthorn_core import ids

# A version is enforced at a site once most of its daemons have it. With three
# answers it is unlikely that all of them are behind.
QUORUM = 3


class FloorSearch:
    """Collects evidence of the version that a site already enforces."""

    def __init__(self, site: ids.SiteName, started_s: float):
        self._site = site
        self._started_s = started_s
        self._answers: dict[ids.DaemonId, ids.VersionNumber] = {}
        self._is_confirmed = False

    def add_confirmation(self, confirmed_s: float) -> None:
        """Records when a log reader last found the held version the latest.

        A confirmation after this daemon's start covers every version that was
        in force before the start.

        Args:
            confirmed_s: Steady time of the confirmation, in seconds.
        """
        if confirmed_s >= self._started_s:
            self._is_confirmed = True

    def add_answer(
        self,
        peer: ids.DaemonId,
        site: ids.SiteName,
        number: ids.VersionNumber,
    ) -> None:
        """Records the version that a member of this site enforces.

        Number 0 is ignored, since such a member doesn't know the floor either.
        """
        if site == self._site and number > 0:
            self._answers[peer] = max(number, self._answers.get(peer, number))

    def floor(self, reachable: int) -> ids.VersionNumber | None:
        """Returns the lowest version to serve, or None while it is unknown.

        Args:
            reachable: Number of live members of this site, without this
                daemon.
        """
        if self._is_confirmed:
            return max(self._answers.values(), default=ids.VersionNumber(0))
        needed = max(1, min(QUORUM, reachable))
        if len(self._answers) < needed:
            return None
        return max(self._answers.values())
