"""The path of a request on one event loop, from its caller to a server and back."""
