"""HLS playlists (RFC 8216 and draft-pantos-hls-rfc8216bis) read and written without I/O.

Every line is kept in its place, tags that nobody here knows too, so that what is read and written again
differs only where the caller changed it. What a tag means is read where the gateway needs it.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from dataclasses import dataclass, replace

MOST_BYTES = 8 << 20  # of a playlist: a day of two-second segments is about 3 MiB
MOST_LINES = 200_000
MOST_LINE = 16_384

ATTRIBUTE = re.compile(r'([A-Z0-9-]+)=(?:"([^"\r\n]*)"|([^",\s][^",]*))(?:,\s*|\Z)')
DECIMAL = re.compile(r"[0-9]+(?:\.[0-9]*)?\Z")
INTEGER = re.compile(r"[0-9]{1,20}\Z")
RANGE = re.compile(r"([0-9]{1,20})(?:@([0-9]{1,20}))?\Z")

MEDIA_ONLY = frozenset({
    "EXTINF", "EXT-X-BYTERANGE", "EXT-X-DISCONTINUITY", "EXT-X-KEY", "EXT-X-MAP", "EXT-X-PROGRAM-DATE-TIME",
    "EXT-X-DATERANGE", "EXT-X-TARGETDURATION", "EXT-X-MEDIA-SEQUENCE", "EXT-X-DISCONTINUITY-SEQUENCE",
    "EXT-X-ENDLIST", "EXT-X-PLAYLIST-TYPE", "EXT-X-I-FRAMES-ONLY", "EXT-X-GAP", "EXT-X-BITRATE", "EXT-X-PART",
})  # fmt: skip
MULTIVARIANT_ONLY = frozenset({
    "EXT-X-MEDIA", "EXT-X-STREAM-INF", "EXT-X-I-FRAME-STREAM-INF", "EXT-X-SESSION-DATA", "EXT-X-SESSION-KEY",
    "EXT-X-CONTENT-STEERING",
})  # fmt: skip
ONCE = frozenset({
    "EXT-X-VERSION", "EXT-X-TARGETDURATION", "EXT-X-MEDIA-SEQUENCE", "EXT-X-DISCONTINUITY-SEQUENCE",
    "EXT-X-PLAYLIST-TYPE", "EXT-X-ENDLIST", "EXT-X-INDEPENDENT-SEGMENTS", "EXT-X-START",
})  # fmt: skip
PER_SEGMENT = frozenset({
    "EXTINF", "EXT-X-BYTERANGE", "EXT-X-DISCONTINUITY", "EXT-X-KEY", "EXT-X-MAP", "EXT-X-PROGRAM-DATE-TIME",
    "EXT-X-DATERANGE", "EXT-X-GAP", "EXT-X-BITRATE", "EXT-X-PART",
})  # fmt: skip


class PlaylistError(ValueError):
    """A playlist that can't be used; names the line (from 1), what was found and what is allowed."""

    def __init__(self, line: int, reason: str) -> None:
        super().__init__(f"line {line}: {reason}")
        self.line = line


@dataclass(frozen=True, slots=True)
class Tag:
    """A line that starts with #EXT (without the #), or a comment (name "", value the whole line)."""

    name: str
    value: str | None = None
    """What follows the colon; None: no colon."""

    def text(self) -> str:
        if not self.name:
            return self.value or ""
        return f"#{self.name}" if self.value is None else f"#{self.name}:{self.value}"


@dataclass(frozen=True, slots=True)
class Attributes:
    """An attribute list (RFC 8216 4.2): name, value, whether quoted, in order."""

    items: tuple[tuple[str, str, bool], ...]

    def get(self, name: str) -> str | None:
        return next((value for key, value, _ in self.items if key == name), None)

    def with_value(self, name: str, value: str) -> Attributes:
        """The same with one value changed, quoted as it was."""
        return Attributes(tuple((k, value if k == name else v, q) for k, v, q in self.items))

    def text(self) -> str:
        return ",".join(f'{k}="{v}"' if q else f"{k}={v}" for k, v, q in self.items)


