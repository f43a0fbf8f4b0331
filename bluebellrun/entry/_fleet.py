"""The upstreams an entry may choose among, each with its channel."""

from bluebellrun.core import Clock, invariants
from bluebellrun.declarations import Configuration
from bluebellrun.entry._channel import AgentChannel
from bluebellrun.entry._settings import EntrySettings
from bluebellrun.membership import Departures, MemberRow, choose_subset
from bluebellrun.routing import Candidate
from bluebellrun.transport import LinkTiming
from bluebellrun.upstreams import Upstream


class Fleet:
    """Channels to all declared upstreams."""

    def __init__(self, settings: EntrySettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._channels: dict[str, AgentChannel] = {}
        self._departures = Departures()
        self._entries: frozenset[str] = frozenset()
        self._subset: frozenset[str] = frozenset()
        self._subset_of: tuple[frozenset[str], frozenset[str]] = (frozenset(), frozenset())
        self._timing = LinkTiming(
            settings.link_connect_timeout_s,
            settings.link_ping_interval_s,
            settings.link_ping_timeout_s,
        )

    async def apply_configuration(self, configuration: Configuration) -> None:
        """Follow a new configuration: add, change and remove channels."""
        declared = {upstream.name: upstream for upstream in configuration.upstreams}
        for name, upstream in declared.items():
            await self._follow(name, upstream)
        for name in [name for name in self._channels if name not in declared]:
            if self._channels[name].in_flight == 0:
                await self._channels.pop(name).close()
        self._choose_subset()

    async def apply_departures(self, departures: Departures) -> None:
        """Send no new work to hosts and members that are leaving."""
        self._departures = departures

    async def apply_peers(self, members: list[MemberRow]) -> None:
        """Divide the upstreams anew when the entries of this failure domain changed."""
        self._entries = frozenset(row.name for row in members if row.role == "entry")
        self._choose_subset()

    def channels(self) -> list[AgentChannel]:
        """Return the channels to all upstreams."""
        return list(self._channels.values())

    def channel(self, name: str) -> AgentChannel:
        """Return the channel to an upstream."""
        channel = self._channels[name]
        works = self._takes_work(channel)
        invariants.check(works, "no new work to a leaving upstream", upstream=name)
        return channel

    def candidates(self, service: str, excluded: set[str]) -> list[Candidate]:
        """Return the upstreams of a service that may take a new request.

        They are those of this entry's subset, or all when none of the subset may.
        """
        found = self._candidates(service, excluded)
        chosen = [candidate for candidate in found if candidate.name in self._subset]
        return chosen or found

    def _candidates(self, service: str, excluded: set[str]) -> list[Candidate]:
        """Return all upstreams of a service that may take a new request."""
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
            and self._takes_work(channel)
            and not channel.draining
            and name not in excluded
        ]

    def _takes_work(self, channel: AgentChannel) -> bool:
        """Return whether new work may be sent to an upstream, by all that is known of it."""
        upstream = channel.upstream
        return upstream.accepts_work and not self._departures.includes(upstream.host, upstream.name)

    def _choose_subset(self) -> None:
        """Choose the upstreams that this entry keeps links to: those of its region, if any."""
        settings = self._settings
        upstreams = [channel.upstream for channel in self._channels.values()]
        near = [item.name for item in upstreams if item.region == settings.region]
        names = frozenset(near or [item.name for item in upstreams])
        if (names, self._entries) == self._subset_of:
            return
        self._subset_of = (names, self._entries)
        self._subset = choose_subset(
            settings.name, self._entries, names, settings.entries_per_upstream
        )

    async def _follow(self, name: str, upstream: Upstream) -> None:
        """Make or change the channel to one upstream."""
        channel = self._channels.get(name)
        if channel is not None and channel.upstream.agent == upstream.agent:
            channel.follow(upstream)
            return
        if channel is not None:
            await channel.close()
        self._channels[name] = AgentChannel(
            upstream, self._timing, self._settings.flush_interval_s, self._clock
        )
