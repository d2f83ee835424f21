"""Command that lists accepted versions."""

import datetime

from absl import flags

from buckthorn_client import commands
from buckthorn_client import outputs
from buckthorn_core import checkpoint_search
from buckthorn_core import records

_LIMIT = flags.DEFINE_integer(
    "limit", 20, "Most versions to list.", lower_bound=1, upper_bound=256
)


@commands.command("history", "limit")
def _history() -> commands.Exit:
    """Lists the latest accepted versions with their authors.

    Shows as many as --limit and the log's retention allow. To return to an
    older version, publish its files again: versions only go forward.
    """
    follower = commands.make_publisher(commands.load_settings()).follower
    version = follower.catch_up(_reaching_back(_LIMIT.value))
    entries = list(follower.acceptor.history)[-_LIMIT.value :]
    rows = [
        (
            entry.version.number,
            datetime.datetime.fromtimestamp(
                entry.time_ms / 1000, datetime.UTC
            ).strftime("%Y-%m-%dT%H:%M:%SZ"),
            entry.author,
            entry.publication,
            entry.version.digest,
        )
        for entry in reversed(entries)
    ]
    text = outputs.table(
        ("VERSION", "PUBLISHED", "AUTHOR", "PUBLICATION", "DIGEST"), rows
    )
    outputs.emit(
        commands.as_json(),
        {"accepted": version.number, "versions": entries},
        f"{text}\n\naccepted version {version.number}",
    )
    return commands.Exit.OK


def _reaching_back(count: int) -> checkpoint_search.Predicate:
    """Returns a test for a checkpoint with enough versions after it."""
    newest: list[int] = []

    def wanted(checkpoint: records.Checkpoint) -> bool:
        # Checkpoints come newest first.
        newest.append(checkpoint.version.number)
        return checkpoint.version.number <= newest[0] - count

    return wanted