def attributes(value: str, line: int = 0) -> Attributes:
    """Read an attribute list; a name may come once only. Raises PlaylistError."""
    items: dict[str, tuple[str, str, bool]] = {}
    at = 0
    while at < len(value):
        found = ATTRIBUTE.match(value, at)
        if found is None:
            raise PlaylistError(line, f"attribute list unreadable at {value[at : at + 40]!r}")
        name, quoted, plain = found.groups()
        if name in items:
            raise PlaylistError(line, f"attribute {name} twice")
        items[name] = (name, plain if quoted is None else quoted, quoted is not None)
        at = found.end()
    return Attributes(tuple(items.values()))


@dataclass(frozen=True, slots=True)
class Segment:
    """A media segment with the tags that stand before it."""

    uri: str
    duration: float
    """Seconds."""
    tags: tuple[Tag, ...]
    byte_range: tuple[int, int] | None = None
    """Length and offset in bytes."""
    discontinuity: bool = False
    gap: bool = False

    def with_uri(self, uri: str) -> Segment:
        return replace(self, uri=uri)

    def with_tag_uris(self, change: Callable[[str], str]) -> Segment:
        """The same with the URIs of its keys and maps changed."""
        return replace(self, tags=tuple(_changed(x, change) for x in self.tags))


def _changed(tag: Tag, change: Callable[[str], str]) -> Tag:
    if tag.name not in ("EXT-X-KEY", "EXT-X-MAP") or tag.value is None:
        return tag
    listed = attributes(tag.value)
    uri = listed.get("URI")
    return tag if uri is None else Tag(tag.name, listed.with_value("URI", change(uri)).text())


@dataclass(frozen=True, slots=True)
class MediaPlaylist:
    """A media playlist; `tags` are those of the playlist itself, EXT-X-ENDLIST left to `ended`."""

    target_duration: int
    """Seconds."""
    segments: tuple[Segment, ...]
    sequence: int = 0
    """Number of the first segment."""
    discontinuity_sequence: int = 0
    kind: str | None = None
    """VOD, EVENT or None."""
    ended: bool = False
    tags: tuple[Tag, ...] = ()
    """In the order read, EXTM3U left out."""

    @property
    def duration(self) -> float:
        """Seconds of all segments."""
        return sum(x.duration for x in self.segments)

    @property
    def has_maps(self) -> bool:
        """Segments need an initialisation section, which differs from rung to rung."""
        return any(tag.name == "EXT-X-MAP" for x in self.segments for tag in x.tags)

    def text(self) -> str:
        lines = ["#EXTM3U", *(x.text() for x in self.tags)]
        for segment in self.segments:
            lines += [x.text() for x in segment.tags]
            lines.append(segment.uri)
        if self.ended:
            lines.append("#EXT-X-ENDLIST")
        return "\n".join(lines) + "\n"


@dataclass(frozen=True, slots=True)
class Variant:
    """A variant stream of a multivariant playlist."""

    uri: str
    bandwidth: int
    """Peak bits a second."""
    attributes: Attributes


@dataclass(frozen=True, slots=True)
class MultivariantPlaylist:
    """A multivariant playlist; other tags (renditions, session data, unknown ones) are kept as `tags`."""

    variants: tuple[Variant, ...]
    tags: tuple[Tag, ...] = ()

    def text(self) -> str:
        lines = ["#EXTM3U", *(x.text() for x in self.tags)]
        for variant in self.variants:
            lines += [f"#EXT-X-STREAM-INF:{variant.attributes.text()}", variant.uri]
        return "\n".join(lines) + "\n"

    def rungs(self) -> tuple[Variant, ...]:
        """The variants from the least bandwidth up; of equal bandwidths the first counts."""
        found: dict[int, Variant] = {}
        for variant in self.variants:
            found.setdefault(variant.bandwidth, variant)
        return tuple(found[x] for x in sorted(found))


