"""Choice of backend server, limits, admission and retries."""
