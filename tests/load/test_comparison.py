import json
import sys

import pytest

from bluebellrun.load import Change, GroupSummary, Run, compare_runs, load_run, save_run
from bluebellrun.load.main import run


def summary(on_time: int, requests: int = 1_000, stream: str = "a") -> GroupSummary:
    return GroupSummary(stream, requests, requests, on_time, 0, {"ran": requests}, 0.1, 0.2, 0.01)


@pytest.mark.parametrize(
    ("older", "newer", "change"),
    [(990, 989, Change.SAME), (990, 900, Change.WORSE), (900, 990, Change.BETTER)],
)
def test_a_difference_is_told_only_beyond_chance(older, newer, change):
    (found,) = compare_runs(Run("s", 1, [summary(older)]), Run("s", 1, [summary(newer)]))
    assert found.change is change


def test_a_run_survives_its_file(tmp_path):
    saved = Run("s", 4, [summary(9, 10)])
    save_run(saved, tmp_path / "run.json")
    assert load_run(tmp_path / "run.json") == saved


def command(monkeypatch, *arguments) -> int:
    monkeypatch.setattr(sys, "argv", ["bluebellrun-load", *map(str, arguments)])
    with pytest.raises(SystemExit) as caught:
        run()
    return int(caught.value.code or 0)


def test_comparing_exits_with_failure_only_for_a_loss_beyond_what_is_allowed(
    monkeypatch, tmp_path, capsys
):
    save_run(Run("s", 1, [summary(990)]), tmp_path / "a.json")
    save_run(Run("s", 1, [summary(900)]), tmp_path / "b.json")
    files = (tmp_path / "a.json", tmp_path / "b.json")
    assert command(monkeypatch, "compare", *files, "--output", "json") == 1
    assert json.loads(capsys.readouterr().out)[0]["change"] == "worse"
    assert command(monkeypatch, "compare", *files, "--allowed-loss", "0.2") == 0
    assert command(monkeypatch, "compare", *reversed(files)) == 0


def test_a_file_that_is_no_run_is_named(monkeypatch, tmp_path, capsys):
    (tmp_path / "a.json").write_text("{}", encoding="utf-8")
    assert command(monkeypatch, "compare", tmp_path / "a.json", tmp_path / "a.json") == 2
    assert "a.json" in capsys.readouterr().err
