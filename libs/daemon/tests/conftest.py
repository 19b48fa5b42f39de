"""Sites that tests share, or have for themselves."""

import pytest
from small_site import SmallSite


@pytest.fixture(scope='module')
def site():
    """Return a site that the tests of a module share."""
    small = SmallSite()
    yield small
    small.close()


@pytest.fixture
def fresh_site():
    """Return a site of its own, for a test that takes parts of it away."""
    small = SmallSite()
    yield small
    small.close()
