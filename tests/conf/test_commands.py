import sys

import pytest

from bluebellrun.agent._settings import AgentSettings
from bluebellrun.conf import settings_command

REQUIRED = ["--name", "a", "--service", "s", "--upstream", "127.0.0.1:1", "--store", "127.0.0.1:2"]


def run(monkeypatch, arguments):
    seen = []
    monkeypatch.setattr(sys, "argv", ["agent", *arguments])
    with pytest.raises(SystemExit) as caught:
        settings_command(AgentSettings, seen.append)()
    return caught.value.code, seen


def test_flags_go_before_the_environment_and_that_before_defaults(monkeypatch):
    monkeypatch.setenv("BLUEBELLRUN_CONCURRENCY", "7")
    monkeypatch.setenv("BLUEBELLRUN_MAX_WAITING", "9")
    status, seen = run(monkeypatch, [*REQUIRED, "--concurrency", "8"])
    assert status == 0
    assert (seen[0].concurrency, seen[0].max_waiting) == (8, 9)
    assert seen[0].gap_timeout_s == 10.0


def test_a_wrong_value_is_named_with_the_way_out(monkeypatch, capsys):
    status, seen = run(monkeypatch, [*REQUIRED, "--concurrency", "many"])
    assert (status, seen) == (2, [])
    error = capsys.readouterr().err
    assert "--concurrency=many" in error
    assert "BLUEBELLRUN_CONCURRENCY" in error


def test_a_missing_value_is_named(monkeypatch, capsys):
    status, _ = run(monkeypatch, REQUIRED[2:])
    assert status == 2
    assert "--name is required" in capsys.readouterr().err


def test_help_names_units_and_variables(monkeypatch, capsys):
    status, _ = run(monkeypatch, ["--help"])
    assert status == 0
    assert "BLUEBELLRUN_GAP_TIMEOUT_S" in capsys.readouterr().out


def test_addresses_are_read_from_the_environment_too(monkeypatch):
    monkeypatch.setenv("BLUEBELLRUN_STORE", "127.0.0.1:7")
    monkeypatch.setenv("BLUEBELLRUN_STATSD", "127.0.0.1:8")
    status, seen = run(monkeypatch, REQUIRED[:-2])
    assert status == 0
    assert (str(seen[0].store), str(seen[0].statsd)) == ("127.0.0.1:7", "127.0.0.1:8")


def test_a_wrong_address_in_the_environment_is_named(monkeypatch, capsys):
    monkeypatch.setenv("BLUEBELLRUN_STORE", "nowhere")
    status, _ = run(monkeypatch, REQUIRED[:-2])
    assert status == 2
    assert "'nowhere' is not an address" in capsys.readouterr().err


def test_a_part_of_the_files_for_tls_is_refused(monkeypatch, capsys):
    status, _ = run(monkeypatch, [*REQUIRED, "--link-key", "key.pem"])
    assert status == 2
    assert "link_certificate" in capsys.readouterr().err
