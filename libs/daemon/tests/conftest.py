"""Sites that tests share, or have for themselves."""

import pytest
from local_cluster import LocalCluster


@pytest.fixture(scope='module')
def cluster():
    """Return a site that the tests of a module share."""
    small = LocalCluster()
    yield small
    small.close()


@pytest.fixture
def fresh_cluster():
    """Return a site of its own, for a test that takes parts of it away."""
    small = LocalCluster()
    yield small
    small.close()
