"""In-flight requests: resume, hand-over and drain."""
