"""Logs, metrics and service-level burn rates."""
