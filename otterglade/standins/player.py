"""Players: each plays like a stock client, with a viewer's patience and habits.

A player asks for its title, follows the playlist segment by segment in real time, follows redirects, reloads
where the list has not ended, comes again after a break or a refusal, and leaves where it gets too little.
"""

from __future__ import annotations

import hashlib
import heapq
import itertools
import random
import threading
import time
import urllib.parse
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from ..net.http import Answer, Client, ExchangeError
from ..net.threads import Failure
from ..net.workers import Workers
from ..wire import hls
from .record import Record

LEAVES_UNDER = 0.75  # share of the rate under which viewers begin to leave


class ClassSpec(msgspec.Struct, frozen=True, kw_only=True):
    """How the viewers of a class behave."""

    name: str
    patience: float
    share: float
    """Of all sessions."""
    paid: bool = False


class PlayersSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A crowd of players; rates in sessions a second, times in seconds."""

    gateways: tuple[str, ...]
    """Addresses, host:port."""
    classes: tuple[ClassSpec, ...]
    titles: tuple[str, ...]
    """The most wanted first: the n-th is wanted 1/(n+1) as often."""
    top: int
    low_share: float = 0.25
    """Of the viewers that can't use the upper rungs."""
    rate: float
    surges: tuple[tuple[float, float, float], ...] = ()
    """Begin, end and factor of times with more arrivals."""
    seconds: float
    """Arrivals end then; those that play go on to their end, or for `after`."""
    after: float = 5.0
    again: float = 0.9
    """Share of viewers that come again after a break or a refusal."""
    again_after: tuple[float, float] = (0.7, 2.2)
    tries: int = 4
    accounts: tuple[tuple[str, float], ...] = ()
    """Whose viewers come, and how often over one another: a viewer's key is ACCOUNT.NUMBER then. A name with
    one `*` at its end stands for a hundred accounts."""
    retry_share: float = 0.1
    """Of paid requests that are sent twice, on a second connection, while the first is out."""
    watch: tuple[float, float] = (4.0, 12.0)
    """Seconds that are watched."""
    threads: int = 600
    record: str = ""
    seed: int = 0


@dataclass(slots=True)
class Outlook:
    """What one viewer wants."""

    number: int
    viewer: str
    kind: ClassSpec
    title: str
    top: int
    watch: float
    tries: int = 0


class StopPlayingError(Exception):
    """The session broke; the viewer may come again."""


@dataclass(slots=True)
class Browser:
    """A stock HTTP client: keeps connections, follows redirects."""

    limit: float = 10.0
    clients: dict[str, Client] = field(default_factory=dict)

    def get(self, url: str, deadline: float, hops: int = 5) -> tuple[Answer, str]:
        """The answer and the URL it came from. Raises ExchangeError."""
        while True:
            parts = urllib.parse.urlsplit(url)
            client = self.clients.get(parts.netloc)
            if client is None:
                host, _, port = parts.netloc.rpartition(":")
                client = self.clients[parts.netloc] = Client((host, int(port)), 2.0, max_idle_connections=2)
            target = parts.path + (f"?{parts.query}" if parts.query else "")
            answer = client.exchange(b"GET", target.encode(), deadline=deadline)
            where = answer.get(b"location")
            if answer.status not in (301, 302, 303, 307, 308) or where is None or not hops:
                return answer, url
            url, hops = urllib.parse.urljoin(url, where.decode("ascii")), hops - 1

    def close(self) -> None:
        for client in self.clients.values():
            client.close_idle()


