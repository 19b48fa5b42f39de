"""Version moves: gradual rollouts of a new version, judged by evidence."""
