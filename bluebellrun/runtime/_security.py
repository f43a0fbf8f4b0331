"""TLS of links and callers, configured from settings."""

from ipaddress import ip_address

from bluebellrun.conf import CallerTlsSettings, LinkSettings
from bluebellrun.core import Address
from bluebellrun.http import Tls, TlsFiles, link_security
from bluebellrun.telemetry import get_logger

_log = get_logger("security")


def _log_reload_failure(problem: str) -> None:
    """Log that changed TLS files cannot be loaded."""
    _log.error("changed TLS files rejected; the previous ones stay in use", error=problem)


def warn_about_plaintext_links(listen: Address) -> None:
    """Log a warning if unauthenticated links from other hosts would be accepted."""
    if link_security.tls is None and not ip_address(listen.ip).is_loopback:
        _log.warning("links use TCP without TLS; set link_certificate, link_key and link_authority")


def configure_link_security(settings: LinkSettings) -> None:
    """Configure TLS for all links of this process, if its settings enable it.

    Raises ``TlsError`` if the files cannot be loaded.
    """
    if settings.link_certificate is None:
        link_security.configure(None)
        return
    names = frozenset(name.strip() for name in settings.link_peer_names.split(",") if name.strip())
    files = TlsFiles(
        certificate=settings.link_certificate,
        key=settings.link_key,
        authority=settings.link_authority,
        peer_names=names,
    )
    link_security.configure(Tls(files, _log_reload_failure))


def make_caller_tls(settings: CallerTlsSettings) -> Tls | None:
    """Return the TLS for callers, or none; raise ``TlsError`` if its files cannot be loaded."""
    if settings.callers_certificate is None:
        return None
    return Tls(TlsFiles(settings.callers_certificate, settings.callers_key), _log_reload_failure)
