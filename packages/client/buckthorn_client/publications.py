"""Command that publishes base and overlays."""

from absl import flags

from buckthorn_client import commands
from buckthorn_client import differences
from buckthorn_client import files
from buckthorn_client import following
from buckthorn_client import outputs
from buckthorn_client import publishing
from buckthorn_client import waiting
from buckthorn_core import bundles
from buckthorn_core import ids

_WAIT = flags.DEFINE_bool(
    "wait", False, "Wait until every daemon enforces the version."
)
_WAIT_S = flags.DEFINE_float(
    "wait_s", 60.0, "Longest time of --wait, in seconds.", lower_bound=0.0
)


@commands.command("publish", "folder", "based_on", "wait", "wait_s", "daemon")
def _publish() -> commands.Exit:
    """Publishes base and overlays as the next version.

    With --based_on=N the publication loses (status 3) if another version has
    been accepted since version N; the changes made since are shown. Without
    it, the files replace whatever is accepted now.

    With --wait, progress is shown until every daemon enforces the version. If
    that takes longer than --wait_s, the sites and daemons that lag are named
    and the status is 6: the version is accepted nevertheless, and daemons that
    lag put it in force once they are reached.
    """
    bundle = files.BundleFiles(commands.folder()).load()
    cfg = commands.load_settings()
    # Found before the publication, so that a missing URL changes nothing.
    client = commands.make_daemon_client(cfg) if _WAIT.value else None
    publisher = commands.make_publisher(cfg)
    accepted = publisher.catch_up()
    number = commands.based_on(accepted.number)
    if number < accepted.number:
        return _lost(publisher.follower, number)
    result = publisher.publish(bundle, accepted, cfg.author)
    if result.fate is publishing.Fate.LOST_RACE:
        return _lost(publisher.follower, accepted.number)
    if result.fate is publishing.Fate.REFUSED:
        outputs.emit(
            commands.as_json(),
            {"fate": "refused", "detail": result.detail},
            f"refused: {result.detail}\nversion {result.version.number} stays"
            " accepted; run `buckthornctl check` with the release that the"
            " daemons run",
        )
        return commands.Exit.REFUSED
    text = f"accepted: version {result.version.number}"
    if client is None:
        _emit_accepted(result.version, None, text)
        return commands.Exit.OK
    outputs.note(text)
    found = waiting.wait(client, result.version.number, _WAIT_S.value)
    _emit_accepted(result.version, found, f"{text}\n{found.text}")
    if found.converged:
        return commands.Exit.OK
    return commands.Exit.NOT_CONVERGED


def _emit_accepted(
    version: bundles.VersionId, found: waiting.Result | None, text: str
) -> None:
    document: dict[str, object] = {
        "fate": "accepted",
        "version": version.number,
        "digest": version.digest,
    }
    if found is not None:
        document["converged"] = found.converged
        document["seconds"] = found.seconds
        document["lagging_sites"] = found.lagging_sites
        document["laggards"] = found.laggards
    outputs.emit(commands.as_json(), document, text)


def _lost(
    follower: following.Follower, number: ids.VersionNumber
) -> commands.Exit:
    """Reports the winner, and what it changed since the version edited."""
    acceptor = follower.acceptor
    winner = acceptor.version.number
    author = acceptor.history[-1].author if acceptor.history else "unknown"
    edited, won = follower.bundle_of(number), follower.bundle_of(winner)
    changes = differences.compare(edited, won)
    shown = outputs.change_table(changes, differences.all_sites(edited, won))
    outputs.emit(
        commands.as_json(),
        {
            "fate": "lost_race",
            "based_on": number,
            "version": winner,
            "author": author,
            "changes": changes,
        },
        f"lost a race: version {winner} by {author!r} is accepted, and you"
        f" edited version {number}.\nChanged since version {number}:\n\n"
        f"{shown}\n\nNothing of yours is published."
        f" Take these changes over into your files, look at `buckthornctl"
        f" diff`, then: buckthornctl publish --based_on={winner}",
    )
    return commands.Exit.LOST_RACE
