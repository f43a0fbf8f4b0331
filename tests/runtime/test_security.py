import pytest
import structlog
from structlog.testing import capture_logs

from bluebellrun.core import Address
from bluebellrun.runtime import warn_about_plaintext_links


@pytest.mark.parametrize(("ip", "warnings"), [("127.0.0.1", 0), ("10.0.0.1", 1), ("0.0.0.0", 1)])
def test_warning_if_other_hosts_can_open_links_without_tls(ip, warnings):
    structlog.reset_defaults()
    with capture_logs() as lines:
        warn_about_plaintext_links(Address(ip, 9002))
    assert len(lines) == warnings
