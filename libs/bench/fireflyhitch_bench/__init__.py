"""Benchmarks, the demo, the stack and the soak run."""