def play(
    browser: Browser,
    url: str,
    *,
    deadline: float,
    watch: float = float("inf"),
    pace: float = 1.0,
    on_segment: Callable[[int, bytes, float, str], None] | None = None,
    first: Answer | None = None,
) -> tuple[float, str]:
    """Play a playlist to its end, or for `watch` seconds; the seconds played and a digest of the bytes.

    `pace`: real seconds for each second of the title; 0 plays as fast as it comes. Raises StopPlayingError.
    """
    answer = first or browser.get(url, deadline)[0]
    digest, played, had = hashlib.blake2b(digest_size=16), 0.0, -1
    ended = False
    while played < watch and not ended:
        if answer.status != 200:
            raise StopPlayingError(f"playlist: {answer.status}")
        playlist = hls.parse(answer.body)
        if not isinstance(playlist, hls.MediaPlaylist):
            raise StopPlayingError("a multivariant playlist; a media one is due")
        began = time.monotonic()
        for number, segment in enumerate(playlist.segments, playlist.sequence):
            if number <= had or played >= watch:
                continue
            asked = time.monotonic()
            try:
                got, where = browser.get(urllib.parse.urljoin(url, segment.uri), asked + 15.0)
            except ExchangeError as error:
                raise StopPlayingError(f"segment {number}: {error}") from error
            if got.status != 200:
                raise StopPlayingError(f"segment {number}: {got.status}")
            had, played = number, played + segment.duration
            digest.update(got.body)
            took = time.monotonic() - asked
            if on_segment is not None:
                on_segment(number, got.body, took, where)
            time.sleep(max(0.0, segment.duration * pace - took))
        ended = playlist.ended
        if not ended and played < watch:
            time.sleep(max(0.05, began + playlist.target_duration * pace / 2 - time.monotonic()))
            try:
                answer = browser.get(url, time.monotonic() + 10.0)[0]
            except ExchangeError as error:
                raise StopPlayingError(f"reload: {error}") from error
    return played, digest.hexdigest()


