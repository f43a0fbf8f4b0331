"""The pages keep their word: commands run, links lead somewhere, made pages are current."""

import re
import subprocess
import sys
from collections.abc import Iterator

import pytest

from bluebellrun.declarations import read_folder, relocate
from bluebellrun.load.main import application as load
from bluebellrun.management.main import application as control
from standins.fleet import LocalFleet
from tests.docs._console import BLOCK, ROOT, read_steps, run_page

DOCS = ROOT / "docs"
PAGES = sorted([*DOCS.rglob("*.md"), ROOT / "README.md"])
PAGES_WITH_COMMANDS = [page for page in PAGES if BLOCK.search(page.read_text(encoding="utf-8"))]
# Pages of parts that are still being written; a link to one of them may wait for it.
PLANNED = {
    "CAPACITY.md",
    "howto/store-outage.md",
    "reference/engine-orders.md",
    "reference/platform.md",
    "topics/admission.md",
    "topics/groups.md",
    "topics/outcomes.md",
}
LINK = re.compile(r"\]\(([^)#]+\.md)(?:#[^)]*)?\)")
COMMAND = re.compile(r"\b(bluebellrun-(?:ctl|report|load)) ([a-z][a-z-]*)")


PAGES_FOR_A_FLEET = [page for page in PAGES_WITH_COMMANDS if page.parent.name == "howto"]
PAGES_BY_THEMSELVES = [page for page in PAGES_WITH_COMMANDS if page not in PAGES_FOR_A_FLEET]


@pytest.fixture(scope="module")
def board(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[str, str]]:
    """Start a part of the Board's fleet; return the settings of its operators."""
    settings = {"BLUEBELLRUN_OPERATOR_TOKEN": "operator-token"}
    with LocalFleet(tmp_path_factory.mktemp("fleet")) as fleet, pytest.MonkeyPatch.context() as own:
        own.setenv("BLUEBELLRUN_OPERATOR_TOKEN", "operator-token")
        fleet.start_platform()
        for number in (1, 2):
            fleet.start_engine(f"engine-{number}")
            fleet.start_agent(f"draft-pool-{number}", "draft-pool", f"engine-{number}")
        fleet.start_entry("entry-1")
        agents = {name: fleet[name].address for name in ("draft-pool-1", "draft-pool-2")}
        documents = relocate(read_folder(ROOT / "examples" / "board"), agents)
        fleet.declare([document.model_dump(mode="json") for document in documents])
        fleet.wait_ready("entry-1")
        entry = str(fleet["entry-1"].address)
        yield settings | {"BLUEBELLRUN_STORE": fleet.store, "BLUEBELLRUN_ENTRIES": entry}


@pytest.mark.parametrize("page", PAGES_BY_THEMSELVES, ids=lambda page: page.stem)
def test_commands_do_what_the_page_shows(page, tmp_path):
    assert run_page(page, tmp_path) == []


@pytest.mark.parametrize("page", PAGES_FOR_A_FLEET, ids=lambda page: page.stem)
def test_commands_do_what_the_page_shows_on_a_fleet(page, board, tmp_path):
    assert run_page(page, tmp_path, board) == []


def test_the_tutorial_is_among_the_pages_that_are_run():
    assert "tutorial" in {page.stem for page in PAGES_WITH_COMMANDS}
    text = (DOCS / "intro" / "tutorial.md").read_text(encoding="utf-8")
    assert len(read_steps(text)) > 20


def test_pages_made_from_the_code_are_current():
    command = [sys.executable, "scripts/reference.py", "--check"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    assert done.returncode == 0, f"run python scripts/reference.py: {done.stdout}{done.stderr}"


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_links_between_pages_lead_somewhere(page):
    links = [link for link in LINK.findall(page.read_text(encoding="utf-8")) if "://" not in link]
    targets = [(page.parent / link).resolve() for link in links]
    planned = {DOCS / name for name in PLANNED}
    missing = [str(path) for path in targets if not path.exists() and path not in planned]
    assert missing == []


def test_commands_named_in_the_pages_exist():
    def names(application) -> set[str]:
        listed = application.registered_commands
        return {item.name or item.callback.__name__.replace("_", "-") for item in listed}

    known = {"bluebellrun-ctl": names(control), "bluebellrun-load": names(load)}
    unknown = []
    for page in PAGES:
        for program, command in COMMAND.findall(page.read_text(encoding="utf-8")):
            if program in known and command not in known[program]:
                unknown.append(f"{page.relative_to(ROOT)}: {program} {command}")
    assert unknown == []


def test_the_glossary_names_the_words_of_the_requirements():
    text = (DOCS / "glossary.md").read_text(encoding="utf-8")
    for word in ("host", "failure domain", "customer", "upstream"):
        assert f"| {word} |" in text


METRIC = re.compile(r'etrics\.(?:count|gauge|gauge_by_service|timing)\(\s*f?"([^"]+)"')
SERVED_METRIC = re.compile(r'= (Counter|Histogram)\(\s*"([^"]+)"')


def test_every_metric_that_is_sent_is_on_its_page_and_no_other():
    sent = set()
    for path in (ROOT / "bluebellrun").rglob("*.py"):
        code = path.read_text(encoding="utf-8")
        for name in METRIC.findall(code):
            sent.add(re.sub(r"\{[^}]+\}", "*", name))
        for kind, name in SERVED_METRIC.findall(code):
            sent.add(name + "_total" if kind == "Counter" else name)
    page = (DOCS / "reference" / "metrics.md").read_text(encoding="utf-8")
    rows = [line.split("|")[1] for line in page.splitlines() if line.startswith("| `")]
    named = {re.sub(r"[A-Z]+", "*", name) for row in rows for name in re.findall(r"`([^`]+)`", row)}
    assert sent == named


CALL = re.compile(r'= "(/bluebellrun\.[A-Za-z]+/[A-Za-z]+)"')


def test_every_call_on_a_link_is_on_its_page():
    page = (DOCS / "reference" / "link.md").read_text(encoding="utf-8")
    paths = set()
    for path in (ROOT / "bluebellrun" / "messages").glob("*.py"):
        paths |= set(CALL.findall(path.read_text(encoding="utf-8")))
    assert paths
    assert {path for path in paths if f"`{path}`" not in page} == set()
