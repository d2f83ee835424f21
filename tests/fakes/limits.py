"""The platform's bound on requests to an upstream that states a limit."""

import bisect

# A limit applies STABILITY_S after it is first stated, in seconds.
STABILITY_S = 3.0
# In any such time, in seconds, an upstream may get one and a half times its
# limit, and SLACK requests more.
WINDOW_S = 4.0
SLACK = 5


def allowed(limit_per_s):
    """Returns the requests that an upstream may get in one window."""
    return 1.5 * WINDOW_S * limit_per_s + SLACK


def most_in_window(times_s):
    """Returns the most requests in one window."""
    times_s = sorted(times_s)
    return max(
        (
            bisect.bisect_left(times_s, t + WINDOW_S) - n
            for n, t in enumerate(times_s)
        ),
        default=0,
    )
