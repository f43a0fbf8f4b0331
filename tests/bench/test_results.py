import json

import pytest

from bench._results import Measure, write_results


def measure(scenario: str, value: float, bound: str | None = ">= 0.9") -> Measure:
    return Measure(scenario, "ours", "on time", value, "share", bound, 1)


@pytest.mark.parametrize(
    ("bound", "met"), [(">= 0.9", True), ("<= 0.9", True), ("> 0.9", False), (None, None)]
)
def test_a_bound_is_read(bound, met):
    assert measure("steady", 0.9, bound).met is met


def test_a_bound_that_cannot_be_read_is_an_error():
    with pytest.raises(ValueError, match="about 1"):
        _ = measure("steady", 0.9, "about 1").met


def test_results_of_other_scenarios_are_kept(tmp_path):
    path = tmp_path / "results" / "latest.json"
    write_results([measure("steady", 0.5), measure("churn", 1.0)], path)
    write_results([measure("steady", 0.95)], path)
    rows = {row["scenario"]: row for row in json.loads(path.read_text())}
    assert rows["churn"]["value"] == 1.0
    assert rows["steady"]["met"] is True
