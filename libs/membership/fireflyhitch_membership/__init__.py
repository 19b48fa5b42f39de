"""Peer links, liveness and dissemination of state."""
