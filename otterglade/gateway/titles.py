"""Playlists of titles: fetched from a media host that holds the title, and rewritten for each session.

Every segment's URI leads to the gateway, `/s/SESSION/NUMBER.EXT`, which redirects the player to the session's
host and rung at the time of the request. `docs/design-gateway.md` compares the alternatives.
"""

from __future__ import annotations

import posixpath
import threading
import time
import urllib.parse
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from ..net.http import Client, ExchangeError
from ..wire import hls

TAGS_FOR_FOLLOWING_SEGMENTS = ("EXT-X-KEY", "EXT-X-MAP")
"""Tags that apply to all segments after them."""
PLAYLIST_SPECIFIC_TAGS = frozenset({
    "EXT-X-PLAYLIST-TYPE", "EXT-X-START", "EXT-X-MEDIA-SEQUENCE", "EXT-X-DISCONTINUITY-SEQUENCE",
})  # fmt: skip
"""Tags of the host's playlist that `GrowingPlaylist` replaces with its own."""
SEGMENTS_LISTED_AHEAD = 3
"""Segments listed beyond the last one requested. A client starts playback three target durations before the
end of the list (RFC 8216 6.3.3); a change of rung takes effect this far ahead of the viewer."""
SESSION_PLACEHOLDER = "@SESSION@"
"""Replaced with the session's name in a rewritten playlist."""
DEFAULT_TARGET_SECONDS = 6.0
"""Target duration assumed for a title of which no playlist has been fetched."""
MAX_TITLES = 2000
"""Limit of titles whose playlists are cached; the least recently used is evicted."""


class TitleError(Exception):
    """A title's playlists can't be fetched or are invalid."""


def resolve_uri(base: str, uri: str) -> str:
    """Resolve a playlist's URI to an absolute path on the host, or to a URL if it names another place."""
    joined = urllib.parse.urljoin(base, uri)
    parts = urllib.parse.urlsplit(joined)
    if parts.scheme or parts.netloc:
        return joined
    path = posixpath.normpath(parts.path)
    return path + (f"?{parts.query}" if parts.query else "")


@dataclass(frozen=True, slots=True)
class Rendition:
    """One rung of a title: the paths of its segments on a host, and its rewritten playlist."""

    sequence: int
    """Media sequence number of the first segment."""
    paths: tuple[str, ...]
    """Path of each segment in order, the same on every host that holds the title."""
    auxiliary_paths: tuple[str, ...]
    """Paths of keys and initialisation sections, by the number in their rewritten URI."""
    text_parts: tuple[bytes, ...]
    """The rewritten playlist, split at the places of the session's name."""
    target_duration: int
    duration: float
    ended: bool
    segments: tuple[hls.Segment, ...] = ()
    """Rewritten segments if the title has initialisation sections; else empty."""
    tags_in_force: tuple[tuple[hls.Tag, ...], ...] = ()
    """For each of `segments`, the key and map tags that apply to it."""
    tags: tuple[hls.Tag, ...] = ()

    def playlist(self, session: str) -> bytes:
        """Return the rewritten playlist for the session of this name."""
        return session.encode().join(self.text_parts)

    def segment_path(self, number: int) -> str | None:
        """Return the path of the segment with this sequence number, or None if it isn't listed."""
        index = number - self.sequence
        return self.paths[index] if 0 <= index < len(self.paths) else None


