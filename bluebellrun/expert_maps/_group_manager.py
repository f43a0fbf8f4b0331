"""One model group: its ranks, the demand for its experts and the current change of its map."""

import time
from collections.abc import Callable, Collection

from bluebellrun.expert_maps._group_demand import GroupDemand
from bluebellrun.expert_maps._group_planning import plan_map
from bluebellrun.expert_maps._map_versions import MapVersions
from bluebellrun.expert_maps._ports import OrderReply, RankCallError, RankCalls, RankReplacedError
from bluebellrun.expert_maps._role import PlacementRole
from bluebellrun.expert_maps._service_ranks import ServiceRanks, run_all
from bluebellrun.expert_maps._survey import Reported, split_groups
from bluebellrun.gateway._models import Upstream
from bluebellrun.placement import (
    ArmMap,
    ChangeSettings,
    ClaimRank,
    MarginSettings,
    Placement,
    PlacementChange,
    PrepareMap,
    RankOrder,
    RankState,
    default_placement,
    margin_steps,
    release_held_passes,
)
from bluebellrun.telemetry import get_logger

READ_INTERVAL_S = 0.12
# Ranks are polled this often during a change: passes take some dozens of milliseconds.
CHANGE_INTERVAL_S = 0.02
# States are re-read this often without a change, to detect ranks that left, joined or slowed.
STATES_INTERVAL_S = 1.5
EPOCH_BEFORE_READING = -1
PLAN_INTERVAL_S = 0.2
# Without a shift of demand a plan is followed by a pause of so many times its duration at least, so
# that planning takes about an eighth of the processor at the most.
PLAN_PAUSE_FACTOR = 8.0

ACCEPTED_REPLIES = frozenset({OrderReply.ACCEPTED, OrderReply.DONE})

_log = get_logger("expert-maps")


class FencedError(Exception):
    """A rank has seen a higher fencing number."""


