"""The time after which a server that turned a request away wants the next one (RFC 9110)."""

import re

from bluebellrun.http._models import Headers, header_value
from bluebellrun.telemetry import get_logger

# Seconds, whole as the standard has them or with a fraction.
SECONDS = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")
LOGGED_CHARACTERS = 60

_log = get_logger("http")


def read_retry_after_s(headers: Headers) -> float | None:
    """Return the seconds of a ``Retry-After`` header, none if there is none that can be read.

    A date is not taken: the time of day differs between hosts, and may jump.
    """
    text = header_value(headers, "retry-after")
    if text is None:
        return None
    if SECONDS.fullmatch(text) is None:
        _log.info("retry-after ignored", value=text[:LOGGED_CHARACTERS])
        return None
    return float(text)
