import json
import sys

import pytest
from rich.console import Console

from bluebellrun.reports import RebalancingCost, Recorder, Verdict, make_report
from bluebellrun.reports._plot import save_plot
from bluebellrun.reports._render import list_gaps, list_measures, print_report, render_json
from bluebellrun.reports.main import run
from tests.reports.test_recorder import START, seen, snapshot


def filled():
    recorder = Recorder(START - 100)
    for number in range(50):
        verdict = (Verdict.GOOD, Verdict.LATE, Verdict.REFUSED)[number % 3]
        recorder.record(seen(verdict, f"c-{number % 4}", 1 if number % 2 else 6), START - number)
    return snapshot(recorder, START)


def test_json_holds_the_burn_and_the_coverage():
    value = json.loads(render_json(make_report([filled()], ["x"])))
    assert value["missing"] == ["x"]
    assert value["objectives"][0]["windows"][0]["on_time_rate"] > 1
    assert value["coverage"][3]["remembered"] < 0.01


def test_the_tables_name_objective_reason_and_gap(capsys):
    report = make_report([filled()], ["10.0.0.9:80"])
    print_report(report, Console(width=150))
    out = capsys.readouterr().out
    for text in ("urgent (u=1)", "late", "refused", "no answer from 10.0.0.9:80", "3 d window"):
        assert text in out


def test_gaps_and_measures_are_said_when_there_is_nothing():
    report = make_report([])
    assert "no objective is declared" in "\n".join(list_gaps(report))
    assert "no group has reported" in "\n".join(list_measures(report))


def test_the_cost_of_rebalancing_is_told():
    report = make_report([filled()], [], [RebalancingCost("g", 3, 2_500_000_000)])
    assert "rebalancing of g: 3 maps activated, 2.50 GB moved" in list_measures(report)


@pytest.mark.parametrize(("name", "magic"), [("burn.png", b"\x89PNG"), ("burn.svg", b"<?xml")])
def test_a_plot_is_written_in_both_formats(tmp_path, name, magic):
    save_plot(make_report([filled()]), tmp_path / name)
    assert (tmp_path / name).read_bytes().startswith(magic)


def test_a_plot_of_an_empty_report_says_so(tmp_path):
    save_plot(make_report([]), tmp_path / "empty.svg")
    assert (tmp_path / "empty.svg").stat().st_size > 1_000


def command(monkeypatch, *arguments: str) -> int:
    monkeypatch.setattr(sys, "argv", ["bluebellrun-report", *arguments])
    with pytest.raises(SystemExit) as caught:
        run()
    return int(caught.value.code or 0)


def test_saved_snapshots_are_reported_without_any_process(monkeypatch, tmp_path, capsys):
    saved = tmp_path / "saved.json"
    saved.write_text(f"[{filled().model_dump_json()}]", encoding="utf-8")
    plot = tmp_path / "burn.png"
    status = command(monkeypatch, "--from", str(saved), "--output", "json", "--plot", str(plot))
    assert status == 0
    assert json.loads(capsys.readouterr().out)["processes"] == ["e-1"]
    assert plot.exists()


@pytest.mark.parametrize(
    ("arguments", "status", "text"),
    [
        ([], 2, "--entry"),
        (["--entry", "nowhere"], 2, "nowhere"),
        (["--entry", "127.0.0.1:1", "--token", "t"], 1, "no entry answered"),
        (["--from", "/nonexistent"], 2, "--save"),
    ],
)
def test_wrong_use_is_told_with_the_way_out(monkeypatch, capsys, arguments, status, text):
    monkeypatch.delenv("BLUEBELLRUN_ENTRIES", raising=False)
    assert command(monkeypatch, *arguments) == status
    assert text in capsys.readouterr().err


def test_a_plot_of_another_format_is_refused(monkeypatch, tmp_path, capsys):
    saved = tmp_path / "saved.json"
    saved.write_text(f"[{filled().model_dump_json()}]", encoding="utf-8")
    assert command(monkeypatch, "--from", str(saved), "--plot", str(tmp_path / "a.gif")) == 2
    assert ".png or .svg" in capsys.readouterr().err
