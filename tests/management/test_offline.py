import io
import json
import sys
from pathlib import Path

import pytest

from bluebellrun.customers import hash_key
from bluebellrun.management.main import run

BOARD = Path(__file__).parents[2] / "examples" / "board"


def command(monkeypatch, *arguments: object) -> int:
    monkeypatch.setattr(sys, "argv", ["bluebellrun-ctl", *map(str, arguments)])
    with pytest.raises(SystemExit) as caught:
        run()
    return int(caught.value.code or 0)


def test_valid_documents_are_counted(monkeypatch, capsys):
    assert command(monkeypatch, "validate", BOARD) == 0
    assert "documents are valid" in capsys.readouterr().out


def test_problems_are_listed_as_json_too(monkeypatch, capsys, tmp_path):
    (tmp_path / "a.yaml").write_text("kind: priority\nname: a\nurgency: 9\n", encoding="utf-8")
    assert command(monkeypatch, "validate", tmp_path) == 2
    assert "a.yaml:3:" in capsys.readouterr().err
    assert command(monkeypatch, "validate", tmp_path, "-o", "json") == 2
    assert json.loads(capsys.readouterr().out)["problems"][0]["line"] == 3


def test_formatting_changes_files_only_without_check(monkeypatch, capsys, tmp_path):
    path = tmp_path / "a.yaml"
    path.write_text("name: a\nkind: priority\nurgency: 1\n", encoding="utf-8")
    assert command(monkeypatch, "fmt", tmp_path, "--check") == 1
    assert path.read_text(encoding="utf-8").startswith("name")
    assert command(monkeypatch, "fmt", tmp_path) == 0
    assert path.read_text(encoding="utf-8").startswith("kind")
    assert command(monkeypatch, "fmt", tmp_path, "--check") == 0


def test_the_schema_is_json(monkeypatch, capsys):
    assert command(monkeypatch, "schema", "upstream") == 0
    assert "agent" in json.loads(capsys.readouterr().out)["properties"]


def test_a_new_key_fits_its_hash(monkeypatch, capsys):
    assert command(monkeypatch, "new-key", "-o", "json") == 0
    made = json.loads(capsys.readouterr().out)
    assert hash_key(made["key"]) == made["hash"]


def test_a_key_is_hashed_from_standard_input(monkeypatch, capsys):
    monkeypatch.setattr(sys, "stdin", io.StringIO("demo-key\n"))
    assert command(monkeypatch, "hash-key") == 0
    assert capsys.readouterr().out.strip() == hash_key("demo-key")


@pytest.mark.parametrize(
    ("arguments", "text"),
    [
        (["plan", "--store", "127.0.0.1:1", "-f", "/nonexistent"], "no such folder"),
        (["drain", "--store", "nowhere", "a"], "nowhere"),
        (["progress", "--store", "127.0.0.1:1", "p"], "--entry"),
        (["fmt", "/nonexistent"], "no such folder"),
    ],
)
def test_bad_input_exits_with_2_and_the_way_out(monkeypatch, capsys, arguments, text):
    monkeypatch.delenv("BLUEBELLRUN_ENTRIES", raising=False)
    assert command(monkeypatch, *arguments) == 2
    assert text in capsys.readouterr().err


def test_a_store_that_is_down_exits_with_4(monkeypatch, capsys):
    assert command(monkeypatch, "drain", "--store", "127.0.0.1:1", "a") == 4
    assert "127.0.0.1:1" in capsys.readouterr().err


def test_completion_can_be_shown(monkeypatch, capsys):
    monkeypatch.setenv("SHELL", "/bin/bash")
    monkeypatch.setenv("_TYPER_COMPLETE_TEST_DISABLE_SHELL_DETECTION", "1")
    assert command(monkeypatch, "--show-completion", "bash") == 0
    assert "complete" in capsys.readouterr().out
