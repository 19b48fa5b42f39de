"""Templates, parameters and checked settings."""