class Players:
    """The crowd; `run` returns when all have ended."""

    def __init__(self, spec: PlayersSpec, on_failure: Failure) -> None:
        self.spec = spec
        self.record = Record(Path(spec.record) if spec.record else None)
        self._random = random.Random(spec.seed)
        self._lock = threading.Lock()
        self._workers = Workers("player", spec.threads, on_failure)
        self._requests = itertools.count(1)
        self._later: list[tuple[float, int, Outlook]] = []
        self._order = itertools.count()
        self._began = 0.0

    def run(self) -> None:
        spec = self.spec
        self._began = began = time.monotonic()
        due = began
        weights = [1.0 / (n + 1) for n in range(len(spec.titles))]
        for number in itertools.count():
            factor = next((f for a, b, f in spec.surges if a <= due - began < b), 1.0)
            due += self._random.expovariate(spec.rate * factor)
            if due - began > spec.seconds:
                break
            kind = self._random.choices(spec.classes, [x.share for x in spec.classes])[0]
            low = self._random.random() < spec.low_share
            outlook = Outlook(
                number, self._viewer(number), kind, self._random.choices(spec.titles, weights)[0],
                max(0, spec.top - 2) if low else spec.top, self._random.uniform(*spec.watch),
            )  # fmt: skip
            self._wait(due)
            self._start(outlook)
        self._wait(began + spec.seconds)
        self._workers.wait_idle(spec.after + spec.watch[1])

    def _viewer(self, number: int) -> str:
        spec = self.spec
        if not spec.accounts:
            return f"v{spec.seed}-{number}"
        account = self._random.choices(spec.accounts, [x for _, x in spec.accounts])[0][0]
        if account.endswith("*"):
            account = f"{account[:-1]}{self._random.randrange(100)}"
        return f"{account}.{number}"

    def _wait(self, until: float) -> None:
        """Until then; those that come again meanwhile are started at their time."""
        while True:
            with self._lock:
                again = self._later[0] if self._later and self._later[0][0] <= until else None
                if again is not None:
                    heapq.heappop(self._later)
            time.sleep(max(0.0, (again[0] if again else until) - time.monotonic()))
            if again is None:
                return
            self._start(again[2])

    def _start(self, outlook: Outlook) -> None:
        self._workers.submit(lambda: self._view(outlook))

    def _view(self, outlook: Outlook) -> None:
        """One try of a viewer: ask, play, and perhaps come again."""
        outlook.tries += 1
        with self._lock:
            gateway = self._random.choice(self.spec.gateways)
            twice = outlook.kind.paid and self._random.random() < self.spec.retry_share
        browser = Browser()
        try:
            answer = self._ask(browser, gateway, outlook, twice)
            if answer is None or answer.status == 502:
                # A paid session whose set-up may have run is not asked for again: it could be charged twice.
                if answer is None or not outlook.kind.paid:
                    self._again(outlook, 0.0)
                return
            if answer.status == 503:
                told = msgspec.json.decode(answer.body) if answer.body.startswith(b"{") else {}
                self._again(outlook, float(told.get("retry_in", 1.0)))
                return
            if answer.status == 200:
                self._play(browser, gateway, outlook, answer)
        finally:
            browser.close()

    def _ask(
        self, browser: Browser, gateway: str, outlook: Outlook, twice: bool, repeats: int | None = None
    ) -> Answer | None:
        """The answer; None where the connection could not be made or broke. `repeats`: an earlier request."""
        number = next(self._requests)
        said = {
            "request": number, "viewer": outlook.viewer, "cls": outlook.kind.name, "title": outlook.title,
            "gateway": gateway, "paid": outlook.kind.paid, "first": outlook.tries == 1 and repeats is None,
            "watch": outlook.watch,
        }  # fmt: skip
        if repeats is not None:
            said["repeats"] = repeats
        self.record.write("request", patience=outlook.kind.patience, top=outlook.top, **said)
        if twice:
            self._workers.submit(lambda: self._repeat(gateway, outlook, number))
        began = time.monotonic()
        try:
            # A little over its patience, so that a late answer is told from none.
            answer, _ = browser.get(self._url(gateway, outlook), began + outlook.kind.patience + 2.0)
        except ExchangeError as error:
            self.record.write(
                "broken", took=time.monotonic() - began, phase=error.phase.name, trouble=error.failure.name,
                **said,
            )  # fmt: skip
            return None
        self.record.write("answer", status=answer.status, took=time.monotonic() - began, **said)
        return answer

    def _repeat(self, gateway: str, outlook: Outlook, first: int) -> None:
        """The same request on another connection while the first is out, as impatient clients send it."""
        browser = Browser()
        try:
            self._ask(browser, gateway, outlook, False, repeats=first)
        finally:
            browser.close()

    def _url(self, gateway: str, outlook: Outlook) -> str:
        return (
            f"http://{gateway}/watch/{outlook.kind.name}/{outlook.title}.m3u8"
            f"?viewer={outlook.viewer}&top={outlook.top}&hint={outlook.watch:.1f}"
        )

    def _play(self, browser: Browser, gateway: str, outlook: Outlook, answer: Answer) -> None:
        said = {
            "viewer": outlook.viewer,
            "cls": outlook.kind.name,
            "title": outlook.title,
            "gateway": gateway,
        }
        short = 0

        def seen(number: int, body: bytes, took: float, where: str) -> None:
            nonlocal short
            duration = 1.0
            share = min(1.0, duration / took) if took > 0 else 1.0
            rung = int(urllib.parse.urlsplit(where).path.split("/")[-2])
            self.record.write("segment", number=number, rung=rung, size=len(body), took=took, **said)
            short = short + 1 if share < LEAVES_UNDER else 0
            if short >= 3:
                raise StopPlayingError("too little")

        began = time.monotonic()
        try:
            played, _ = play(
                browser, self._url(gateway, outlook), deadline=began + 10.0, watch=outlook.watch,
                on_segment=seen, first=answer,
            )  # fmt: skip
            self.record.write("played", seconds=played, **said)
        except (StopPlayingError, ExchangeError, hls.PlaylistError) as error:
            self.record.write("break", seconds=time.monotonic() - began, cause=str(error), **said)
            outlook.watch = max(1.0, outlook.watch - (time.monotonic() - began))
            self._again(outlook, 0.0)

    def _again(self, outlook: Outlook, stay_away: float) -> None:
        with self._lock:
            comes = self._random.random() < self.spec.again and outlook.tries < self.spec.tries
            at = time.monotonic() + max(stay_away, self._random.uniform(*self.spec.again_after))
            if comes and at < self._began + self.spec.seconds:
                heapq.heappush(self._later, (at, next(self._order), outlook))
