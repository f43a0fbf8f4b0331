import pytest

from bluebellrun.engines import EngineLoad, LoadReportError, parse_load

REPORT = """\
# TYPE engine_requests_waiting gauge
engine_requests_waiting 3
engine_requests_running 4
engine_step_seconds 0.02
engine_tokens_total 100
"""


def test_load_report_is_parsed():
    assert parse_load(REPORT) == EngineLoad(3, 4, 0.02, 100)


@pytest.mark.parametrize("text", ["", "engine_requests_waiting", REPORT.replace("100", "many")])
def test_malformed_load_report_is_rejected(text):
    with pytest.raises(LoadReportError):
        parse_load(text)
