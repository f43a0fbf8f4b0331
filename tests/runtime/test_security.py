import pytest
import structlog
from structlog.testing import capture_logs

from bluebellrun.core import Address
from bluebellrun.runtime import warn_about_plaintext_links


@pytest.mark.parametrize(("ip", "warnings"), [("127.0.0.1", 0), ("10.0.0.1", 1), ("0.0.0.0", 1)])
def test_plain_links_from_other_hosts_are_warned_of(ip, warnings):
    structlog.reset_defaults()
    with capture_logs() as lines:
        warn_about_plaintext_links(Address(ip, 9002))
    assert len(lines) == warnings
