"""Loading and validation of settings and their templates."""
