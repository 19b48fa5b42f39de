"""Small fakes of the platform and of backend servers."""
