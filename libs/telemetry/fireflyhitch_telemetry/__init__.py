"""Logs, metrics and the burn of service levels."""
