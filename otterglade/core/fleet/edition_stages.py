"""The stage of each edition as one gateway knows it, moved by the table in `editions.py`."""

from __future__ import annotations

from .editions import NEXT, Book, Edition, Event, Stage


class EditionStages:
    """Stages of editions; one that is absent takes no room."""

    def __init__(self) -> None:
        self._stages: dict[Edition, Stage] = {}

    def of(self, edition: Edition) -> Stage:
        """The stage of an edition."""
        return self._stages.get(edition, Stage.ABSENT)

    def clear(self) -> None:
        """Forget all of them."""
        self._stages = {}

    def sync(self, known: Book, book: Book) -> None:
        """Move editions by what has changed in the state since the one that was known."""
        before, after = known.events(), book.events()
        for edition in sorted(after):
            if before.get(edition) != after[edition]:
                self.move(edition, after[edition][0])
        for edition in sorted({*before, *(x for x, y in self._stages.items() if y is Stage.WITHDRAWN)}):
            if edition not in after:
                self.move(edition, Event.FORGOTTEN)

    def move(self, edition: Edition, event: Event) -> None:
        """Move an edition by the table."""
        after = NEXT[self.of(edition), event]
        if after is Stage.ABSENT:
            self._stages.pop(edition, None)
        else:
            self._stages[edition] = after
