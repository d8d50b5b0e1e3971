"""The stage of each edition as one gateway knows it, moved by the transition table in `editions.py`."""

from __future__ import annotations

from .editions import TRANSITIONS, Edition, EditionEvent, EditionStage, RolloutState


class EditionStages:
    """Stages of editions; absent editions are not stored."""

    def __init__(self) -> None:
        self._stages: dict[Edition, EditionStage] = {}

    def stage_of(self, edition: Edition) -> EditionStage:
        """Return the stage of an edition."""
        return self._stages.get(edition, EditionStage.ABSENT)

    def clear(self) -> None:
        """Reset all editions to ABSENT."""
        self._stages = {}

    def update(self, known: RolloutState, rollout: RolloutState) -> None:
        """Apply the events that lead from the state `known` so far to `rollout`."""
        before, after = known.events(), rollout.events()
        for edition in sorted(after):
            if before.get(edition) != after[edition]:
                self.apply_event(edition, after[edition][0])
        for edition in sorted(
            {*before, *(x for x, y in self._stages.items() if y is EditionStage.WITHDRAWN)}
        ):
            if edition not in after:
                self.apply_event(edition, EditionEvent.FORGOTTEN)

    def apply_event(self, edition: Edition, event: EditionEvent) -> None:
        """Move an edition to its next stage. Raises KeyError if the table has no such transition."""
        after = TRANSITIONS[self.stage_of(edition), event]
        if after is EditionStage.ABSENT:
            self._stages.pop(edition, None)
        else:
            self._stages[edition] = after
