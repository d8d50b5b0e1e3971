"""Lost: an answer never comes, its connection is of no further use, and a session's end is not told."""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.parts import (
    TROUBLE,
    WEIGHT,
    WEIGHT_KB,
    Connection,
    MediaHost,
    Message,
    Record,
    Site,
    Viewers,
    message,
    run_case,
    title_at,
)

ALLOWED_SECONDS = 8.0 + 0.05  # for an end of which no release could be sent
WATCHED_SECONDS = 11.0
DELIVERED = 0.97
HOME, LIFE_SECONDS = 4, 60.0


class Scene:
    """One answer in all never comes: the first on a connection on which a session was set up before."""

    def __init__(self, site: Site, record: Record) -> None:
        self.site, self.record = site, record
        self.chosen = threading.Event()
        self.host: MediaHost | None = None
        self.connection: Connection | None = None
        self.going = True
        for host in site.hosts:
            host.lose_answer = self._lose
        threading.Thread(target=self._note, daemon=True).start()

    def _lose(self, host: MediaHost, on: Connection, got: Message) -> bool:
        """Whether this answer is the one; a session must play there on another connection too."""
        earlier = [x.connection for x in host.standing.values() if x.session != got.session]
        if self.chosen.is_set() or on not in earlier or all(x is on for x in earlier):
            return False
        self.host, self.connection = host, on
        self.chosen.set()
        return TROUBLE

    def _note(self) -> None:
        """While a media host delivers short it says so each second, on one session of the gateway."""
        while self.going:
            time.sleep(1.0)
            host = self.host
            if host is None:
                continue
            with host.lock:
                host.other_kb += max(0.0, WEIGHT * WEIGHT_KB / DELIVERED - host.asked_kb())
                usable = [x for x in host.standing.values() if x.connection.open and not x.connection.dead]
                if usable:
                    fields = [("CSeq", 9), ("Session", usable[0].session)]
                    fields += [("X-Outcome", "delivered"), ("Figure", DELIVERED)]
                    usable[0].connection.send(message("ANNOUNCE rtsp://media/x RTSP/1.0", fields))
                    self.record.note(host.name, f"ANNOUNCE {usable[0].session} delivered {DELIVERED}")


def play(record: Record, folder: Path) -> bool:
    site = Site(record, folder)
    try:
        site.start()
        viewers = Viewers("viewers", site.gateways[0].address, record)
        connection = viewers.connect()
        scene = Scene(site, record)

        def ask(tier: str) -> str:
            return viewers.set_up(connection, title_at(HOME), tier, HOME, LIFE_SECONDS * 1000)

        for session in [ask("timelapse") for _ in range(6)]:
            if viewers.wait_status(session) != 200:
                raise RuntimeError("a first set-up was not served")
        time.sleep(1.0)
        for _ in range(10):
            ask("sign-off")
            if scene.chosen.wait(0.5):
                break
        host, lost_on = scene.host, scene.connection
        if host is None or lost_on is None:
            raise RuntimeError("no set-up came on a connection that a session had")
        time.sleep(1.0)
        ending = next(x.session for x in host.standing.values() if x.connection is lost_on)
        host.end(ending, 16)
        ended_at = host.ended[ending][0]
        time.sleep(WATCHED_SECONDS)
        scene.going = False
        site.check_alive()
        found = viewers.release_of(ending)
        late = found[0] - ended_at if found else None
        record.note("case", f"{ending} ended; its viewer was told {late and round(late, 3)} s later")
        return late is None or late > ALLOWED_SECONDS
    finally:
        site.close()


run_case(__file__, play)
