"""Build the agent's claim manager from its settings."""

from bluebellrun.agent._claims import ClaimManager, ClaimSettings
from bluebellrun.agent._peers import PeerLinks
from bluebellrun.agent._settings import AgentSettings
from bluebellrun.core import Clock, Incarnation
from bluebellrun.ledger import Ledger, LedgerLimits, LedgerSettings
from bluebellrun.store import KeyValueStore
from bluebellrun.transport import LinkTiming

MS_PER_S = 1_000


def make_claims(
    settings: AgentSettings, incarnation: Incarnation, store: KeyValueStore, clock: Clock
) -> ClaimManager:
    """Return a claim manager for ``settings``."""
    ledger_settings = LedgerSettings(
        shards=settings.ledger_shards,
        writes_per_s=settings.ledger_writes_per_s,
        limits=LedgerLimits(retention_ms=int(settings.ledger_retention_s * MS_PER_S)),
    )
    prefix = f"{settings.store_prefix}/ledger/{settings.service}"
    ledger = Ledger(store, prefix, ledger_settings, clock)
    timing = LinkTiming(
        settings.link_connect_timeout_s,
        settings.link_ping_interval_s,
        settings.link_ping_timeout_s,
    )
    claim_settings = ClaimSettings(
        name=settings.name,
        service=settings.service,
        timeout_s=settings.claim_timeout_s,
        retention_s=settings.ledger_retention_s,
        wait_s=settings.claim_wait_s,
    )
    return ClaimManager(claim_settings, incarnation, ledger, PeerLinks(timing, clock))
