"""Titles made on the fly: playlists and MPEG-TS framed segments, the same bytes wherever they are asked."""

from __future__ import annotations

import functools
import hashlib
import math
import struct
import time

import msgspec

PACKET = 188
PID = 256


class TitleSpec(msgspec.Struct, frozen=True, kw_only=True):
    """A title of the stand-in host."""

    name: str
    seconds: float = 30.0
    """How long it is; a live title goes on for ever."""
    live: bool = False
    maps: bool = False
    """Its segments need an initialisation section."""
    home: int = 0
    holders: int = 1


@functools.lru_cache(maxsize=512)
def segment(title: str, rung: int, number: int, size: int) -> bytes:
    """About `size` bytes of transport stream packets, whole packets, that nobody else makes alike."""
    count = max(1, size // PACKET)
    seed = f"{title}/{rung}/{number}".encode()
    filling = hashlib.shake_128(seed).digest(count * (PACKET - 4))
    packets = []
    for n in range(count):
        start = 0x4000 if n == 0 else 0
        header = struct.pack(">BHB", 0x47, start | PID, 0x10 | (n & 0x0F))
        packets.append(header + filling[n * 184 : n * 184 + 184])
    return b"".join(packets)


def initialisation(title: str, rung: int) -> bytes:
    """What the segments of a rung need before them."""
    return f"init {title} {rung}".encode()


def multivariant(ladder: tuple[float, ...]) -> str:
    """The rungs as variants; rates in kB a second."""
    lines = ["#EXTM3U", "#EXT-X-VERSION:3"]
    for rung, rate in enumerate(ladder):
        lines += [f"#EXT-X-STREAM-INF:BANDWIDTH={math.ceil(rate * 8000)}", f"{rung}.m3u8"]
    return "\n".join(lines) + "\n"


def media(title: TitleSpec, rung: int, step: float) -> str:
    """The playlist of a rung, in segments of `step` seconds."""
    lines = ["#EXTM3U", "#EXT-X-VERSION:3", f"#EXT-X-TARGETDURATION:{max(1, math.ceil(step))}"]
    if title.live:
        newest = int(time.time() / step)
        numbers = range(newest - 5, newest + 1)
    else:
        numbers = range(max(1, math.ceil(title.seconds / step)))
        lines.append("#EXT-X-PLAYLIST-TYPE:VOD")
    lines.append(f"#EXT-X-MEDIA-SEQUENCE:{numbers[0]}")
    if title.maps:
        lines.append(f'#EXT-X-MAP:URI="{rung}/init.mp4"')
    for number in numbers:
        lines += [f"#EXTINF:{step:.3f},", f"{rung}/{number}.{'m4s' if title.maps else 'ts'}"]
    if not title.live:
        lines.append("#EXT-X-ENDLIST")
    return "\n".join(lines) + "\n"
