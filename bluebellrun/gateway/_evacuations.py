"""The failure domains whose upstreams get no requests, as the store names them. Pure.

A store that was restored from an older copy may lack an evacuation that the operator has not
withdrawn. It stays in force for a short time, in which the operator can write it again.
"""

from collections.abc import Collection, Mapping

# Time in which whoever watches a restored store writes again what its copy lacks; the platform
# writes its own keys again within two seconds.
RESTORE_HOLD_S = 10.0


class Evacuations:
    """The evacuated failure domains; times in seconds."""

    def __init__(self) -> None:
        self._revisions: dict[str, int] = {}
        # Domains whose evacuation a restored store lacks, and until when it stays in force.
        self._held: dict[str, float] = {}

    @property
    def domains(self) -> Collection[str]:
        """Return the evacuated failure domains."""
        return self._revisions.keys()

    def put(self, domain: str, revision: int) -> bool:
        """Evacuate a domain; return whether it was not evacuated before."""
        is_new = domain not in self._revisions
        self._revisions[domain] = revision
        self._held.pop(domain, None)
        return is_new

    def withdraw(self, domain: str) -> bool:
        """Withdraw the evacuation of a domain; return whether it was in force."""
        self._held.pop(domain, None)
        return self._revisions.pop(domain, None) is not None

    def replace_all(
        self, revisions: Mapping[str, int], now: float, restored: bool = False
    ) -> tuple[list[str], list[str]]:
        """Replace all evacuations by those of a copy of the store.

        Return the domains that are newly evacuated and those whose evacuation is withdrawn. With
        ``restored``, the copy is older than what was known: what it lacks stays for a while.
        """
        begun = [domain for domain in revisions if self.put(domain, revisions[domain])]
        missing = [domain for domain in self._revisions if domain not in revisions]
        if restored:
            for domain in missing:
                self._held.setdefault(domain, now + RESTORE_HOLD_S)
        withdrawn = [name for name in missing if name not in self._held and self.withdraw(name)]
        return begun, withdrawn

    def expire(self, now: float) -> list[str]:
        """Withdraw what was not written again after a restore; return the domains."""
        expired = [domain for domain, until in self._held.items() if now >= until]
        return [domain for domain in expired if self.withdraw(domain)]
