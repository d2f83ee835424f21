"""Work of an earlier daemon that the upstream still runs."""


class InheritedRequests:
    """Bounds from above how much work of an earlier daemon still runs.

    A daemon that was killed leaves requests at its upstream, which take
    slots that the next daemon must not give away again. At the upstream's
    first announcement all that runs is inherited. Later all that can be
    said is that it is at most what runs less the least that this daemon had
    there since the last announcement, and that it never grows.
    """

    def __init__(self) -> None:
        self._most: int | None = None
        self._least_own = 0

    @property
    def max_running(self) -> int:
        """Slots that inherited work may still take."""
        return self._most or 0

    def note_own_running(self, running: int) -> None:
        """Notes how many requests of this daemon run, at each decrease."""
        self._least_own = min(self._least_own, running)

    def note_announced(self, running: int, own: int) -> None:
        """Takes an announcement.

        Args:
            running: Requests that the upstream runs.
            own: Requests of this daemon that run now.
        """
        bound = max(0, running - min(self._least_own, own))
        self._most = bound if self._most is None else min(self._most, bound)
        self._least_own = own
