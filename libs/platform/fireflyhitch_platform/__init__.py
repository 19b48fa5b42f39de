"""Clients of the platform's services behind narrow protocols."""