def rewrite_playlist(media: hls.MediaPlaylist, base: str, rung: int) -> Rendition:
    """Rewrite a media playlist so that every URI leads to the gateway; all else is unchanged.

    A byte range gets an explicit offset, as the segments no longer share a URI. Keys and maps differ between
    rungs, so their URIs name the rung; URIs of segments don't, as these follow the session's present rung.
    """
    auxiliary_paths: list[str] = []

    def auxiliary_uri(uri: str) -> str:
        path = resolve_uri(base, uri)
        if path not in auxiliary_paths:
            auxiliary_paths.append(path)
        return f"/s/{SESSION_PLACEHOLDER}/aside/{rung}/{auxiliary_paths.index(path)}"

    segments, paths, tags_in_force = [], [], list[tuple[hls.Tag, ...]]()
    in_force: dict[str, hls.Tag] = {}
    for number, segment in enumerate(media.segments, media.sequence):
        paths.append(resolve_uri(base, segment.uri))
        extension = posixpath.splitext(urllib.parse.urlsplit(segment.uri).path)[1][:8]
        if not extension.isascii() or not extension[1:].isalnum():
            extension = ""
        # With an initialisation section, the segment's rung is fixed when it is listed: another rung's bytes
        # would not decode after this rung's section.
        name = f"{number}@{rung}" if media.has_maps else f"{number}"
        changed = segment.with_tag_uris(auxiliary_uri).with_uri(f"/s/{SESSION_PLACEHOLDER}/{name}{extension}")
        if segment.byte_range is not None:
            length, offset = segment.byte_range
            ranged = hls.Tag("EXT-X-BYTERANGE", f"{length}@{offset}")
            tags = tuple(ranged if x.name == "EXT-X-BYTERANGE" else x for x in changed.tags)
            changed = replace(changed, tags=tags)
        segments.append(changed)
        in_force |= {x.name: x for x in changed.tags if x.name in TAGS_FOR_FOLLOWING_SEGMENTS}
        tags_in_force.append(tuple(in_force.values()))
    rewritten = replace(media, segments=tuple(segments))
    text_parts = tuple(x.encode() for x in rewritten.text().split(SESSION_PLACEHOLDER))
    keep_segments = media.has_maps
    return Rendition(
        media.sequence, tuple(paths), tuple(auxiliary_paths), text_parts, media.target_duration,
        media.duration, media.ended, tuple(segments) if keep_segments else (),
        tuple(tags_in_force) if keep_segments else (), media.tags if keep_segments else (),
    )  # fmt: skip


class GrowingPlaylist:
    """One session's playlist of a title with initialisation sections; it grows as the viewer proceeds.

    A segment's rung is fixed when the segment is first listed, a few segments ahead of the last requested
    one. A change of rung applies from the next segment listed, after a DISCONTINUITY and with the new rung's
    map (RFC 8216 4.3.2.3, 4.3.2.5). Listed segments never change (6.2.1). Thread-safe.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._rungs: dict[int, int] = {}
        """Rung of each segment listed so far, by sequence number."""
        self._last_requested = -1
        self._first_listed = 0
        self._dropped_discontinuities = 0
        """Discontinuities that have left the start of a live list."""

    def segment_requested(self, number: int) -> None:
        """Record that the player requested a segment, so that the list extends beyond it."""
        with self._lock:
            self._last_requested = max(self._last_requested, number)

    def playlist(self, renditions: Mapping[int, Rendition], rung: int, session: str) -> bytes:
        """Return the list with `rung` for the newly listed segments.

        `renditions`: by rung, that of `rung` and of each one in `rungs`.
        """
        with self._lock:
            current = renditions[rung]
            end = current.sequence + len(current.segments)
            listed_end = (
                min(end, max(self._last_requested, current.sequence - 1) + 1 + SEGMENTS_LISTED_AHEAD)
                if current.ended
                else end
            )
            start = current.sequence
            for number in range(self._first_listed, start):
                before = self._rungs.get(number - 1)
                self._dropped_discontinuities += before is not None and before != self._rungs.get(number)
            self._first_listed = start
            for number in range(start, listed_end):
                self._rungs.setdefault(number, rung)
            listed = sorted(x for x in self._rungs if x >= start)
            if current.ended:
                listed = [x for x in listed if x < end]
            complete = bool(listed) and current.ended and listed[-1] == end - 1
            lines = ["#EXTM3U", *(x.text() for x in current.tags if x.name not in PLAYLIST_SPECIFIC_TAGS)]
            if current.ended:
                lines += ["#EXT-X-PLAYLIST-TYPE:EVENT", "#EXT-X-START:TIME-OFFSET=0"]
            lines.append(f"#EXT-X-MEDIA-SEQUENCE:{start}")
            if self._dropped_discontinuities:
                lines.append(f"#EXT-X-DISCONTINUITY-SEQUENCE:{self._dropped_discontinuities}")
            previous_rung: int | None = None
            for number in listed:
                segment_rung = self._rungs[number]
                rendition = renditions[segment_rung]
                index = number - rendition.sequence
                if not 0 <= index < len(rendition.segments):
                    continue  # this rung's playlist, fetched earlier, doesn't list the segment
                segment = rendition.segments[index]
                if previous_rung != segment_rung:
                    lines += ["#EXT-X-DISCONTINUITY"] * (previous_rung is not None)
                    lines += [x.text() for x in rendition.tags_in_force[index]]
                    lines += [x.text() for x in segment.tags if x.name not in TAGS_FOR_FOLLOWING_SEGMENTS]
                else:
                    lines += [x.text() for x in segment.tags]
                lines.append(segment.uri)
                previous_rung = segment_rung
            if complete:
                lines.append("#EXT-X-ENDLIST")
            return ("\n".join(lines) + "\n").replace(SESSION_PLACEHOLDER, session).encode()

    @property
    def rungs(self) -> frozenset[int]:
        """Every rung of a listed segment."""
        with self._lock:
            return frozenset(self._rungs.values())


@dataclass(slots=True)
class Title:
    """A title's cached playlists."""

    variants: tuple[str, ...]
    """Path of each rung's playlist, from the lowest up."""
    renditions: dict[int, Rendition] = field(default_factory=dict)
    """By rung."""
    fetched_at: dict[int, float] = field(default_factory=dict)
    """Monotonic time of the last fetch of each rung's rendition."""
    lock: threading.Lock = field(default_factory=threading.Lock)
    """Held while a rendition is fetched, so that one fetch serves all that wait for it."""


