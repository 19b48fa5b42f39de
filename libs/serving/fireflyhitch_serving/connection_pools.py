"""Idle connections to servers, kept to be reused."""

from fireflyhitch_serving.connections import ServerConnection

# Idle connections kept to one server, which accepts some hundred from all daemons.
MAX_IDLE = 32


class ConnectionPool:
    """Idle connections to one server; the most recently used is reused first."""

    def __init__(self, max_idle: int = MAX_IDLE) -> None:
        """Create an empty pool."""
        self._max_idle = max_idle
        self._idle: list[ServerConnection] = []

    def take(self, now: float) -> ServerConnection | None:
        """Remove and return a reusable connection, if there is one."""
        while self._idle:
            found = self._idle.pop()
            if found.is_fresh(now):
                return found
            found.close()
        return None

    def release(self, connection: ServerConnection, now: float) -> None:
        """Return a connection to the pool, or close it if it is not reusable.

        Its last response must have been read completely.
        """
        if not connection.finish(now):
            return
        if len(self._idle) >= self._max_idle:
            connection.close()
            return
        self._idle.append(connection)

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()
