"""Capacity: buying and replacing instances by fenced orders."""