def _lines(data: bytes) -> list[tuple[int, str]]:
    if len(data) > MOST_BYTES:
        raise PlaylistError(1, f"{len(data)} bytes; at most {MOST_BYTES}")
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        raise PlaylistError(data[: error.start].count(b"\n") + 1, "not UTF-8") from error
    lines = text.split("\n")
    if len(lines) > MOST_LINES:
        raise PlaylistError(MOST_LINES, f"over {MOST_LINES} lines")
    kept = []
    for number, raw in enumerate(lines, 1):
        line = raw.removesuffix("\r")
        if len(line) > MOST_LINE:
            raise PlaylistError(number, f"line over {MOST_LINE} characters")
        if any((x < " " and x != "\t") or x == "\x7f" for x in line) if not line.isprintable() else False:
            raise PlaylistError(number, "control character")
        kept.append((number, line))
    if kept[0][1].rstrip() != "#EXTM3U":
        raise PlaylistError(1, f"starts with {kept[0][1][:20]!r}; #EXTM3U is due")
    return [(number, line) for number, line in kept[1:] if line.strip()]


def _tag(line: str) -> Tag:
    if not line.startswith("#EXT"):
        return Tag("", line)
    name, colon, value = line[1:].partition(":")
    return Tag(name, value if colon else None)


def _integer(tag: Tag, line: int) -> int:
    value = (tag.value or "").strip()
    if not INTEGER.match(value):
        raise PlaylistError(line, f"{tag.name}: {value[:40]!r} is no whole number")
    return int(value)


def _duration(value: str, line: int) -> float:
    number = value.strip()
    if not DECIMAL.match(number) or len(number) > 30:
        raise PlaylistError(line, f"EXTINF: {number[:40]!r} is no duration in seconds")
    return float(number)


def parse(data: bytes) -> MediaPlaylist | MultivariantPlaylist:
    """Read a playlist of either kind. Raises PlaylistError, which names the line."""
    lines = _lines(data)
    names = {_tag(line).name: number for number, line in reversed(lines) if line.startswith("#EXT")}
    media, multi = names.keys() & MEDIA_ONLY, names.keys() & MULTIVARIANT_ONLY
    if media and multi:
        worst = max(names[x] for x in (*sorted(media)[:1], *sorted(multi)[:1]))
        raise PlaylistError(worst, f"{min(media)} and {min(multi)} in one playlist (RFC 8216 4.3)")
    return _multivariant(lines) if multi else _media(lines)


def _multivariant(lines: list[tuple[int, str]]) -> MultivariantPlaylist:
    variants: list[Variant] = []
    tags: list[Tag] = []
    waiting: tuple[int, Attributes] | None = None
    for number, line in lines:
        if line.startswith("#"):
            tag = _tag(line)
            if waiting is not None and tag.name:
                raise PlaylistError(number, f"{tag.name} where the URI of EXT-X-STREAM-INF is due")
            if tag.name == "EXT-X-STREAM-INF":
                waiting = (number, attributes(tag.value or "", number))
            else:
                tags.append(tag)
        elif waiting is None:
            raise PlaylistError(number, "a URI without EXT-X-STREAM-INF before it")
        else:
            rate = waiting[1].get("BANDWIDTH") or ""
            if not INTEGER.match(rate) or int(rate) == 0:
                raise PlaylistError(waiting[0], f"BANDWIDTH: {rate!r}; a whole number above 0 is due")
            variants.append(Variant(line, int(rate), waiting[1]))
            waiting = None
    if waiting is not None:
        raise PlaylistError(waiting[0], "EXT-X-STREAM-INF without a URI")
    if not variants:
        raise PlaylistError(1, "no variant")
    return MultivariantPlaylist(tuple(variants), tuple(tags))


