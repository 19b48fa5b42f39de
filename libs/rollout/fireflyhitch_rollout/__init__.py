"""Version moves: shares, evidence, verdict and take-back."""
