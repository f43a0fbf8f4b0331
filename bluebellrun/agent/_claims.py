"""Claim idempotency keys for an agent's work, and own shards of the ledger for its peers.

Each shard of a service's ledger has an owner among the service's agents, chosen by rendezvous
hashing, so that claims are written in batches. Ownership is only an optimization: the store
decides, so an agent whose owner does not answer claims directly.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace

import curio
import msgspec

from bluebellrun.agent._peers import PeerError, PeerLinks
from bluebellrun.core import Address, Incarnation
from bluebellrun.declarations import Configuration
from bluebellrun.ledger import (
    ClaimState,
    Declined,
    Finished,
    Granted,
    Ledger,
    LedgerRecord,
    OtherRequest,
    Replay,
    StoredResult,
    Unsettled,
    key_digest,
    key_time_ms,
    owner_of,
    request_fingerprint,
    shard_of,
    wall_clock_ms,
)
from bluebellrun.messages import (
    CLAIM_PATH,
    FATE_PATH,
    SETTLE_PATH,
    ClaimAnswer,
    ClaimVerdict,
    Fate,
    FateAnswer,
    FateQuery,
    Submit,
    decode_claim_answer,
    decode_fate_answer,
    encode_message,
)
from bluebellrun.runtime import spawn_background
from bluebellrun.telemetry import get_logger

MS_PER_S = 1_000
MAX_CLAIM_ROUNDS = 3
SETTLE_RETRY_S = 0.2
OWNER_SLACK_S = 0.5
CLOCK_SLACK_S = 1.0
IN_PROGRESS_POLL_S = 0.1

_log = get_logger("agent.claims")

FateSource = Callable[[FateQuery], FateAnswer]


def _unknown_fate(query: FateQuery) -> FateAnswer:
    """Answer fate queries until ``set_fate_source`` is called."""
    return FateAnswer(Fate.UNKNOWN, "the agent is starting")


@dataclass(frozen=True, slots=True)
class ClaimSettings:
    """The claiming agent and its limits, in seconds.

    ``wait_s`` bounds the wait for an earlier request with the same key to end.
    """

    name: str
    service: str
    timeout_s: float
    retention_s: float
    wait_s: float


class ClaimManager:
    """Manage the claims of one agent and the ledger shards that it owns."""

    def __init__(
        self, settings: ClaimSettings, incarnation: Incarnation, ledger: Ledger, peers: PeerLinks
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._ledger = ledger
        self._peers = peers
        self._agents: dict[str, Address] = {}
        self._owners: list[str] = [settings.name]
        self._claimed: dict[str, LedgerRecord] = {}
        self._unwritten = 0
        self._fate_source: FateSource = _unknown_fate

    @property
    def unwritten(self) -> int:
        """Return how many settlements are not durable yet."""
        return self._unwritten

    def set_fate_source(self, source: FateSource) -> None:
        """Set the function that returns the fates of this agent's own attempts."""
        self._fate_source = source

    async def update_agents(self, configuration: Configuration) -> None:
        """Update the service's agents and shard owners from a new configuration."""
        upstreams = configuration.services.upstreams_of(self._settings.service)
        self._agents = {upstream.name: upstream.agent for upstream in upstreams}
        active = [upstream.name for upstream in upstreams if upstream.accepts_work]
        self._owners = active or list(self._agents) or [self._settings.name]
        await self._peers.retain(set(self._agents.values()))

    async def claim(self, submit: Submit) -> ClaimAnswer:
        """Claim the key of a request that is about to run."""
        now_ms = wall_clock_ms()
        created_ms = key_time_ms(submit.idempotency_key, now_ms)
        if created_ms is not None and created_ms + self._settings.retention_s * MS_PER_S < now_ms:
            reason = (
                f"the key is older than the {self._settings.retention_s:g} s that keys are kept"
            )
            return ClaimAnswer(ClaimVerdict.EXPIRED, None, reason)
        record = self._record(submit, now_ms)
        answer = await self._claim_once(record)
        waited_s = 0.0
        while answer.in_progress and waited_s < self._settings.wait_s:
            await curio.sleep(IN_PROGRESS_POLL_S)
            waited_s += IN_PROGRESS_POLL_S
            answer = await self._claim_once(record)
        if answer.verdict is ClaimVerdict.GRANTED:
            self._claimed[submit.attempt] = record
        return answer

    async def settle(self, attempt: str, state: ClaimState, result: StoredResult | None) -> None:
        """Settle a granted claim in the background, retrying until it is durable."""
        record = self._claimed.pop(attempt, None)
        if record is not None:
            self._unwritten += 1
            settled = replace(record, state=state, result=result)
            await spawn_background(self._settle, settled)

    async def release(self, attempt: str) -> None:
        """Release a granted key; wait at most ``timeout_s`` for the write to be durable."""
        record = self._claimed.pop(attempt, None)
        if record is None:
            return
        self._unwritten += 1
        task = await spawn_background(self._settle, replace(record, state=ClaimState.RELEASED))
        async with curio.ignore_after(self._settings.timeout_s):
            await task.wait()

    async def serve_claim(self, record: LedgerRecord) -> ClaimAnswer:
        """Decide a claim as owner; query the fate of an earlier attempt that is not settled."""
        for _ in range(MAX_CLAIM_ROUNDS):
            decision = await self._ledger.claim(record, self._settings.timeout_s)
            match decision:
                case Granted():
                    return ClaimAnswer(ClaimVerdict.GRANTED)
                case Replay(known, _):
                    return ClaimAnswer(ClaimVerdict.REPLAY, known)
                case Finished(known):
                    return ClaimAnswer(ClaimVerdict.FINISHED, known)
                case OtherRequest(known):
                    return ClaimAnswer(ClaimVerdict.OTHER_REQUEST, known)
                case Declined(reason):
                    return ClaimAnswer(ClaimVerdict.DECLINED, None, reason)
                case Unsettled(known):
                    answer = await self._query_fate(known)
                    if answer.fate is not Fate.NOT_RUN:
                        in_progress = answer.fate is not Fate.UNKNOWN
                        verdict = ClaimVerdict.UNSETTLED
                        return ClaimAnswer(verdict, known, answer.reason, in_progress)
                    released = replace(known, state=ClaimState.RELEASED)
                    await self._ledger.settle(released, self._settings.timeout_s)
        return ClaimAnswer(ClaimVerdict.DECLINED, None, "others claim the same key at this moment")

    async def serve_settle(self, record: LedgerRecord) -> bool:
        """Write a peer's settlement as owner; return whether it is durable."""
        return await self._ledger.settle(record, self._settings.timeout_s)

    async def _claim_once(self, record: LedgerRecord) -> ClaimAnswer:
        """Let the owner decide a claim, or decide it here when the owner does not answer."""
        answer = await self._claim_at_owner(record)
        return await self.serve_claim(record) if answer is None else answer

    async def _settle(self, record: LedgerRecord) -> None:
        """Send a settlement to the owner or write it here; retry until it is durable."""
        try:
            while not await self._settle_once(record):
                await curio.sleep(SETTLE_RETRY_S)
        finally:
            self._unwritten -= 1

    async def _settle_once(self, record: LedgerRecord) -> bool:
        """Try to settle once; return whether it is durable."""
        owner = self._peer_owner(record.key)
        if owner is not None:
            try:
                await self._peers.request(
                    owner, SETTLE_PATH, encode_message(record), self._owner_timeout_s
                )
            except PeerError as error:
                _log.info(
                    "claim not settled by shard owner", attempt=record.attempt, error=str(error)
                )
            else:
                return True
        return await self.serve_settle(record)

    async def _claim_at_owner(self, record: LedgerRecord) -> ClaimAnswer | None:
        """Send a claim to its owner; return none if that is this agent or does not answer."""
        owner = self._peer_owner(record.key)
        if owner is None:
            return None
        try:
            data = await self._peers.request(
                owner, CLAIM_PATH, encode_message(record), self._owner_timeout_s
            )
            return decode_claim_answer(data)
        except (PeerError, msgspec.MsgspecError) as error:
            _log.info("claim not answered by shard owner", attempt=record.attempt, error=str(error))
            return None

    async def _query_fate(self, known: LedgerRecord) -> FateAnswer:
        """Query the fate of an earlier attempt from its agent.

        An agent that does not answer may be paused, so its attempt counts as running.
        """
        query = FateQuery(
            attempt=known.attempt,
            incarnation=known.incarnation,
            age_s=CLOCK_SLACK_S,
            claimed_ms=known.claimed_ms,
        )
        if known.upstream == self._settings.name:
            return self._fate_source(query)
        address = self._agents.get(known.upstream)
        if address is None:
            return FateAnswer(Fate.UNKNOWN, f"{known.upstream} is no longer declared")
        try:
            data = await self._peers.request(
                address, FATE_PATH, encode_message(query), self._settings.timeout_s
            )
            return decode_fate_answer(data)
        except PeerError as error:
            fate = Fate.UNKNOWN if error.not_listening else Fate.RUNNING
            return FateAnswer(fate, f"{known.upstream} does not answer: {error}")
        except msgspec.MsgspecError as error:
            return FateAnswer(Fate.UNKNOWN, f"{known.upstream} answers wrongly: {error}")

    @property
    def _owner_timeout_s(self) -> float:
        """Return the timeout of a call to an owner, which may query the store and another agent."""
        return self._settings.timeout_s + OWNER_SLACK_S

    def _peer_owner(self, key: str) -> Address | None:
        """Return the address of the owner of a key's shard, none when that is this agent."""
        owner = owner_of(shard_of(key, self._ledger.shards), self._owners)
        if owner is None or owner == self._settings.name:
            return None
        return self._agents.get(owner)

    def _record(self, submit: Submit, now_ms: int) -> LedgerRecord:
        """Return the ledger record that claims a request's key."""
        return LedgerRecord(
            key=key_digest(submit.customer, submit.service, submit.idempotency_key),
            fingerprint=request_fingerprint(submit.method, submit.target, submit.body),
            request=submit.request,
            attempt=submit.attempt,
            upstream=self._settings.name,
            incarnation=self._incarnation,
            claimed_ms=now_ms,
        )
