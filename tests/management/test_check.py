"""The check as a command: exit statuses, both outputs, and the store's document."""

import json
import subprocess
import sys
import threading

import curio
import pytest

from bluebellrun.management.main import run
from standins.users_platform import FakeStore
from tests.configuration_check.documents import changed, clean, encode

KEY = "op/config"


def command(monkeypatch, *arguments: object) -> int:
    monkeypatch.setattr(sys, "argv", ["bluebellrun-ctl", "check", *map(str, arguments)])
    with pytest.raises(SystemExit) as caught:
        run()
    return int(caught.value.code or 0)


@pytest.fixture
def written(tmp_path):
    def write(document, name="new.json"):
        path = tmp_path / name
        path.write_bytes(document if isinstance(document, bytes) else encode(document))
        return path

    return write


class StoreThread:
    """A stand-in of the store in a thread, with a document in force or none."""

    def __init__(self, document: bytes | None) -> None:
        self.fake = FakeStore()
        if document is not None:
            self.fake.put(KEY, document)
        self._started = threading.Event()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=curio.run, args=(self._main,))

    async def _main(self) -> None:
        self.address = await self.fake.start()
        self._started.set()
        while not self._stopped.is_set():
            await curio.sleep(0.01)
        if self.fake.server is not None:
            await self.fake.server.close()

    def __enter__(self) -> "StoreThread":
        self._thread.start()
        assert self._started.wait(10)
        return self

    def __exit__(self, *details: object) -> None:
        self._stopped.set()
        self._thread.join(10)


def test_a_clean_document_exits_with_0(monkeypatch, capsys, written):
    assert command(monkeypatch, written(clean())) == 0
    assert capsys.readouterr().out == "nothing found\n"


def test_findings_exit_with_1_and_their_places(monkeypatch, capsys, written):
    path = written(changed("routes.0.timeout_ms", 200))
    assert command(monkeypatch, path) == 1
    assert "  routes[0].timeout_ms: 200 ms is under" in capsys.readouterr().out
    assert command(monkeypatch, path, "--output", "json") == 1
    found = json.loads(capsys.readouterr().out)
    assert not found["clean"]
    assert found["differences"] is None
    assert [item["place"] for item in found["findings"]] == ["routes[0].timeout_ms"]


@pytest.mark.parametrize("data", [b"", b"[" * 100_000, b"\x00", b'{"version":' + b"9" * 5000])
def test_what_cannot_be_read_exits_with_2(monkeypatch, capsys, written, data):
    path = written(data)
    assert command(monkeypatch, path) == 2
    assert command(monkeypatch, written(clean(), "good.json"), "--against", path) == 2
    assert "not a JSON document" in capsys.readouterr().err


def test_missing_and_endless_files_exit_with_2(monkeypatch, capsys, tmp_path):
    # Guards against filling the memory from a device or a wrong file.
    assert command(monkeypatch, tmp_path / "none.json") == 2
    assert command(monkeypatch, tmp_path) == 2
    assert command(monkeypatch, "/dev/zero") == 2
    assert "over 16777216 bytes" in capsys.readouterr().err


def test_control_characters_do_not_reach_the_terminal(monkeypatch, capsys, written):
    # Guards against a document that moves the cursor and hides findings.
    document = changed("routes.0.\x1b[2J\nname", 1)
    document["routes"][1]["name"] = "\x00\x1b[1A\u202e"
    document["routes"][2]["\ud800"] = 1
    old = written(clean(), "old.json")
    assert command(monkeypatch, written(document), "--against", old) == 1
    out = capsys.readouterr().out
    assert all(line.isprintable() for line in out.splitlines())
    assert r"routes[0].\x1b[2J\nname: unknown field" in out


def test_the_body_limit_is_compared_with_the_budget_of_the_smallest_gateway(
    monkeypatch, capsys, written
):
    document = clean() | {"limits": {"max_body_bytes": 30_000_000}}
    path = written(document)
    # Of 144 MB a gateway holds 40 MB for its callers, a quarter of that for small requests only.
    assert command(monkeypatch, path, "--smallest-memory-mb", 144) == 0
    assert command(monkeypatch, path, "--smallest-memory-mb", 143) == 1
    assert "limits.max_body_bytes: 30000000 bytes" in capsys.readouterr().out


def test_differences_are_listed_and_are_no_findings(monkeypatch, capsys, written):
    document = changed("routes.1.split.0.weight", 1) | {"version": 4}
    document["routes"].pop(0)
    old = written(clean(), "old.json")
    assert command(monkeypatch, written(document), "--against", old) == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines[1:3] == [
        "2 differences",
        "  taken away: route ask: dropped; no route takes requests to h.example/ask/",
    ]
    assert command(monkeypatch, written(document), "--against", old, "-o", "json") == 0
    found = json.loads(capsys.readouterr().out)["differences"]
    assert [item["effect"] for item in found] == ["taken away", "moved"]


def test_a_version_that_gateways_ignore_exits_with_1(monkeypatch, capsys, written):
    old = written(clean(), "old.json")
    new = written(changed("routes.0.attempts", 1))
    assert command(monkeypatch, new, "--against", old) == 1
    assert "  version: version 3 is not above 3" in capsys.readouterr().out


def test_an_earlier_document_that_gateways_refuse_exits_with_2(monkeypatch, capsys, written):
    old = written(changed("routes", 7), "old.json")
    assert command(monkeypatch, written(clean()), "--against", old) == 2
    assert "gateways refuse the document" in capsys.readouterr().err


def test_the_document_in_force_is_read_once_and_nothing_is_written(written):
    # Run as a process of its own, as the event loop of the stand-in is in this one.
    path = written(changed("routes.0.timeout_ms", 950) | {"version": 4})
    with StoreThread(encode(clean())) as store:
        revision = store.fake.revision
        done = _run_process(path, "--in-force", "--store", store.address)
        assert store.fake.calls == 1
        assert store.fake.revision == revision
    assert done.returncode == 0, done.stderr
    assert "limits: route ask: timeout_ms 950, before 900" in done.stdout


def test_a_store_without_a_document_exits_with_2(written):
    # Guards against taking a wrong store for a fleet without routes: all would seem added.
    with StoreThread(None) as store:
        done = _run_process(written(clean()), "--in-force", "--store", store.address)
    assert done.returncode == 2
    assert "holds no configuration" in done.stderr


def _run_process(*arguments: object) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "bluebellrun.management.main", "check", *map(str, arguments)]
    return subprocess.run(command, capture_output=True, text=True, check=False, timeout=60)


def test_a_store_that_is_down_exits_with_4(monkeypatch, capsys, written):
    path = written(clean())
    assert command(monkeypatch, path, "--in-force", "--store", "127.0.0.1:1") == 4
    assert "127.0.0.1:1" in capsys.readouterr().err


def test_wrong_options_exit_with_2(monkeypatch, capsys, written):
    monkeypatch.delenv("BLUEBELLRUN_STORE", raising=False)
    path = written(clean())
    assert command(monkeypatch, path, "--in-force") == 2
    assert command(monkeypatch, path, "--in-force", "--store", "nowhere") == 2
    assert command(monkeypatch, path, "--in-force", "--against", path) == 2
    assert command(monkeypatch, path, "--smallest-memory-mb", -1) == 2
