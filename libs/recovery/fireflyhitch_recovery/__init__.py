"""Requests in flight: resume, hand-over and drain."""
