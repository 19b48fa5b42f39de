"""Backend server selection, customer limits, admission and retries."""
