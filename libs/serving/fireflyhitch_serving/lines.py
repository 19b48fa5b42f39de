"""Reads lines that arrive in parts."""


class LineTooLongError(Exception):
    """A line does not end within its limit."""


class LineReader:
    """Reads one line after the other."""

    def __init__(self) -> None:
        """Create a reader at the begin of a line."""
        self._begun = b''

    @property
    def begun_bytes(self) -> int:
        """Return how much of an incomplete line was read."""
        return len(self._begun)

    def feed(
        self, data: bytes, position: int, max_bytes: int
    ) -> tuple[int, bytes | None]:
        """Read up to the end of the line, or of ``data``.

        :param position: where to begin in ``data``.
        :param max_bytes: greatest size of the line, with its line feed.
        :returns: the position after what was read, and the line if it is complete.
        :raises LineTooLongError: if the line is longer.
        """
        allowed = max_bytes - len(self._begun)
        found = data.find(b'\n', position, position + allowed)
        end = found + 1 if found >= 0 else min(len(data), position + allowed)
        line = self._begun + data[position:end]
        if found >= 0:
            self._begun = b''
            return end, line
        self._begun = line
        if end - position == allowed:
            raise LineTooLongError
        return end, None
