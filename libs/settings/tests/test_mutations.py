"""Randomly corrupted settings must be reported and never cause a crash."""

import copy
import json
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from fireflyhitch_model.clock import ManualClock
from fireflyhitch_settings.checks import check_configuration
from fireflyhitch_settings.documents import parse_document, strip_positions
from fireflyhitch_settings.errors import SettingsErrors
from fireflyhitch_settings.loader import load_configuration

EXAMPLES = Path(__file__).parents[3] / 'examples' / 'brandveilig'

SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-2, 2),
    st.floats(allow_nan=False, allow_infinity=False),
    st.sampled_from(['', 'gent', 'v1', '${name}', '${', '${}', 'model', 'a/b']),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=2),
        st.dictionaries(st.sampled_from(['name', 'kind', 'default']), inner),
    ),
    max_leaves=4,
)


def merge_examples():
    merged = {}
    for path in sorted(EXAMPLES.glob('*.json')):
        errors = []
        document = parse_document(str(path), path.read_text(), errors)
        assert not errors
        merged.update(strip_positions(document))
    # Parsing dominates the run time, so only a few entries of each kind are kept.
    merged['customers'] = merged['customers'][1:3]
    for deployment in merged['deployments']:
        del deployment['parameters']['prices'][2:]
    return merged


def list_paths(node, path=()):
    if path:
        yield path
    keys = ()
    if isinstance(node, dict):
        keys = node.keys()
    elif isinstance(node, list):
        keys = range(len(node))
    for key in keys:
        yield from list_paths(node[key], (*path, key))


MERGED = merge_examples()
PATHS = sorted(list_paths(MERGED), key=repr)


def damage(document, path, replacement):
    *outer, last = path
    for key in outer:
        document = document[key]
    if replacement is None:
        document.pop(last)
    else:
        document[last] = replacement[0]


@pytest.fixture
def path(tmp_path):
    return tmp_path / 'damaged.json'


class TestDamagedSettings:
    """One value is replaced or removed."""

    @settings(
        derandomize=True,
        max_examples=40,
        deadline=None,
        suppress_health_check=[HealthCheck.function_scoped_fixture],
    )
    @given(st.sampled_from(PATHS), st.one_of(st.none(), st.tuples(VALUES)))
    def test_corrupted_settings_are_valid_or_reported(
        self, path, location, replacement
    ):
        damaged = copy.deepcopy(MERGED)
        damage(damaged, location, replacement)
        path.write_text(json.dumps(damaged, indent=1))
        try:
            configuration = load_configuration([path], ManualClock())
        except SettingsErrors as errors:
            lines = path.read_text().splitlines()
            for error in errors.exceptions:
                assert error.position.file == str(path)
                assert error.position.line <= len(lines)
                assert error.message
        else:
            assert not check_configuration(configuration)
