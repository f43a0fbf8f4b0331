"""The declared upstreams and the channels of an entry to them."""

from bluebellrun.core import Clock, invariants
from bluebellrun.declarations import Configuration
from bluebellrun.entry._channel import AgentChannel
from bluebellrun.entry._settings import EntrySettings
from bluebellrun.membership import Departures, MemberRow, choose_subset
from bluebellrun.routing import Candidate
from bluebellrun.transport import LinkTiming
from bluebellrun.upstreams import Upstream


class Fleet:
    """Manage the channels to all declared upstreams and select candidates for requests."""

    def __init__(self, settings: EntrySettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._channels: dict[str, AgentChannel] = {}
        self._departures = Departures()
        self._entries: frozenset[str] = frozenset()
        self._subset: frozenset[str] = frozenset()
        self._subset_inputs: tuple[frozenset[str], frozenset[str]] = (frozenset(), frozenset())
        self._timing = LinkTiming(
            settings.link_connect_timeout_s,
            settings.link_ping_interval_s,
            settings.link_ping_timeout_s,
        )

    async def apply_configuration(self, configuration: Configuration) -> None:
        """Add, update and remove channels to match a new configuration.

        A removed upstream's channel stays while it has attempts in flight.
        """
        declared = {upstream.name: upstream for upstream in configuration.upstreams}
        for name, upstream in declared.items():
            await self._update_channel(name, upstream)
        for name in [name for name in self._channels if name not in declared]:
            if self._channels[name].in_flight == 0:
                await self._channels.pop(name).close()
        self._choose_subset()

    async def apply_departures(self, departures: Departures) -> None:
        """Stop sending new work to hosts and members that are leaving."""
        self._departures = departures

    async def apply_peers(self, members: list[MemberRow]) -> None:
        """Choose the subset again if the entries of this failure domain have changed."""
        self._entries = frozenset(row.name for row in members if row.role == "entry")
        self._choose_subset()

    def channels(self) -> list[AgentChannel]:
        """Return the channels to all upstreams."""
        return list(self._channels.values())

    def channel(self, name: str) -> AgentChannel:
        """Return the channel to an upstream, checking that it accepts new work."""
        channel = self._channels[name]
        accepts_work = self._accepts_work(channel)
        invariants.check(accepts_work, "no new work to a leaving upstream", upstream=name)
        return channel

    def candidates(self, service: str, excluded: set[str]) -> list[Candidate]:
        """Return the upstreams of a service that can accept a new request.

        Only those in this entry's subset are returned, or all if the subset has none.
        """
        found = self._find_candidates(service, excluded)
        chosen = [candidate for candidate in found if candidate.name in self._subset]
        return chosen or found

    def _find_candidates(self, service: str, excluded: set[str]) -> list[Candidate]:
        """Return all upstreams of a service that can accept a new request."""
        return [
            Candidate(
                name=name,
                region=channel.upstream.region,
                failure_domain=channel.upstream.failure_domain,
                in_flight=channel.in_flight,
                load=channel.load,
            )
            for name, channel in self._channels.items()
            if channel.upstream.service == service
            and self._accepts_work(channel)
            and not channel.draining
            and name not in excluded
        ]

    def _accepts_work(self, channel: AgentChannel) -> bool:
        """Return whether an upstream is declared as accepting work and is not leaving."""
        upstream = channel.upstream
        return upstream.accepts_work and not self._departures.includes(upstream.host, upstream.name)

    def _choose_subset(self) -> None:
        """Choose this entry's subset of the upstreams in its region, or of all if it has none."""
        settings = self._settings
        upstreams = [channel.upstream for channel in self._channels.values()]
        in_region = [item.name for item in upstreams if item.region == settings.region]
        names = frozenset(in_region or [item.name for item in upstreams])
        if (names, self._entries) == self._subset_inputs:
            return
        self._subset_inputs = (names, self._entries)
        self._subset = choose_subset(
            settings.name, self._entries, names, settings.entries_per_upstream
        )

    async def _update_channel(self, name: str, upstream: Upstream) -> None:
        """Create or update an upstream's channel; replace it if the agent's address changed."""
        channel = self._channels.get(name)
        if channel is not None and channel.upstream.agent == upstream.agent:
            channel.update(upstream)
            return
        if channel is not None:
            await channel.close()
        self._channels[name] = AgentChannel(
            upstream, self._timing, self._settings.flush_interval_s, self._clock
        )
