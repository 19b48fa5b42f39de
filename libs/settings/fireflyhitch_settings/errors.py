"""Errors in settings, each with file, line, column and key."""

from collections.abc import Sequence
from dataclasses import dataclass

from fireflyhitch_model.errors import FireflyhitchError
from fireflyhitch_model.states import Step


@dataclass(frozen=True, slots=True, order=True)
class Place:
    """Where something stands in a file; lines and columns count from 1."""

    file: str
    line: int = 1
    column: int = 1

    def __str__(self) -> str:
        """Return the place in the form that editors jump to."""
        return f'{self.file}:{self.line}:{self.column}'


class SettingsError(FireflyhitchError):
    """One thing that is wrong in a settings file.

    :param message: what is wrong, for people.
    :param place: where it stands; its file is the error's peer.
    :param key: the path of keys to it, for example ``customers[2].priority``.
    """

    def __init__(self, message: str, place: Place, key: str = '') -> None:
        super().__init__(message, step=Step.CONFIGURE, peer=place.file)
        self.place = place
        self.key = key

    def __str__(self) -> str:
        """Return place, key and message on one line."""
        key = f'{self.key}: ' if self.key else ''
        return f'{self.place}: {key}{self.message}'


class SettingsErrors(ExceptionGroup[SettingsError]):
    """All that is wrong in the files of one run, in the order of their places."""

    def derive(self, excs: Sequence[SettingsError]) -> 'SettingsErrors':  # type: ignore[override]
        """Keep the type when a group is split."""
        return SettingsErrors(self.message, excs)


def raise_errors(errors: Sequence[SettingsError]) -> None:
    """Raise all errors as a group if there are any.

    :raises SettingsErrors: with each error once.
    """
    if not errors:
        return
    ordered = sorted(errors, key=lambda error: (error.place, error.key))
    plural = '' if len(ordered) == 1 else 's'
    raise SettingsErrors(f'{len(ordered)} error{plural} in settings', ordered)
