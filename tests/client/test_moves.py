"""Steps of a move, as edits of an overlay."""

import pathlib
import shutil

import pytest

from buckthorn_client import files
from buckthorn_client import main
from buckthorn_client import moves
from buckthorn_core import bundles

DEPLOY = pathlib.Path(__file__).parents[2] / "deploy"
OVERLAY = """\
// The old building.
{
  "site": "koege-bugt", // by the sea
  "services": {"stock-catalogue": {"slots": 10}} // small hosts
}
"""


@pytest.fixture
def folder(tmp_path):
    found = shutil.copytree(DEPLOY / "kulhus", tmp_path / "files")
    (found / "overlays" / "koege-bugt.jsonc").write_text(OVERLAY)
    return found


def run(folder, *args):
    main.flags.FLAGS.unparse_flags()
    for name in ("back", "stop", "from", "to", "steps", "based_on"):
        main.flags.FLAGS[name].unparse()
    return main.main(
        ["ctl", "move", f"--folder={folder}", "--to=esbjerg-dok", *args]
    )


def overlay_of(folder) -> bundles.Overlay:
    return files.BundleFiles(folder).load().overlays["koege-bugt"]


def test_runs_lead_to_draining_and_back(folder):
    """Guards against a step that is skipped or loses the rest of the file."""
    seen = []
    for args in [(), (), (), (), (), ("--back",), ("--back",), ("--stop",)]:
        assert run(folder, "--from=koege-bugt", *args) == 0
        overlay = overlay_of(folder)
        assert overlay.services["stock-catalogue"].slots == 10
        seen.append(
            (overlay.traffic.get("esbjerg-dok", 0), overlay.state.value)
        )
    assert seen == [
        (25, "active"),
        (50, "active"),
        (100, "active"),
        (100, "draining"),
        (100, "draining"),
        (100, "active"),
        (50, "active"),
        (0, "active"),
    ]
    text = (folder / "overlays" / "koege-bugt.jsonc").read_text()
    for comment in ("The old building", "by the sea", "small hosts"):
        assert comment in text


@pytest.mark.parametrize(
    ("args", "message"),
    [
        (("--from=koege", "--steps=25"), "the sites are"),
        (("--from=esbjerg-dok",), "must differ"),
        (("--from=koege-bugt", "--steps=50,25"), "rising"),
        (("--from=koege-bugt", "--steps=x"), "whole percentages"),
        (("--from=koege-bugt", "--steps=0"), "rising"),
        (("--from=koege-bugt", "--wait"), "takes no --wait"),
        (("--from=koege-bugt", "--frm=x"), "Unknown command line flag"),
    ],
)
def test_wrong_arguments_write_nothing(folder, capsys, args, message):
    """Guards against a half-made move after a slip on the command line."""
    assert run(folder, *args) == 1
    assert message in capsys.readouterr().err
    assert overlay_of(folder).traffic == {}


def test_requests_sent_to_a_third_site_stop_a_move():
    """Guards against a move that drops another operator's traffic rule."""
    move = moves.Move("koege-bugt", "esbjerg-dok", [50])
    overlay = bundles.Overlay("koege-bugt", traffic={"aarhus-havn": 1})
    with pytest.raises(moves.MoveError, match="aarhus-havn"):
        move.current(overlay)
