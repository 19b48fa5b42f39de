"""Renders service-level burn as text, JSON and an HTML page."""

from fireflyhitch_telemetry.burn import BurnSnapshot


def render_text(snapshot: BurnSnapshot) -> str:
    """Return a table for people."""
    raise NotImplementedError


def render_json(snapshot: BurnSnapshot) -> str:
    """Return one JSON object for programs."""
    raise NotImplementedError


def render_html(snapshot: BurnSnapshot) -> str:
    """Return a page that needs nothing else, with plots in it."""
    raise NotImplementedError
