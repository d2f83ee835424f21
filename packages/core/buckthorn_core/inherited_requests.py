"""Requests of an earlier daemon process that the upstream still runs."""


class InheritedRequests:
    """Upper bound of the number of inherited requests.

    The requests of a killed daemon continue to occupy slots of its upstream,
    which the next daemon must not assign again. At the upstream's first
    announcement all running requests are inherited. At later ones the number
    of inherited requests is at most the number that runs minus the lowest
    number that this daemon had running since the announcement before, and it
    never grows.
    """

    def __init__(self) -> None:
        self._bound: int | None = None
        self._lowest_own = 0

    @property
    def max_running(self) -> int:
        """Most slots that inherited requests may still occupy."""
        return self._bound or 0

    def note_own_running(self, running: int) -> None:
        """Records how many requests of this daemon run, at each decrease."""
        self._lowest_own = min(self._lowest_own, running)

    def note_announced(self, running: int, own_running: int) -> None:
        """Processes an announcement of the upstream.

        Args:
            running: Number of requests that the upstream runs.
            own_running: Number of requests of this daemon that run now.
        """
        bound = max(0, running - min(self._lowest_own, own_running))
        self._bound = bound if self._bound is None else min(self._bound, bound)
        self._lowest_own = own_running
