"""Commands that read base and overlays: check and diff."""

from buckthorn_client import commands
from buckthorn_client import differences
from buckthorn_client import files
from buckthorn_client import outputs
from buckthorn_core import findings


@commands.command("check", "folder")
def _check() -> commands.Exit:
    """Checks base and overlays, without log service or daemons.

    Reports every fault at once, each as FILE:LINE:COLUMN. Only a syntax
    fault hides the rest of its file. The exit status is 2 if there are
    findings.
    """
    try:
        bundle = files.BundleFiles(commands.folder()).load()
    except findings.FindingsError as exc:
        if not commands.as_json():
            raise
        outputs.emit(True, {"findings": [_plain(f) for f in exc.findings]}, "")
        return commands.Exit.FINDINGS
    outputs.emit(
        commands.as_json(),
        {"findings": [], "mesh": bundle.base.mesh},
        f"valid: {bundle.base.mesh}, {len(bundle.overlays)} overlays",
    )
    return commands.Exit.OK


@commands.command("diff", "folder", "based_on")
def _diff() -> commands.Exit:
    """Shows what publishing the folder would change, for each site.

    Compares with the accepted version, or with --based_on=N. Values are those
    that a site gets after its overlay has been merged into the base.
    """
    bundle = files.BundleFiles(commands.folder()).load()
    follower = commands.make_publisher(commands.load_settings()).follower
    accepted = follower.catch_up().number
    number = commands.based_on(accepted)
    old = follower.bundle_of(number)
    changes = differences.compare(old, bundle)
    sites = differences.all_sites(old, bundle)
    advice = "publish with"
    if number < accepted:
        advice = (
            f"version {accepted} has been accepted since: take over what"
            " `buckthornctl diff` shows, then publish with"
        )
    shown = outputs.change_table(changes, sites)
    text = (
        f"{shown}\n\ncompared with version {number}; {advice}:"
        f" buckthornctl publish --based_on={accepted} --wait"
    )
    outputs.emit(
        commands.as_json(),
        {
            "accepted": accepted,
            "compared_with": number,
            "changes": changes,
        },
        text,
    )
    return commands.Exit.OK


def _plain(finding: findings.Finding) -> dict[str, object]:
    place = finding.place or findings.Place(finding.file)
    return {
        "file": place.file,
        "line": place.line,
        "column": place.column,
        "code": finding.code,
        "message": finding.message,
    }