class TitleCatalogue:
    """A cache of titles' playlists: an ended one is fetched once, a live one again when it is stale.

    Thread-safe.
    """

    def __init__(self, rungs: int) -> None:
        """`rungs`: number of rungs of the site's ladder; a title must offer as many."""
        self._rungs = rungs
        self._titles: OrderedDict[str, Title] = OrderedDict()
        self._lock = threading.Lock()

    def rendition(self, name: str, rung: int, client: Client, deadline: float) -> Rendition:
        """Return a title's rendition at a rung, fetched through `client` if none is fresh.

        `deadline`: monotonic time. Raises TitleError.
        """
        with self._lock:
            title = self._titles.get(name)
            if title is not None:
                self._titles.move_to_end(name)
        if title is None:
            title = self._fetch_title(name, client, deadline)
            with self._lock:
                title = self._titles.setdefault(name, title)
                while len(self._titles) > MAX_TITLES:
                    self._titles.popitem(last=False)
        rendition = self._cached_if_fresh(title, rung)
        if rendition is not None:
            return rendition
        with title.lock:
            rendition = self._cached_if_fresh(title, rung)
            if rendition is None:
                rendition = self._fetch_rendition(title.variants[rung], rung, client, deadline)
                title.renditions[rung], title.fetched_at[rung] = rendition, time.monotonic()
            return rendition

    def fresh_rendition(self, name: str, rung: int) -> Rendition | None:
        """Return the rendition if it can be used without a fetch, else None."""
        title = self._titles.get(name)
        return None if title is None else self._cached_if_fresh(title, rung)

    def last_rendition(self, name: str, rung: int) -> Rendition | None:
        """Return the rendition last fetched, whatever its age; None if there is none."""
        title = self._titles.get(name)
        return None if title is None else title.renditions.get(rung)

    def target_duration(self, name: str) -> float:
        """Return a title's target duration in seconds: the largest of its renditions, or the default."""
        title = self._titles.get(name)
        renditions = list(title.renditions.values()) if title is not None else []
        return max((x.target_duration for x in renditions), default=DEFAULT_TARGET_SECONDS)

    @staticmethod
    def _cached_if_fresh(title: Title, rung: int) -> Rendition | None:
        rendition = title.renditions.get(rung)
        if rendition is None or rendition.ended:
            return rendition
        age = time.monotonic() - title.fetched_at[rung]
        return rendition if age < rendition.target_duration / 2 else None

    def _fetch_title(self, name: str, client: Client, deadline: float) -> Title:
        path = f"/titles/{name}/index.m3u8"
        playlist = _fetch_playlist(path, client, deadline)
        if not isinstance(playlist, hls.MultivariantPlaylist):
            raise TitleError(f"{path}: found a media playlist instead of a multivariant one")
        variants = playlist.rungs()
        if len(variants) != self._rungs:
            raise TitleError(f"{path}: found {len(variants)} bandwidths; the ladder has {self._rungs} rungs")
        return Title(tuple(resolve_uri(path, x.uri) for x in variants))

    @staticmethod
    def _fetch_rendition(path: str, rung: int, client: Client, deadline: float) -> Rendition:
        playlist = _fetch_playlist(path, client, deadline)
        if not isinstance(playlist, hls.MediaPlaylist):
            raise TitleError(f"{path}: found a multivariant playlist instead of a media one")
        return rewrite_playlist(playlist, path, rung)


def _fetch_playlist(
    path: str, client: Client, deadline: float
) -> hls.MediaPlaylist | hls.MultivariantPlaylist:
    try:
        response = client.exchange(b"GET", path.encode(), deadline=deadline)
        if response.status != 200:
            raise TitleError(f"{path}: the host responded with status {response.status}")
        return hls.parse(response.body)
    except ExchangeError as error:
        raise TitleError(f"{path}: {error}") from error
    except hls.PlaylistError as error:
        raise TitleError(f"{path}: {error}") from error
