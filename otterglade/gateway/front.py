"""The HLS front: answers players' requests with playlists and redirects.

    GET /watch/{class}/{title}.m3u8?viewer=KEY    the session's playlist: starts or joins the session
    GET /s/{session}/{number}.{ext}               302 to the segment on the current host and rung
    GET /s/{session}/aside/{rung}/{n}             302 to a key or an initialisation section
    GET /healthz, /status                         for operators

A viewer may add `top=R` (the highest rung that it can use) and `hint=S` (seconds that it will watch).
"""

from __future__ import annotations

import functools
import itertools
import math
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from ..core import messages
from ..core.attempts import AttemptRecord, AttemptState
from ..core.session_manager import SessionManager
from ..core.tokens import TokenError
from ..net.http import Client, Exchange
from ..obs.logs import Log
from ..wire.query import QueryError, decimal, decoded, fields, whole
from .loop import Loop
from .sessions import LiveSession, SessionTable
from .titles import GrowingPlaylist, Rendition, TitleCatalogue, TitleError

PLAYLIST = (b"Content-Type", b"application/vnd.apple.mpegurl")
NO_STORE = (b"Cache-Control", b"no-store")
PLAIN = (b"Content-Type", b"text/plain; charset=utf-8")
JSON = (b"Content-Type", b"application/json")
DISCONNECT_CHECK_SECONDS = 0.1
"""Interval of the checks whether a waiting player has closed its connection."""


@dataclass(slots=True)
class PendingRequest:
    """A viewer's request whose thread waits for the session manager's verdict."""

    ready: threading.Lock = field(default_factory=threading.Lock)
    verdict: messages.Verdict | None = None

    def __post_init__(self) -> None:
        self.ready.acquire()

    def resolve(self, verdict: messages.Verdict) -> None:
        """Store the verdict and wake the waiting thread."""
        self.verdict = verdict
        self.ready.release()


@dataclass(frozen=True, slots=True)
class FrontOptions:
    """What players may request, and how long they wait; times in seconds."""

    class_numbers: dict[str, int]
    titles: frozenset[str]
    patience_seconds: tuple[float, ...]
    """By class number."""
    top_rung: int
    answer_margin_seconds: float


class ViewerDisconnected(Exception):  # noqa: N818 - an event of a connection, not an error
    """The player closed its connection while its request was waiting."""


