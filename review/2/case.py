"""Drains: the name service takes 1.4 s for an answer while a media host drains."""

from __future__ import annotations

import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.parts import TROUBLE, Connection, Listed, Record, Site, Viewers, run_case, title_at

ANSWER_SECONDS = 1.4
SETUPS_PER_SECOND = 2.25  # at each of two gateways: 4.5 in all
ALLOWED_SECONDS = 0.25 + 0.05  # the grace, and 50 ms as for every limit on sockets
TOLD_AT_LATEST = 1.5


class Traffic:
    """Set-ups at one gateway, on one connection, at the site's rate; their sessions end by themselves."""

    def __init__(self, site: Site, viewers: Viewers, seed: int) -> None:
        self.site, self.viewers, self.random = site, viewers, random.Random(seed)
        self.going = True
        self.connection: Connection = viewers.connect()
        self.thread = threading.Thread(target=self._send, daemon=True)
        self.thread.start()

    def _send(self) -> None:
        while self.going:
            time.sleep(self.random.expovariate(SETUPS_PER_SECOND))
            if not self.connection.open:
                self.connection = self.viewers.connect()
            tier = "sign-off" if self.random.random() < 0.35 else "timelapse"
            home = self.random.randrange(12)
            life = self.random.uniform(20.0, 48.0) * 0.7
            session = self.viewers.set_up(self.connection, title_at(home), tier, home, life * 1000)
            threading.Timer(life, self._end, (session,)).start()

    def _end(self, session: str) -> None:
        for host in self.site.hosts:
            host.end(session, 16)


def play(record: Record, folder: Path) -> bool:
    site = Site(record, folder)
    try:
        site.start()
        traffic = [
            Traffic(site, Viewers(f"viewers of {x.name}", x.address, record), 51 + i)
            for i, x in enumerate(site.gateways)
        ]
        time.sleep(4.0)
        if TROUBLE:
            for names in site.names:
                names.answer_delay = ANSWER_SECONDS
            record.note("case", f"an answer of the name service takes {ANSWER_SECONDS} s from now on")
        time.sleep(4.0)
        drained = site.hosts[::3]  # of three cells in a row, a release takes one at a time
        happened_at = time.time()
        serials: list[int] = []
        for i, names in enumerate(site.names):
            for host in drained:
                number = names.publish(Listed(host.name, host.addresses[i], host.cell, draining=True))
            serials.append(number)
        time.sleep(12.0)
        for one in traffic:
            one.going = False
        site.check_alive()
        at_latest = happened_at + TOLD_AT_LATEST
        told = [min(x.told_at.get(y, at_latest), at_latest) for x, y in zip(site.names, serials, strict=True)]
        late = 0
        for host in drained:
            for at, session, _, tier in host.setups:
                gateway = next(i for i, x in enumerate(traffic) if session in x.viewers.sent_at)
                after = at - told[gateway]
                if after > ALLOWED_SECONDS:
                    late += 1
                    record.note(
                        "case", f"n{gateway}: SETUP {session} {tier} to {host.name}: {after:.3f} s after"
                    )
        for names in site.names:
            record.note(names.name, f"{names.queries} queries, {names.answers} answers sent")
        served = sum(len(x.setups) for x in site.hosts)
        record.note(
            "case",
            f"told {max(told) - happened_at:.3f} s after the drain; {served} set-ups at all hosts; "
            f"{late} at draining hosts later than {ALLOWED_SECONDS} s after their gateway was told",
        )
        if not served:
            raise RuntimeError("no set-up reached a host")
        return late > 0
    finally:
        site.close()


run_case(__file__, play)
