"""Exchange crash reports with the other entries, and keep this entry's own in the store.

Every entry sends all the reports that it knows, so that one lost datagram or silent entry keeps no
other from learning of a crash. The store keeps them for entries that start later.
"""

import time
from collections.abc import Sequence

import curio
import msgspec

from bluebellrun.core import DecodingError, decode
from bluebellrun.gateway._store_view import StoreView
from bluebellrun.quarantine import CrashReport, PromptQuarantine, QuarantineSettings
from bluebellrun.store import KeyValueStore, PlatformError, Put, StorePosition
from bluebellrun.telemetry import get_logger

# Changed reports are sent in every round for this long, and then in each OLD_REPORTS_ROUNDS-th one,
# for entries that started or lost datagrams since.
FRESH_S = 3.0
OLD_REPORTS_ROUNDS = 10
# Parts that one message names; the reports of further crashes follow in the next ones.
MAX_PARTS_PER_MESSAGE = 256
INTERVAL_S = 0.25
# Pause after a failed write, as the store may be down.
RETRY_INTERVAL_S = 1.0

_log = get_logger("crash-reports")
_decoder = msgspec.msgpack.Decoder(CrashReport)


class CrashExchange:
    """Send, receive and store the reports of a quarantine.

    ``prefix`` is the prefix of all entries' reports in the store, ``host`` names this entry.
    ``crash_recorded`` is set when this entry has seen a crash.
    """

    def __init__(
        self,
        quarantine: PromptQuarantine,
        settings: QuarantineSettings,
        store: KeyValueStore,
        view: StoreView,
        prefix: str,
        host: str,
        crash_recorded: curio.Event | None = None,
    ) -> None:
        self._quarantine = quarantine
        self._settings = settings
        self._store = store
        self._view = view
        self._prefix = prefix
        self._host = host
        self._crash_recorded = crash_recorded or curio.Event()
        self._rounds = 0
        self._next_report = 0
        self._stored: dict[str, CrashReport] = {}
        self._stored_era = 0
        self._read: dict[str, StorePosition] = {}

    async def own_crash_within(self, seconds: float) -> bool:
        """Wait until this entry has seen a crash; return false if it sees none for so long."""
        await curio.ignore_after(seconds, self._crash_recorded.wait)
        is_recorded = self._crash_recorded.is_set()
        self._crash_recorded.clear()
        return is_recorded

    def outgoing(self, now: float) -> list[CrashReport]:
        """Return the reports to send in this round."""
        self._rounds += 1
        is_fresh = now - self._quarantine.changed_at < FRESH_S
        if not is_fresh and self._rounds % OLD_REPORTS_ROUNDS:
            return []
        reports = self._quarantine.reports(now)
        return self._bounded(reports)

    def receive(
        self, entry: str, reports: Sequence[CrashReport], probing: Sequence[str], now: float
    ) -> None:
        """Apply the reports and probes of another entry."""
        for report in reports:
            self._apply(report, "entry", now)
        self._quarantine.apply_peer_probes(entry, probing, now)

    async def run(self) -> None:
        """Read and write reports in the store until cancelled."""
        while True:
            await curio.sleep(INTERVAL_S)
            self._quarantine.expire(time.monotonic())
            self._read_stored()
            try:
                await self._write_own()
            except PlatformError as error:
                _log.info("crash report not stored", reason=str(error))
                await curio.sleep(RETRY_INTERVAL_S)

    def _bounded(self, reports: list[CrashReport]) -> list[CrashReport]:
        """Return as many reports as one message has room for, in turn."""
        start = self._next_report % len(reports) if reports else 0
        chosen: list[CrashReport] = []
        parts = 0
        for report in reports[start:] + reports[:start]:
            parts += len(report.beginning) + len(report.waiting)
            parts += len(report.cleared) + len(report.prompts)
            if chosen and parts > MAX_PARTS_PER_MESSAGE:
                break
            chosen.append(report)
        self._next_report = start + len(chosen)
        return chosen

    def _apply(self, report: CrashReport, source: str, now: float) -> None:
        """Apply a report and log what is new."""
        if self._quarantine.apply(report, now):
            _log.info(
                "crash report applied",
                source=source,
                upstream=report.instance,
                started_ms=report.started_ms,
                age_s=report.age_s,
                beginning=report.beginning,
                waiting=report.waiting,
                cleared=report.cleared,
                prompts=report.prompts,
            )

    def _read_stored(self) -> None:
        """Apply the reports that entries have stored since the last turn."""
        records = self._view.records_below(self._prefix)
        known, self._read = self._read, {}
        for record in records:
            self._read[record.key] = record.position
            if record.value is None or known.get(record.key) == record.position:
                continue
            try:
                report = decode(_decoder, record.value)
            except DecodingError as error:
                _log.warning("crash report ignored", key=record.key, reason=str(error))
                continue
            self._apply(report, "store", time.monotonic())

    async def _write_own(self) -> None:
        """Store this entry's own reports that are new, have changed or were lost by a restore."""
        if self._stored_era != self._store.era:
            self._stored.clear()
            self._stored_era = self._store.era
        own = {self._key(report): report for report in self._quarantine.own_reports()}
        self._stored = {key: report for key, report in self._stored.items() if key in own}
        for key, report in own.items():
            if self._stored.get(key) == report:
                continue
            lease = await self._store.grant_lease(int(self._settings.retention_s))
            await self._store.transact([], [Put(key, msgspec.msgpack.encode(report), lease)])
            self._stored[key] = report
            _log.info("crash report stored", key=key)

    def _key(self, report: CrashReport) -> str:
        """Return the key of this entry's report of a crash."""
        return f"{self._prefix}{report.instance}-{report.started_ms}/{self._host}"
