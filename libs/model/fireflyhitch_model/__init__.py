"""Ids, states, messages, errors, the clock and runtime invariants."""