class GroupManager:
    """One group: its ranks, the demand for its experts and the current change."""

    def __init__(
        self,
        service: str,
        name: str,
        demand: GroupDemand,
        calls: RankCalls,
        upstreams: ServiceRanks,
        role: PlacementRole,
        versions: MapVersions,
        load: Callable[[str, Collection[str]], float],
    ) -> None:
        self._service = service
        self._name = name
        self._names = {"service": service, "group": name}
        self._experts = demand.experts
        self._calls = calls
        self._upstreams = upstreams
        self._role = role
        self._versions = versions
        self._load = load
        self._states: dict[int, RankState] = {}
        self._ranks: dict[int, Upstream] = {}
        self._is_complete = False
        self._unreachable_since: float | None = None
        self._read_at = 0.0
        self._plan_from = 0.0
        self._arm_s: float | None = None
        self._epoch = EPOCH_BEFORE_READING
        self._fencing = 0
        self._claimed: set[int] = set()
        self._current: Placement | None = None
        self._change: PlacementChange | None = None
        self._demand = demand

    @property
    def slowness(self) -> dict[str, float]:
        """Return how many times as long as typical each upstream reports to take."""
        states = self._states
        return {
            upstream.instance: states[rank].slowness
            for rank, upstream in self._ranks.items()
            if rank in states
        }

    @property
    def is_complete(self) -> bool:
        """Return whether all ranks answered, and the group is formed."""
        return self._is_complete

    def unreachable_s(self, now: float) -> float:
        """Return for how long ranks that are registered have not answered, 0 if all do."""
        return 0.0 if self._unreachable_since is None else now - self._unreachable_since

    @property
    def is_changing(self) -> bool:
        """Return whether a change of the map is in progress."""
        return self._change is not None

    async def turn(self, fencing: int) -> float:
        """Do the next step of the group's work; return the seconds to the next turn."""
        if fencing != self._fencing:
            self._begin_role(fencing)
        if not await self._refresh_states(time.monotonic()):
            return READ_INTERVAL_S
        if not await self._claim(fencing) or not await self._find_current():
            return CHANGE_INTERVAL_S
        if self._change is not None:
            await self._drive(self._change, fencing)
            return CHANGE_INTERVAL_S
        await self._release_stray_holds(fencing)
        await self._read_counts(self._epoch)
        if time.monotonic() >= self._plan_from:
            await self._plan(fencing)
        return READ_INTERVAL_S if self._change is None else 0.0

    async def _refresh_states(self, now: float) -> bool:
        """Read the states needed now; return whether a complete group is known."""
        if self._change is not None and self._read_at:
            return await self._reread_states(self._change.ranks_to_read(self._states))
        if now - self._read_at > STATES_INTERVAL_S:
            return await self._read_states()
        return bool(self._ranks)

    async def _reread_states(self, ranks: list[int]) -> bool:
        """Read the states of some ranks; return whether the group is still the same."""
        numbers = {self._ranks[rank].instance: rank for rank in ranks}
        for upstream, state in await self._upstreams.read([self._ranks[rank] for rank in ranks]):
            rank = numbers[upstream.instance]
            if (state.group, state.epoch, state.rank) != (self._name, self._epoch, rank):
                self._read_at = 0.0
            else:
                self._states[rank] = state
        return self._read_at > 0.0

    async def _read_states(self) -> bool:
        """Read the states of the group's upstreams; return whether the complete group answered.

        Upstreams that no survey has found to be ranks are asked too while ranks are missing.
        """
        now = time.monotonic()
        await self._upstreams.update(now)
        asked = self._upstreams.of_group(self._name, with_unknown=not self._read_at)
        answers = await self._upstreams.read(asked)
        self._note_unreachable(asked, answers, now)
        found = split_groups(answers).get(self._name)
        self._is_complete = found is not None and found.is_complete
        if found is None or not found.is_complete:
            self._read_at = 0.0
            return False
        self._read_at = now
        self._states = {rank: state for rank, (_, state) in found.ranks.items()}
        self._ranks = {rank: upstream for rank, (upstream, _) in found.ranks.items()}
        if self._epoch != found.epoch:
            self._begin_epoch(found.epoch)
        self._demand.set_size(found.size)
        return True

    def _note_unreachable(self, asked: list[Upstream], answers: list[Reported], now: float) -> None:
        """Note since when upstreams of the group that are registered do not answer."""
        silent = {item.instance for item in asked} - {item.instance for item, _ in answers}
        if not any(self._upstreams.is_registered(instance) for instance in silent):
            self._unreachable_since = None
        elif self._unreachable_since is None:
            self._unreachable_since = now

    def _begin_role(self, fencing: int) -> None:
        """Reset under a new fencing number: another process may have acted meanwhile."""
        self._fencing = fencing
        self._read_at = 0.0
        self._claimed.clear()
        self._current = None
        self._change = None

    def _begin_epoch(self, epoch: int) -> None:
        """Reset: the group has re-formed, with nothing prepared, armed or held."""
        _log.info("group formed", **self._names, epoch=epoch)
        self._epoch = epoch
        self._claimed.clear()
        self._current = None
        self._change = None
        self._plan_from = 0.0

    async def _forget(self, upstream: Upstream) -> None:
        """Drop an upstream whose incarnation has ended."""
        self._read_at = 0.0
        await self._upstreams.forget(upstream)

    async def _claim(self, fencing: int) -> bool:
        """Make every rank refuse older fencing numbers; return whether all do."""
        unclaimed = [rank for rank in self._ranks if rank not in self._claimed]
        if not unclaimed:
            return True
        replies = await self._send_orders([(rank, ClaimRank()) for rank in unclaimed], fencing)
        self._claimed.update(rank for rank, reply in replies.items() if reply is not None)
        if len(self._claimed) < len(self._ranks):
            return False
        return await self._read_states()

    async def _find_current(self) -> bool:
        """Determine the map in use and resume a change that another process began."""
        if self._current is not None or self._change is not None:
            return True
        versions = {state.active for state in self._states.values()}
        if len(versions) != 1:
            return False
        sizes = self._experts
        if versions == {0}:
            self._demand.expect_prior()
            self._current = default_placement(sizes.layers, len(self._ranks), sizes.experts)
        else:
            self._current = await self._upstreams.placement(self._ranks, sizes.layers)
        if self._current is None:
            return False
        self._resume_change()
        return True

    def _resume_change(self) -> None:
        """Resume a change for which a rank is armed."""
        armed = [state for state in self._states.values() if state.armed_step is not None]
        if not armed or self._current is None:
            return
        version, step = armed[0].armed_version, armed[0].armed_step
        if version is None or step is None:
            return
        _log.info("change resumed", **self._names, version=version, step=step)
        self._change = PlacementChange(version, None, ChangeSettings(), time.monotonic())
        self._change.resume_armed(step)

    async def _drive(self, change: PlacementChange, fencing: int) -> None:
        """Send a change's orders as long as ranks accept them immediately."""
        orders = change.decide(self._states, time.monotonic())
        while orders:
            replies = await self._send_orders(orders, fencing)
            for rank, order in orders:
                reply = replies.get(rank)
                if reply in ACCEPTED_REPLIES:
                    done = reply is OrderReply.DONE
                    self._states[rank] = change.state_after(self._states[rank], order, done)
            if not ACCEPTED_REPLIES.intersection(replies.values()):
                break
            orders = change.decide(self._states, time.monotonic())
        if change.done:
            lasted = change.durations(time.monotonic())
            self._arm_s = lasted.arm_s
            _log.info(
                "map in use",
                **self._names,
                version=change.version,
                prepare_s=round(lasted.prepare_s, 3),
                arm_s=round(lasted.arm_s, 3),
                switch_s=round(lasted.switch_s, 3),
            )
            self._current = change.placement
            self._change = None
        elif change.failed:
            _log.warning("map change failed", **self._names, version=change.version)
            self._change = None

    async def _release_stray_holds(self, fencing: int) -> None:
        """Release passes held without a change: an order may be carried out late."""
        orders = release_held_passes(self._states)
        if orders:
            _log.info("stray holds released", **self._names, ranks=len(orders))
            await self._send_orders(orders, fencing)
            self._read_at = 0.0

    async def _read_counts(self, epoch: int) -> None:
        """Read the demand, and note what else that shows."""
        read = await self._demand.read(self._ranks, epoch)
        if read.other_epoch:
            self._read_at = 0.0
        elif read.slowed:
            self._read_at = min(self._read_at, time.monotonic() - STATES_INTERVAL_S)
        if read.shifted:
            self._plan_from = 0.0

    async def _plan(self, fencing: int) -> None:
        """Plan a better map and begin a change to it if it is worthwhile."""
        if self._current is None or not self._demand.is_known:
            return
        began = time.monotonic()
        slowness = [self._states[rank].slowness for rank in sorted(self._states)]
        # A group that has just formed will be loaded: its passes take long until it has a map.
        load = 1.0
        if self._demand.is_observed:
            load = self._load(self._service, [item.instance for item in self._ranks.values()])
        placement = await plan_map(self._names, self._demand, self._current, slowness, load)
        pause_s = PLAN_PAUSE_FACTOR * (time.monotonic() - began)
        self._plan_from = began + max(PLAN_INTERVAL_S, pause_s)
        if placement is None or self._role.lease() is None:
            return
        version = self._versions.next(fencing)
        if version is None or version <= self._highest_version():
            # A new number is higher than all that ranks have prepared.
            raise FencedError
        margin = margin_steps(len(self._ranks), self._arm_s, self._demand.step_s, MarginSettings())
        settings = ChangeSettings(margin_steps=margin)
        self._change = PlacementChange(version, placement, settings, time.monotonic())

    def _highest_version(self) -> int:
        """Return the highest map version that a rank uses or has prepared."""
        return max(max(state.active, state.prepared or 0) for state in self._states.values())

    async def _send_orders(
        self, orders: list[tuple[int, RankOrder]], fencing: int
    ) -> dict[int, OrderReply | None]:
        """Send orders to ranks concurrently; a reply is none if none arrived."""
        replies: dict[int, OrderReply | None] = {}
        epoch = self._epoch

        async def send(rank: int, order: RankOrder) -> None:
            replies[rank] = None
            try:
                replies[rank] = await self._calls.send_order(
                    self._ranks[rank], order, epoch, fencing
                )
            except RankReplacedError:
                await self._forget(self._ranks[rank])
                return
            except RankCallError as error:
                _log.info("order not answered", rank=rank, reason=str(error))
                return
            if replies[rank] is OrderReply.CONFLICT:
                _log.info("order refused", rank=rank, order=type(order).__name__)
                if isinstance(order, PrepareMap) and self._change is not None:
                    self._change.fail()
                elif isinstance(order, ArmMap):
                    self._read_at = 0.0

        if self._role.lease() is None:
            return replies
        await run_all([(send, pair) for pair in orders])
        if OrderReply.FENCED in replies.values():
            raise FencedError
        return replies
