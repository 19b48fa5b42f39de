"""Peer links, failure detection and dissemination of state."""
