"""Queries to the name service that may still be answered. No I/O, no clock.

An answer may take as long as the name service is slow, so a query is kept for a time and not until a number
of further ones were sent. Ids have 16 bits: each further one that is accepted makes a forged answer more
likely to hit one. An answer is therefore believed alone only if it is to one of the last few queries, or if
an earlier answer to another query has shown that the service takes as long at present. Its list needs no
confirmation then: a forged answer would have had to hit two ids, as with a list that another answer confirms,
and a list that changes with each answer could never be confirmed.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from dataclasses import dataclass

ANSWER_SECONDS = 6.0
"""Seconds for which an answer is accepted: a list must be in force 6 s after it could be reached."""
MAX_PENDING_QUERIES = 64
"""Queries kept at most, however many are sent in `ANSWER_SECONDS`."""
CREDIBLE_QUERIES = 8
"""The last queries whose answers are believed alone."""
DELAY_TOLERANCE_SECONDS = 0.5
"""Seconds by which an answer may take longer than the slowest one of late."""
MIN_EVIDENCE_SECONDS = 0.05
"""Least age in seconds of the answer that shows how slow the service is: copies and guesses come in
bursts."""


@dataclass(frozen=True, slots=True)
class Query:
    """A query that was sent; `number`: counted from 1, `sent_at`: seconds."""

    number: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class ObservedDelay:
    """How long an answer took, and when it was received (seconds)."""

    received_at: float
    delay: float


class PendingQueries:
    """The queries without an answer, by id, oldest first."""

    def __init__(self) -> None:
        self._queries: OrderedDict[int, Query] = OrderedDict()
        self._sent_count = 0
        self._delays: deque[ObservedDelay] = deque(maxlen=MAX_PENDING_QUERIES)
        """Delays of the last answers, oldest first."""

    def add(self, query_id: int, now: float) -> None:
        """A query was sent. One that has the same id is replaced."""
        self._sent_count += 1
        self._queries[query_id] = Query(self._sent_count, now)
        self._queries.move_to_end(query_id)
        if len(self._queries) > MAX_PENDING_QUERIES:
            self._queries.popitem(last=False)

    def find(self, query_id: int, now: float) -> Query | None:
        """The query that an answer names; None: there is none, or it was sent too long ago."""
        query = self._queries.get(query_id)
        return None if query is None or now - query.sent_at > ANSWER_SECONDS else query

    def answer(self, query_id: int, query: Query, now: float) -> None:
        """A query was answered with a valid list: a second answer to it is not accepted."""
        self.remove(query_id)
        self._delays.append(ObservedDelay(now, now - query.sent_at))

    def remove(self, query_id: int) -> None:
        """A second answer to a query is not accepted."""
        del self._queries[query_id]

    def is_credible(self, query: Query, now: float) -> bool:
        """Whether the answer to a query is believed alone."""
        if query.number > self._sent_count - CREDIBLE_QUERIES:
            return True
        observed = [
            x.delay for x in self._delays if MIN_EVIDENCE_SECONDS <= now - x.received_at <= ANSWER_SECONDS
        ]
        return now - query.sent_at <= max(observed, default=-math.inf) + DELAY_TOLERANCE_SECONDS

    def clear(self) -> None:
        """Answers to earlier queries are not accepted any more: another service is asked."""
        self._queries.clear()
        self._delays.clear()