class Front:
    """Answers players on the threads of their connections.

    All methods run on the thread of the player's connection, except `deliver_verdict`, which the loop calls.
    """

    def __init__(
        self, *, options: FrontOptions, sessions: SessionTable, titles: TitleCatalogue,
        loop: Callable[[], Loop], client: Callable[[int], Client | None],
        status: Callable[[], dict[str, object]], log: Log,
    ) -> None:  # fmt: skip
        self._options, self._sessions, self._titles = options, sessions, titles
        self._loop, self._client, self._status, self._log = loop, client, status, log
        self._pending_requests: dict[int, PendingRequest] = {}
        self._numbers = itertools.count(1)
        self._keys_by_target: dict[bytes, messages.Key] = {}
        """Session keys by request target, as players repeat the same playlist requests."""
        self.stopping = False

    @property
    def waiting(self) -> int:
        """Requests that wait for a verdict."""
        return len(self._pending_requests)

    def deliver_verdict(self, reply: messages.Reply) -> None:
        """Pass a verdict to the request that waits for it; on the decision loop."""
        pending = self._pending_requests.pop(reply.waiter, None)
        if pending is not None:
            pending.resolve(reply.verdict)

    def handle(self, exchange: Exchange) -> bytes | None:
        """Answer one request; None if the player disconnected."""
        request = exchange.request
        target = request.target
        if request.method not in (b"GET", b"HEAD"):
            return exchange.reply(405, [(b"Allow", b"GET, HEAD"), PLAIN], b"only GET and HEAD\n")
        key = self._keys_by_target.get(target)
        if key is not None:
            live = self._sessions.by_key(key)
            if live is not None and not live.view.moving:
                rendition = self._titles.fresh_rendition(key[2], live.view.rung)
                if rendition is not None:
                    live.last_fetch_at = time.monotonic()
                    return self._playlist(exchange, live, rendition)
        path, _, query = target.partition(b"?")
        try:
            return self._route(exchange, path.decode("ascii"), query.decode("ascii"))
        except ViewerDisconnected:
            return None

    def _route(self, exchange: Exchange, path: str, query: str) -> bytes:
        parts = path.split("/")
        if path.startswith("/s/") and len(parts) in (4, 6):
            return self._segment(exchange, parts)
        if path.startswith("/watch/") and len(parts) == 4 and parts[3].endswith(".m3u8"):
            return self._watch(exchange, parts[2], parts[3][:-5], query)
        if path == "/healthz":
            return exchange.reply(200, [PLAIN], b"ok\n")
        if path == "/status":
            return exchange.reply(200, [JSON], msgspec.json.encode(self._status()) + b"\n")
        return exchange.reply(404, [PLAIN], b"known are /watch/CLASS/TITLE.m3u8?viewer=KEY and /status\n")

    # Playlists

    def _watch(self, exchange: Exchange, class_name: str, title: str, query: str) -> bytes:
        arrived_at = time.monotonic()
        class_no = self._options.class_numbers.get(class_name)
        if class_no is None:
            known = ", ".join(self._options.class_numbers)
            return exchange.reply(404, [PLAIN], f"class: found {class_name!r}; known are {known}\n".encode())
        try:
            title = decoded(title, "title")
        except QueryError as error:
            return exchange.reply(400, [PLAIN], f"{error}\n".encode())
        if title not in self._options.titles:
            return exchange.reply(404, [PLAIN], f"title: found {title!r}; not in the catalogue\n".encode())
        try:
            given = fields(query, ("viewer", "top", "hint"))
            viewer = given.get("viewer", "")
            if not 1 <= len(viewer) <= 200:
                raise QueryError(f"viewer: found {len(viewer)} characters; allowed: a key of 1 to 200")
            top, hint = (
                whole(given.get("top"), "top", self._options.top_rung),
                decimal(given.get("hint"), "hint"),
            )
        except QueryError as error:
            return exchange.reply(400, [PLAIN], f"{error}\n".encode())
        key = (viewer, class_no, title)
        deadline = (
            arrived_at + self._options.patience_seconds[class_no] - self._options.answer_margin_seconds / 2
        )
        viewer_request = messages.ViewerRequest(
            next(self._numbers), key, min(top, self._options.top_rung), hint
        )
        live = self._sessions.by_key(key)
        if live is None:
            if self.stopping:
                return self._refused(exchange, messages.Refused(1.0, "this gateway stops"))
            verdict = self._wait(
                exchange,
                viewer_request.waiter,
                lambda manager, now: manager.request_session(now, viewer_request),
                deadline,
            )
            if not isinstance(verdict, messages.Playing):
                return self._not_playing(exchange, verdict)
            live = self._sessions.by_key(key)
        if live is None:
            return self._not_playing(exchange, messages.Failed("the session ended at once"))
        live.last_fetch_at = time.monotonic()
        try:
            rendition = self._rendition(live, deadline)
        except TitleError as error:
            self._log.warning("playlist_trouble", title=title, server=live.view.server, cause=str(error))
            return self._not_playing(exchange, messages.Failed(f"no playlist: {error}"))
        if len(self._keys_by_target) > 200_000:
            self._keys_by_target.clear()  # a bound on memory; later reloads fill it again
        self._keys_by_target[exchange.request.target] = key
        return self._playlist(exchange, live, rendition)

    def _playlist(self, exchange: Exchange, live: LiveSession, rendition: Rendition) -> bytes:
        """The session's playlist; the response to reloads is cached while the rendition is the same."""
        if rendition.segments:
            return exchange.reply(200, (PLAYLIST, NO_STORE), self._growing_playlist(live, rendition))
        if exchange.request.method != b"GET" or not exchange.request.keep_alive:
            return exchange.reply(200, (PLAYLIST, NO_STORE), rendition.playlist(live.name))
        if live.response_source is not rendition:
            response = exchange.reply(200, (PLAYLIST, NO_STORE), rendition.playlist(live.name))
            # In this order, so that a thread that reads the rendition also reads its response.
            live.response, live.response_source = response, rendition
            return response
        return live.response

    def _growing_playlist(self, live: LiveSession, rendition: Rendition) -> bytes:
        """The playlist of a title with initialisation sections, extended by the segments fetched since."""
        grown = self._sessions.grown.setdefault(live.name, GrowingPlaylist())
        title, rung = live.view.key[2], live.view.rung
        known = {x: self._titles.last_rendition(title, x) for x in grown.rungs}
        return grown.playlist({x: y for x, y in known.items() if y} | {rung: rendition}, rung, live.name)

    def _rendition(self, live: LiveSession, deadline: float) -> Rendition:
        key, rung = live.view.key, live.view.rung
        known = self._titles.fresh_rendition(key[2], rung)
        if known is not None:
            return known
        client = self._client(live.view.server)
        if client is None:
            raise TitleError("the host is not listed any more")
        return self._titles.rendition(key[2], rung, client, deadline)

    # Segments

    def _segment(self, exchange: Exchange, parts: list[str]) -> bytes:
        name, arrived_at = parts[2], time.monotonic()
        found = self._sessions.by_name(name)
        live = (
            found
            if found and not found.view.moving
            else self._resume_session(exchange, name, found, arrived_at)
        )
        if not isinstance(live, LiveSession):
            return live
        live.last_fetch_at = time.monotonic()
        title, rung = live.view.key[2], live.view.rung
        if len(parts) == 6:
            path = self._auxiliary_path(title, parts[3:])
        else:
            number, _, pinned = parts[3].partition(".")[0].partition("@")
            if pinned:
                rung = int(pinned) if pinned.isdigit() and len(pinned) < 4 else -1
                grown = self._sessions.grown.get(name)
                if grown is not None and number.isdigit():
                    grown.segment_requested(int(number[:18]))
            path = self._segment_path(live, title, rung, number, arrived_at)
        if path is None:
            return exchange.reply(404, [PLAIN], b"no such segment\n")
        if not path.startswith("/"):
            return exchange.reply(302, [(b"Location", path.encode()), NO_STORE])
        separator = "&" if "?" in path else "?"
        location = f"{live.host_url}{path}{separator}setup={live.setup_key}"
        return exchange.reply(302, [(b"Location", location.encode()), NO_STORE])

    def _segment_path(
        self, live: LiveSession, title: str, rung: int, number: str, arrived_at: float
    ) -> str | None:
        if not number.isdigit() or len(number) > 18 or not 0 <= rung <= self._options.top_rung:
            return None
        for rendition in (
            self._titles.fresh_rendition(title, rung),
            self._titles.last_rendition(title, rung),
        ):
            path = rendition.segment_path(int(number)) if rendition is not None else None
            if path is not None:
                return path
        client = self._client(live.view.server)
        if client is None:
            return None
        try:  # a rung not yet requested of this title, or a live title's newest segment
            return self._titles.rendition(title, rung, client, arrived_at + 2.0).segment_path(int(number))
        except TitleError as error:
            self._log.warning("playlist_trouble", title=title, server=live.view.server, cause=str(error))
            return None

    def _auxiliary_path(self, title: str, parts: list[str]) -> str | None:
        if parts[0] != "aside" or not parts[1].isdigit() or not parts[2].isdigit() or len(parts[2]) > 9:
            return None
        rendition = self._titles.last_rendition(title, int(parts[1][:4]))
        number = int(parts[2])
        return (
            rendition.auxiliary_paths[number]
            if rendition is not None and number < len(rendition.auxiliary_paths)
            else None
        )

    def _resume_session(
        self, exchange: Exchange, name: str, live: LiveSession | None, arrived_at: float
    ) -> LiveSession | bytes:
        """The session of a segment request whose host is lost or draining, or that is not known here.

        The session is moved, set up again or resumed; returns the response if that is not possible.
        """
        number = next(self._numbers)
        ended = self._sessions.ended_session(name) if live is None else None
        if live is not None:
            viewer_request = messages.ViewerRequest(number, live.view.key, live.view.top)
            operation = functools.partial(SessionManager.request_move, request=viewer_request)
        elif ended is not None:
            if not ended.resumable or self.stopping:
                return exchange.reply(410, [PLAIN], b"this session has ended; ask for it anew at /watch\n")
            viewer_request = messages.ViewerRequest(number, ended.key, ended.top)
            operation = functools.partial(SessionManager.request_session, request=viewer_request)
        else:
            try:
                viewer_request, record = self._request_from_name(number, name)
            except TokenError as error:
                self._log.info("token_refused", cause=str(error), peer=exchange.peer[0])
                return exchange.reply(403, [PLAIN], b"this address is not good\n")
            if self.stopping:
                return self._refused(exchange, messages.Refused(1.0, "this gateway stops"))
            operation = functools.partial(
                SessionManager.resume_session, request=viewer_request, record=record
            )
        key = viewer_request.key
        deadline = (
            arrived_at + self._options.patience_seconds[key[1]] - self._options.answer_margin_seconds / 2
        )
        verdict = self._wait(
            exchange, viewer_request.waiter, lambda manager, now: operation(manager, now), deadline
        )
        if isinstance(verdict, messages.Failed) and verdict.cause == "the session has ended":
            return exchange.reply(410, [PLAIN], b"this session has ended; ask for it anew at /watch\n")
        if not isinstance(verdict, messages.Playing):
            return self._not_playing(exchange, verdict)
        found = self._sessions.by_key(key)
        if found is None:
            return exchange.reply(410, [PLAIN], b"this session has ended\n")
        self._sessions.add_alias(name, found)
        return found

    def _request_from_name(self, waiter: int, name: str) -> tuple[messages.ViewerRequest, AttemptRecord]:
        """The request and record from a session name of another run or gateway. Raises TokenError."""
        claim = self._sessions.verify_name(name)
        class_no = self._options.class_numbers.get(claim.session_class)
        if class_no is None or claim.title not in self._options.titles:
            raise TokenError("its class or title is not known here")
        key = (claim.viewer, class_no, claim.title)
        top = min(claim.top, self._options.top_rung)
        record = AttemptRecord(
            claim.setup, AttemptState.RAN, time.time(), key, claim.server, "", claim.rung, top
        )
        return messages.ViewerRequest(waiter, key, top), record

    # Verdicts

    def _wait(
        self,
        exchange: Exchange,
        number: int,
        operation: Callable[[SessionManager, float], list[messages.Order]],
        deadline: float,
    ) -> messages.Verdict:
        """Queue an operation and wait for its verdict.

        If the player disconnects meanwhile, notifies the session manager and raises ViewerDisconnected.
        """
        pending = self._pending_requests[number] = PendingRequest()
        loop = self._loop()
        loop.put(operation)
        while not pending.ready.acquire(timeout=DISCONNECT_CHECK_SECONDS):
            if exchange.stream.closed_by_peer():
                self._pending_requests.pop(number, None)
                loop.put(lambda manager, now: manager.waiter_left(now, number))
                raise ViewerDisconnected
            if time.monotonic() > deadline + self._options.answer_margin_seconds:
                # The session manager's own timer is due first; this guards against a failed decision loop.
                self._pending_requests.pop(number, None)
                self._log.error("no_verdict", waiter=number)
                loop.put(lambda manager, now: manager.waiter_left(now, number))
                return messages.Failed("no decision in time")
        assert pending.verdict is not None, "the verdict is set before the lock is released"
        return pending.verdict

    def _not_playing(self, exchange: Exchange, verdict: messages.Verdict) -> bytes:
        if isinstance(verdict, messages.Refused):
            return self._refused(exchange, verdict)
        cause = verdict.cause if isinstance(verdict, messages.Failed) else "the session ended at once"
        body = msgspec.json.encode({"answer": "failed", "cause": cause}) + b"\n"
        return exchange.reply(502, [JSON, NO_STORE], body)

    def _refused(self, exchange: Exchange, verdict: messages.Refused) -> bytes:
        """A 503 response: nothing ran. Retry-After is rounded up to whole seconds, the body is exact."""
        seconds = max(1, math.ceil(verdict.retry_after))
        body = {"answer": "refused", "cause": verdict.cause, "retry_in": round(verdict.retry_after, 3)}
        fields = [(b"Retry-After", str(seconds).encode()), JSON, NO_STORE]
        return exchange.reply(503, fields, msgspec.json.encode(body) + b"\n")
