"""Eras of a store that may come back from an older copy of its data.

Such a store gives the same revision numbers out again, in a new era. A ``Revision``
holds the era above the store's own number, so that each revision of an era is higher
than all revisions of earlier ones.
"""

from fireflyhitch_model.ids import ABSENT, Revision, StoreEra

NUMBER_BITS = 40
# The era of a store that tells none.
UNKNOWN_ERA = StoreEra(0)


def make_revision(era: StoreEra, number: int) -> Revision:
    """Return the revision for a number of the store; number 0 means "does not exist"."""
    return Revision((era << NUMBER_BITS) + number) if number else ABSENT


def make_floor(era: StoreEra) -> Revision:
    """Return a revision below all of an era, and above all of earlier eras."""
    return Revision(era << NUMBER_BITS)


def find_era(revision: Revision) -> StoreEra:
    """Return the era that a revision belongs to."""
    return StoreEra(revision >> NUMBER_BITS)


def find_number(revision: Revision) -> int:
    """Return the number that the store gave a revision."""
    return revision & ((1 << NUMBER_BITS) - 1)
