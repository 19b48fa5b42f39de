"""Ids, states, messages, errors, the clock and invariants."""