def _media(lines: list[tuple[int, str]]) -> MediaPlaylist:
    seen: dict[str, Tag] = {}
    header: list[Tag] = []
    segments: list[Segment] = []
    pending: list[Tag] = []
    duration: float | None = None
    span: tuple[int, int | None] | None = None
    past: tuple[str, int] | None = None
    for number, line in lines:
        if not line.startswith("#"):
            if duration is None:
                raise PlaylistError(number, "a URI without EXTINF before it")
            byte_range = None
            if span is not None:
                start = span[1]
                if start is None:
                    if past is None or past[0] != line:
                        raise PlaylistError(number, "EXT-X-BYTERANGE without offset, and no range before it")
                    start = past[1]
                byte_range = (span[0], start)
                past = (line, start + span[0])
            else:
                past = None
            flags = {x.name for x in pending}
            segments.append(Segment(line, duration, tuple(pending), byte_range,
                                    "EXT-X-DISCONTINUITY" in flags, "EXT-X-GAP" in flags))  # fmt: skip
            pending, duration, span = [], None, None
            continue
        tag = _tag(line)
        if tag.name in ONCE:
            if tag.name in seen:
                raise PlaylistError(number, f"{tag.name} twice")
            seen[tag.name] = tag
            if tag.name in ("EXT-X-MEDIA-SEQUENCE", "EXT-X-DISCONTINUITY-SEQUENCE") and segments:
                raise PlaylistError(number, f"{tag.name} after the first segment")
            if tag.name in ("EXT-X-TARGETDURATION", "EXT-X-MEDIA-SEQUENCE", "EXT-X-DISCONTINUITY-SEQUENCE"):
                _integer(tag, number)
            if tag.name != "EXT-X-ENDLIST":
                header.append(tag)
            continue
        if tag.name == "EXTINF":
            if duration is not None:
                raise PlaylistError(number, "EXTINF twice for one segment")
            duration = _duration((tag.value or "").split(",", 1)[0], number)
        elif tag.name == "EXT-X-BYTERANGE":
            found = RANGE.match((tag.value or "").strip())
            if found is None or span is not None:
                raise PlaylistError(number, f"EXT-X-BYTERANGE: {(tag.value or '')[:40]!r}")
            span = (int(found[1]), None if found[2] is None else int(found[2]))
        elif tag.name in ("EXT-X-KEY", "EXT-X-MAP"):
            listed = attributes(tag.value or "", number)
            if tag.name == "EXT-X-MAP" and listed.get("URI") is None:
                raise PlaylistError(number, "EXT-X-MAP without URI")
        if tag.name in PER_SEGMENT or segments or pending:
            pending.append(tag)
        else:
            header.append(tag)
    if duration is not None:
        raise PlaylistError(lines[-1][0], "EXTINF without a URI")
    target = seen.get("EXT-X-TARGETDURATION")
    if target is None:
        raise PlaylistError(1, "EXT-X-TARGETDURATION is missing")
    limit = int((target.value or "0").strip())
    for segment in segments:
        if math.floor(segment.duration + 0.5) > limit:
            raise PlaylistError(1, f"a segment of {segment.duration} s over the target duration of {limit} s")

    def count(name: str) -> int:
        return int((seen[name].value or "0").strip()) if name in seen else 0

    kind = seen.get("EXT-X-PLAYLIST-TYPE")
    if kind is not None and kind.value not in ("VOD", "EVENT"):
        raise PlaylistError(1, f"EXT-X-PLAYLIST-TYPE: {kind.value!r}; VOD or EVENT")
    return MediaPlaylist(
        limit, tuple(segments), count("EXT-X-MEDIA-SEQUENCE"), count("EXT-X-DISCONTINUITY-SEQUENCE"),
        kind.value if kind else None, "EXT-X-ENDLIST" in seen, (*header, *pending),
    )  # fmt: skip
