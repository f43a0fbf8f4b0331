"""Make the TLS that settings ask for."""

from ipaddress import ip_address

from bluebellrun.conf import CallerTlsSettings, LinkSettings
from bluebellrun.core import Address
from bluebellrun.http import Tls, TlsFiles, link_security
from bluebellrun.telemetry import get_logger

_log = get_logger("security")


def _report(problem: str) -> None:
    """Log that changed files cannot be used."""
    _log.error("changed TLS files refused; the old ones stay in use", error=problem)


def warn_about_plaintext_links(listen: Address) -> None:
    """Log that links from other hosts would be taken from anyone."""
    if link_security.tls is None and not ip_address(listen.ip).is_loopback:
        _log.warning("links are plain TCP; set link_certificate, link_key and link_authority")


def configure_link_security(settings: LinkSettings) -> None:
    """Let all links of this process use the TLS of its settings, if any.

    Raises ``TlsError`` when the files cannot be used.
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
    link_security.configure(Tls(files, _report))


def make_caller_tls(settings: CallerTlsSettings) -> Tls | None:
    """Return the TLS towards callers, or none; raise ``TlsError`` for files of no use."""
    if settings.callers_certificate is None:
        return None
    return Tls(TlsFiles(settings.callers_certificate, settings.callers_key), _report)
