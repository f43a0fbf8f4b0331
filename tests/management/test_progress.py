import json

from bluebellrun.management._progress import Stage, _JsonLines, find_stages
from bluebellrun.plans import Change, ChangeKind, GroupProgress, Plan
from bluebellrun.reports import Status


def plan(*changes: Change) -> Plan:
    return Plan(
        plan_id="p",
        intent="i",
        base={},
        changes=list(changes),
        created_at=0.0,
        confirmed=True,
        confirmed_revision=9,
    )


def drain(name: str) -> Change:
    before, after = {"state": "active"}, {"state": "draining"}
    return Change(kind="upstream", name=name, action=ChangeKind.CHANGE, before=before, after=after)


def shift() -> Change:
    before, after = {"version": "m-1"}, {"version": "m-2"}
    return Change(
        kind="model-group", name="g", action=ChangeKind.CHANGE, before=before, after=after
    )


def status(version: int, **in_progress: int) -> Status:
    return Status(process="e", incarnation="i", version=version, in_progress=in_progress)


def test_a_drain_is_complete_when_all_know_and_nothing_is_in_progress():
    seen: dict[str, int] = {}
    first = find_stages(plan(drain("u")), [status(8, u=3), status(9, u=1)], 0, {}, seen)
    assert first == [Stage("in force", 1, 2), Stage("drain u", 0, 4, "4 in progress")]
    last = find_stages(plan(drain("u")), [status(9, u=0), status(9, u=0)], 0, {}, seen)
    assert last == [Stage("in force", 2, 2), Stage("drain u", 4, 4, "0 in progress")]
    assert all(stage.finished for stage in last)


def test_a_process_that_gives_no_answer_is_not_taken_for_done():
    (stage,) = find_stages(plan(), [status(9)], 1, {}, {})
    assert not stage.finished
    assert stage.note == "1 gave no answer"


def test_a_group_is_done_only_when_it_has_reached_what_was_asked():
    def stage(told: dict[str, GroupProgress]) -> Stage:
        return find_stages(plan(shift()), [status(9)], 0, told, {})[1]

    assert "told nothing" in stage({}).note
    behind = GroupProgress(group="g", version="m-1", done=3, total=3)
    assert not stage({"g": behind}).finished
    working = GroupProgress(group="g", version="m-2", done=1, total=3, step="load")
    assert stage({"g": working}) == Stage("group g", 1, 3, "load")
    reached = GroupProgress(group="g", version="m-2", done=3, total=3)
    assert stage({"g": reached}).finished


def test_json_lines_are_written_only_for_news(capsys):
    lines = _JsonLines()
    lines.show([Stage("in force", 0, 1)])
    lines.show([Stage("in force", 0, 1)])
    lines.show([Stage("in force", 1, 1)])
    written = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert [line["done"] for line in written] == [False, True]
