"""How a new process finds its peers and the newest documents.

It asks the contacts in its settings and in the store's directory, those of its own failure
domain first, applies the highest version of several answers, and merges the members. If no
process of its domain answers, it claims the domain's first slot, so that of many processes that
start together one becomes the first and the others find it.
"""

from dataclasses import replace
from random import Random

import curio
import msgspec

from bluebellrun.core import Address, parse_address
from bluebellrun.distribution._directory import Contact, Directory
from bluebellrun.distribution._documents import decode_delta
from bluebellrun.distribution._exceptions import DistributionError
from bluebellrun.distribution._parents import ParentTarget
from bluebellrun.distribution._state import NodeState
from bluebellrun.http import TransportError
from bluebellrun.membership import rank_by_weight
from bluebellrun.messages import (
    GATHER_PATH,
    GatherReply,
    GatherRequest,
    decode_gather_reply,
    encode_message,
)
from bluebellrun.store import Backoff, PlatformError
from bluebellrun.telemetry import get_logger
from bluebellrun.transport import dial

MIN_ANSWERS = 3
MAX_CONTACTS_ASKED = 12
FIRST_SLOT = 0

_log = get_logger("distribution.bootstrap")


class Bootstrap:
    """Join the process's failure domain."""

    def __init__(self, state: NodeState, directory: Directory, random: Random) -> None:
        self._state = state
        self._directory = directory
        self._random = random
        self._contacts: list[Contact] = []
        self._answered: list[ParentTarget] = []

    @property
    def answered(self) -> list[ParentTarget]:
        """Return the processes that answered last."""
        return list(self._answered)

    @property
    def foreign(self) -> list[ParentTarget]:
        """Return contacts of other failure domains by descending rendezvous weight.

        This spreads watchers over the contacts of other domains.
        """
        own = self._state.settings
        others = {c.name: c for c in self._contacts if c.failure_domain != own.failure_domain}
        ranked = rank_by_weight(own.name, others)
        return [replace(_target(others[name]), foreign=True) for name in ranked]

    async def run(self) -> None:
        """Retry until joined; starts are spread so that the fleet stays within its store rates."""
        await curio.sleep(self._state.settings.rates.start_spread_s * self._random.random())
        backoff = Backoff(self._random, initial_s=0.1, max_s=5.0)
        while not await self.try_once():
            await curio.sleep(backoff.pause_s())
        self._state.joined = True
        _log.info("joined", members=len(self._state.members.rows))

    async def try_once(self) -> bool:
        """Query all known contacts; return whether this process has joined its domain."""
        reachable = await self.refresh()
        if await self._gather():
            return True
        return reachable and await self._claim_slot()

    async def refresh(self) -> bool:
        """Read the directory; return whether that worked."""
        try:
            self._contacts = await self._directory.read()
        except PlatformError as error:
            _log.info("directory not read", error=str(error))
            return False
        return True

    async def merge_partitions(self) -> None:
        """Query contacts of this domain that are missing from the member table.

        This merges groups of processes that formed independently.
        """
        members = self._state.members
        own = self._state.settings.failure_domain
        for contact in self._contacts:
            known = members.get(contact.name)
            if contact.failure_domain != own or contact.name == members.own.name:
                continue
            if known is None or known.epoch < contact.epoch:
                await self._request_documents(_target(contact))

    async def _gather(self) -> bool:
        """Query contacts; return whether one of this domain answered."""
        joined = False
        answers = 0
        self._answered = []
        for target in self._ordered_targets()[:MAX_CONTACTS_ASKED]:
            reply = await self._request_documents(target)
            if reply is None:
                continue
            answers += 1
            self._answered.append(target)
            joined = joined or reply.failure_domain == self._state.settings.failure_domain
            if answers >= MIN_ANSWERS and joined:
                break
        return joined

    async def _request_documents(self, target: ParentTarget) -> GatherReply | None:
        """Request a process's documents and members; return its reply, or none on failure."""
        state = self._state
        timeout_s = state.settings.timing.request_timeout_s
        try:
            link = await dial(target.address, state.settings.link)
            try:
                request = encode_message(GatherRequest(state.documents.version))
                reply = decode_gather_reply(await link.call_unary(GATHER_PATH, request, timeout_s))
            finally:
                await link.close()
            await self._apply_reply(target, reply)
        except (TransportError, DistributionError, msgspec.DecodeError) as error:
            _log.info("contact did not answer", contact=target.name, error=str(error))
            return None
        return reply

    async def _apply_reply(self, target: ParentTarget, reply: GatherReply) -> None:
        """Apply a contact's reply where it is newer."""
        state = self._state
        if reply.failure_domain == state.settings.failure_domain:
            await state.merge_rows(reply.rows)
        if reply.news is not None:
            await state.apply_delta(decode_delta(reply.news), target.name)

    async def _claim_slot(self) -> bool:
        """Claim the domain's first slot; return whether this process holds it."""
        try:
            return await self._directory.claim(self._state.members.own, FIRST_SLOT)
        except PlatformError as error:
            _log.info("slot not claimed", error=str(error))
            return False

    def _ordered_targets(self) -> list[ParentTarget]:
        """Return query targets: contacts of this domain, configured seeds, other contacts."""
        settings = self._state.settings
        own_name = settings.name
        same_domain = [c for c in self._contacts if c.failure_domain == settings.failure_domain]
        others = [c for c in self._contacts if c.failure_domain != settings.failure_domain]
        self._random.shuffle(same_domain)
        self._random.shuffle(others)
        seeds = [ParentTarget(str(seed), seed) for seed in settings.seeds]
        self._random.shuffle(seeds)
        ordered = [*map(_target, same_domain), *seeds, *map(_target, others)]
        own = parse_address(self._state.members.own.address)
        return [t for t in ordered if t.name != own_name and t.address != own]


def _target(contact: Contact) -> ParentTarget:
    """Return the parent target of a contact."""
    return ParentTarget(contact.name, _address(contact.address))


def _address(text: str) -> Address:
    """Return an address from the directory."""
    return parse_address(text)
