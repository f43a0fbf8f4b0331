"""Operators' commands against a real fleet: plan, race, confirm, follow, undo, report."""

import json
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from pathlib import Path

import pytest

from bluebellrun.declarations import read_folder, relocate
from standins.fleet import LocalFleet

BOARD = Path(__file__).parents[2] / "examples" / "board"
TOKEN = "operator-token"


@pytest.fixture(scope="module")
def board(tmp_path_factory: pytest.TempPathFactory) -> Iterator[LocalFleet]:
    with LocalFleet(tmp_path_factory.mktemp("fleet")) as fleet, pytest.MonkeyPatch.context() as own:
        own.setenv("BLUEBELLRUN_OPERATOR_TOKEN", TOKEN)
        fleet.start_platform()
        fleet.start_engine("engine-1")
        fleet.start_agent("draft-pool-1", "draft-pool", "engine-1")
        fleet.start_entry("entry-1")
        documents = relocate(read_folder(BOARD), {"draft-pool-1": fleet["draft-pool-1"].address})
        fleet.declare([document.model_dump(mode="json") for document in documents])
        fleet.wait_ready("entry-1")
        yield fleet


def control(fleet: LocalFleet, *arguments: str) -> tuple[int, str, str]:
    command = [sys.executable, "-m", "bluebellrun.management.main", *arguments]
    command += ["--store", fleet.store]
    done = subprocess.run(command, capture_output=True, text=True, check=False, timeout=30)
    return done.returncode, done.stdout, done.stderr


def plan_id(fleet: LocalFleet, *intent: str) -> str:
    status, out, error = control(fleet, *intent, "--output", "json")
    assert status == 0, error
    return str(json.loads(out)["plan_id"])


def ask(fleet: LocalFleet, path: str, token: str) -> int:
    url = f"http://{fleet['entry-1'].address}{path}"
    request = urllib.request.Request(url, headers={"Authorization": f"Bearer {token}"})
    try:
        with urllib.request.urlopen(request, timeout=5) as response:
            return int(response.status)
    except urllib.error.HTTPError as error:
        return error.code


def test_of_two_racing_operators_one_wins_and_the_other_gets_a_new_plan(board):
    first = plan_id(board, "share", "counter-1", "2")
    second = plan_id(board, "share", "counter-1", "3")
    assert control(board, "confirm", first)[0] == 0
    status, out, error = control(board, "confirm", second, "--output", "json")
    assert status == 3
    assert "share: 1.0 -> 2.0" in error
    renewed = json.loads(out)["plan_id"]
    assert renewed != second
    assert control(board, "confirm", renewed)[0] == 0
    assert control(board, "confirm", renewed)[0] == 0


def test_a_drain_is_followed_to_its_end_and_undone(board):
    entry = ("--entry", str(board["entry-1"].address))
    drain = plan_id(board, "drain", "draft-pool-1", *entry)
    assert control(board, "confirm", drain)[0] == 0
    status, out, _ = control(board, "progress", drain, *entry, "--timeout-s", "20")
    assert status == 0
    assert json.loads(out.splitlines()[-1])["done"] is True
    undo = plan_id(board, "undo", drain)
    assert control(board, "confirm", undo)[0] == 0
    status, out, _ = control(board, "plans", "--output", "json")
    assert {item["plan_id"] for item in json.loads(out)} >= {drain, undo}


def test_a_shift_and_a_rebalance_are_planned_on_the_group(board):
    shift = plan_id(board, "shift", "draft-group", "draft-large-2")
    assert control(board, "confirm", shift)[0] == 0
    status, out, _ = control(board, "rebalance", "draft-group", "--max-moved-gb", "2")
    assert status == 0
    assert "rebalance: 0 -> 1" in out
    assert "weights moved: at most 2.00 GB" in out
    entry = ("--entry", str(board["entry-1"].address))
    status, out, _ = control(board, "progress", shift, *entry, "--timeout-s", "0")
    assert status == 7
    assert "told nothing yet" in out


def test_the_status_names_who_has_which_version(board):
    told = {"processes": 0}
    deadline = time.monotonic() + 20
    while told["processes"] < 2 and time.monotonic() < deadline:
        status, out, error = control(board, "status", "--output", "json")
        assert status == 0, error
        told = json.loads(out)
    assert told["processes"] == 2
    assert sum(domain["members"]["live"] for domain in told["domains"]) == 2
    status, out, _ = control(board, "status")
    assert "of 2 processes" in out


def test_only_a_known_operator_may_plan_confirm_and_read(board, monkeypatch):
    made = plan_id(board, "share", "counter-2", "2")
    assert ask(board, "/operators/report", TOKEN) == 200
    assert ask(board, "/operators/report", "counter-1-key") == 401
    assert ask(board, "/operators/other", TOKEN) == 404
    monkeypatch.setenv("BLUEBELLRUN_OPERATOR_TOKEN", "other")
    status, _, error = control(board, "confirm", made)
    assert status == 6
    assert "not known" in error
    monkeypatch.delenv("BLUEBELLRUN_OPERATOR_TOKEN")
    assert control(board, "drain", "draft-pool-1")[0] == 6


def test_keys_and_tokens_are_in_no_log(board):
    assert ask(board, "/operators/report", TOKEN) == 200
    assert ask(board, "/v1/models", "counter-1-key") == 200
    body = json.dumps(
        {"model": "draft-large", "messages": [{"role": "user", "content": "a"}], "max_tokens": 2}
    ).encode()
    headers = {"Authorization": "Bearer counter-1-key", "Idempotency-Key": "secret-order"}
    url = f"http://{board['entry-1'].address}/v1/chat/completions"
    with urllib.request.urlopen(urllib.request.Request(url, body, headers), timeout=10) as answer:
        assert answer.status == 200
    ask(board, "/v1/models", "a-wrong-key")
    for name in ("entry-1", "draft-pool-1"):
        log = board[name].output.read_text(encoding="utf-8")
        assert log
        for secret in ("counter-1-key", TOKEN, "a-wrong-key"):
            assert secret not in log
