"""At-most-once execution of calls that may not be repeated."""
