"""Settings errors with file, line, column and key."""

from collections.abc import Sequence
from dataclasses import dataclass

from fireflyhitch_model.errors import FireflyhitchError
from fireflyhitch_model.states import Step


@dataclass(frozen=True, slots=True, order=True)
class SourcePosition:
    """A position in a file; lines and columns are 1-based."""

    file: str
    line: int = 1
    column: int = 1

    def __str__(self) -> str:
        """Return ``file:line:column``, which editors can jump to."""
        return f'{self.file}:{self.line}:{self.column}'


class SettingsError(FireflyhitchError):
    """An error in a settings file.

    :param message: a human-readable description.
    :param position: where the error is; its file becomes the error's peer.
    :param key: the path of the value, for example ``customers[2].priority``.
    """

    def __init__(self, message: str, position: SourcePosition, key: str = '') -> None:
        super().__init__(message, step=Step.CONFIGURE, peer=position.file)
        self.position = position
        self.key = key

    def __str__(self) -> str:
        """Return position, key and message on one line."""
        key = f'{self.key}: ' if self.key else ''
        return f'{self.position}: {key}{self.message}'


class SettingsErrors(ExceptionGroup[SettingsError]):
    """All errors in a set of files, ordered by position."""

    def derive(self, excs: Sequence[SettingsError]) -> 'SettingsErrors':  # type: ignore[override]
        """Return a group of the same type when this group is split."""
        return SettingsErrors(self.message, excs)


def raise_errors(errors: Sequence[SettingsError]) -> None:
    """Raise all errors as a group if there are any.

    :raises SettingsErrors: with the errors ordered by position.
    """
    if not errors:
        return
    ordered = sorted(errors, key=lambda error: (error.position, error.key))
    plural = '' if len(ordered) == 1 else 's'
    raise SettingsErrors(f'{len(ordered)} error{plural} in settings', ordered)
