"""Fixtures of clusters, shared per module or fresh for a test."""

import pytest
from local_cluster import LocalCluster


@pytest.fixture(scope='module')
def cluster():
    """Provide a cluster shared by the tests of a module."""
    created = LocalCluster()
    yield created
    created.close()


@pytest.fixture
def fresh_cluster():
    """Provide a new cluster, for a test that stops parts of it."""
    created = LocalCluster()
    yield created
    created.close()
