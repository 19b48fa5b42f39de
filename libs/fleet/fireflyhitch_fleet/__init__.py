"""Capacity management: ordering and replacing instances under a lease."""
