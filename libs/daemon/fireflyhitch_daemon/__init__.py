"""The daemon, composed from the other libraries."""
