import pytest

from tests.known_failures import OPTION

TESTS = """
def test_listed(): assert False
def test_other(): {other}
"""


@pytest.fixture
def project(pytester: pytest.Pytester) -> pytest.Pytester:
    pytester.mkdir("tests")
    return pytester


def run(project: pytest.Pytester, other: str, listed: str) -> pytest.RunResult:
    (project.path / "tests" / "test_it.py").write_text(TESTS.format(other=other))
    (project.path / "KNOWN").write_text(f"# comment\nbench one | cmd | seen | 1\n{listed}\n")
    return project.runpytest_inprocess("-p", "tests.known_failures", "-rx", OPTION, "KNOWN")


# Guards: one flaky test that the list named kept a whole round of work from landing.
def test_a_listed_failure_passes_and_is_printed(project):
    result = run(project, "pass", "tests/test_it.py::test_listed | cmd | seen | 32")
    result.assert_outcomes(xfailed=1, passed=1)
    result.stdout.fnmatch_lines(["*test_listed | cmd | seen | 32*"])
    assert result.ret == 0


# Guards: a list that is read too widely, so that other failures pass with it.
def test_any_other_failure_still_fails(project):
    result = run(project, "assert False", "tests/test_it.py::test_listed | cmd | seen | 32")
    result.assert_outcomes(xfailed=1, failed=1)
    assert result.ret == 1


# Guards: a mended or renamed test whose line stays in the list.
def test_a_line_without_a_test_is_an_error(project):
    result = run(project, "pass", "tests/test_it.py::test_gone | cmd | seen | 32")
    result.stderr.fnmatch_lines(["*test_gone*"])
    assert result.ret != 0
