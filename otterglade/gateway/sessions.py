"""Playing sessions as published to the front's threads: written by the decision loop, read by all threads.

A `LiveSession` is replaced rather than changed, with two exceptions: `last_fetch_at`, which any front thread
may set and only the idle check reads, and the cached response, which is the same whichever thread makes it.
Reads are single look-ups, so that a playlist reload or a segment needs neither a lock nor the decision loop.
"""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from ..core.messages import Key, SessionView
from ..core.tokens import TokenClaims, TokenSigner
from .titles import GrowingPlaylist

MAX_ENDED_SESSIONS = 100_000
"""Ended sessions that are kept, so that a player's next segment request finds its former session."""


@dataclass(slots=True)
class LiveSession:
    """A playing session."""

    name: str
    """The signed name in the addresses of its playlist."""
    view: SessionView
    setup_key: str
    """Set-up key of the session at its host."""
    host_url: str
    """URL of the host: http://HOST:PORT."""
    last_fetch_at: float
    """Monotonic time of the last request."""
    response_source: object = None
    """The rendition that `response` was made from; the response is valid while the rendition is the same."""
    response: bytes = b""
    """The complete response to a playlist reload on a keep-alive connection."""


@dataclass(frozen=True, slots=True)
class EndedSession:
    """A session that has ended, kept for a late request of its player."""

    key: Key
    top: int
    resumable: bool
    """Whether the player's next segment request sets the session up again."""


class SessionTable:
    """Playing and ended sessions by name; `publish` and `withdraw` are called on the decision loop only."""

    def __init__(self, signer: TokenSigner, classes: tuple[str, ...], lifetime: float) -> None:
        """`lifetime`: seconds for which a signed name is valid."""
        self._signer, self._classes, self._lifetime = signer, classes, lifetime
        self._names: dict[Key, str] = {}
        self.live: dict[str, LiveSession] = {}
        self._aliases: OrderedDict[str, str] = OrderedDict()
        """Names that other runs or gateways have signed for sessions of this one, to the names used here."""
        self._ended_sessions: OrderedDict[str, EndedSession] = OrderedDict()
        self.grown: dict[str, GrowingPlaylist] = {}
        """Playlists of titles with initialisation sections, kept while their sessions are known."""

    def set_signer(self, signer: TokenSigner, lifetime: float) -> None:
        """Replace the signing keys; names signed before stay valid while their sessions are known here."""
        self._signer, self._lifetime = signer, lifetime

    def verify_name(self, name: str) -> TokenClaims:
        """Verify a name that is not known here and return its claims. Raises TokenError."""
        return self._signer.verify(name, time.time())

    def _name_for(self, view: SessionView, setup_key: str) -> str:
        """The signed name of a session; rung changes and moves keep it, so that playlists stay valid."""
        known = self._names.get(view.key)
        if known is not None:
            return known
        viewer, class_no, title = view.key
        expires_at = int(time.time() + self._lifetime)
        return self._signer.sign(
            TokenClaims(
                viewer,
                self._classes[class_no],
                title,
                view.top,
                view.rung,
                view.server,
                setup_key,
                expires_at,
            )
        )

    def by_name(self, name: str) -> LiveSession | None:
        """A playing session by its name or by an alias."""
        return self.live.get(name) or self.live.get(self._aliases.get(name, ""))

    def add_alias(self, name: str, live: LiveSession) -> None:
        """Record a name signed by another run or gateway as an alias of this session."""
        if name != live.name:
            self._aliases[name] = live.name
            while len(self._aliases) > MAX_ENDED_SESSIONS:
                self._aliases.popitem(last=False)

    def by_key(self, key: Key) -> LiveSession | None:
        """The playing session of a viewer, class and title."""
        name = self._names.get(key)
        return None if name is None else self.live.get(name)

    def ended_session(self, name: str) -> EndedSession | None:
        """An ended session by its name or by an alias."""
        return self._ended_sessions.get(name) or self._ended_sessions.get(self._aliases.get(name, ""))

    def publish(self, view: SessionView, setup_key: str, host_url: str, now: float) -> None:
        """Publish a session's new view; `setup_key` and `host_url` are those of its host."""
        name = self._name_for(view, setup_key)
        old = self.live.get(name)
        # A new session counts as a fetch, a change of rung does not.
        last_fetch_at = old.last_fetch_at if old is not None and old.view.session == view.session else now
        self.live[name] = LiveSession(name, view, setup_key, host_url, last_fetch_at)
        self._names[view.key] = name
        self._ended_sessions.pop(name, None)

    def withdraw(self, key: Key, session: int, resumable: bool) -> None:
        """Move a session that has ended from the playing to the ended ones."""
        name = self._names.get(key)
        live = self.live.get(name) if name is not None else None
        if name is None or live is None or live.view.session != session:
            return
        del self.live[name]
        if not resumable:
            del self._names[key]  # a paid session that is set up again is a new session
        self._ended_sessions[name] = EndedSession(key, live.view.top, resumable)
        if len(self._ended_sessions) > MAX_ENDED_SESSIONS:
            oldest_name, oldest = self._ended_sessions.popitem(last=False)
            self.grown.pop(oldest_name, None)
            if oldest.key in self._names and self._names[oldest.key] == oldest_name:
                del self._names[oldest.key]

    def idle_sessions(self, now: float, limit: Callable[[str], float]) -> list[int]:
        """Numbers of the sessions without a fetch for longer than `limit(title)` seconds."""
        sessions = list(self.live.values())
        return [x.view.session for x in sessions if now - x.last_fetch_at > limit(x.view.key[2])]
