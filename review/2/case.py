"""Drains: the name service takes 1.45 s for an answer while media hosts are replaced."""

from __future__ import annotations

import math
import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.parts import TROUBLE, Connection, Listed, MediaHost, Record, Site, Viewers, run_case, title_at

ANSWER_SECONDS = 1.45
DRAIN_SECONDS = 6.0
BATCH_SECONDS = 7.0  # from one batch of the release to the next
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
            if not self.going:
                return
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


class Release:
    """A release of the media hosts: batches are listed as draining, and end after the drain time."""

    def __init__(self, site: Site, record: Record) -> None:
        self.site, self.record = site, record
        self.told: dict[tuple[str, int], tuple[int, float]] = {}
        """By host and gateway: the number of the event and when it happened."""
        self.cut: set[str] = set()

    def drain(self, batch: list[MediaHost]) -> None:
        now = time.time()
        for i, names in enumerate(self.site.names):
            for host in batch:
                listed = Listed(host.name, host.addresses[i], host.cell, draining=True)
                self.told[host.name, i] = names.publish(listed), now
        threading.Timer(DRAIN_SECONDS, self._end, (batch,)).start()

    def _end(self, batch: list[MediaHost]) -> None:
        for host in batch:
            self.cut.update(host.die())
            for names in self.site.names:
                names.remove(host.name)

    def told_at(self, host: str, gateway: int) -> float:
        """When a gateway was told that a host drains, by the rule; infinite if it never was."""
        if (host, gateway) not in self.told:
            return math.inf
        number, happened_at = self.told[host, gateway]
        sent = [at for serial, at in self.site.names[gateway].told_at.items() if serial >= number]
        return min([happened_at + TOLD_AT_LATEST, *sent])


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
        release = Release(site, record)
        for first in (0, 3):  # of three cells in a row, a release takes one at a time
            release.drain(site.hosts[first::6])
            time.sleep(BATCH_SECONDS)
        for one in traffic:
            one.going = False
        site.check_alive()
        late, lost, paid = 0, 0, 0
        for host in site.hosts:
            for at, session, _, tier in host.setups:
                gateway = next(i for i, x in enumerate(traffic) if session in x.viewers.sent_at)
                after = at - release.told_at(host.name, gateway)
                if after > ALLOWED_SECONDS:
                    late += 1
                    lost += session in release.cut
                    paid += session in release.cut and tier == "sign-off"
                    end = ", cut" if session in release.cut else ""
                    text = f"n{gateway}: SETUP {session} {tier} to {host.name}: {after:.3f} s after{end}"
                    record.note("case", text)
        for names in site.names:
            record.note(names.name, f"{names.queries} queries, {names.answers} answers sent")
        served = sum(len(x.setups) for x in site.hosts)
        record.note(
            "case",
            f"{served} set-ups at all hosts; {late} at draining hosts later than {ALLOWED_SECONDS} s after "
            f"their gateway was told; {lost} of these sessions were cut with the host, {paid} of them paid",
        )
        if not served:
            raise RuntimeError("no set-up reached a host")
        return late > 0
    finally:
        site.close()


run_case(__file__, play)
