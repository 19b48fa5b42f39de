"""Scenarios of operators who change the configuration concurrently."""

from pathlib import Path

import pytest
from pytest_bdd import given, parsers, scenario, then, when

FEATURE = str(Path(__file__).parent / 'apply.feature')


class TestRaces:
    """Concurrent changes by two operators."""

    @staticmethod
    @scenario(FEATURE, 'Two operators race each other')
    def test_second_operator_changes_nothing():
        """The compare-and-swap fails, and both configurations are shown."""

    @staticmethod
    @scenario(FEATURE, 'The loser merges and applies again')
    def test_merged_change_is_accepted():
        """The operator applies the change to the new revision."""

    @staticmethod
    @scenario(FEATURE, 'The answer is lost after the change took effect')
    def test_lost_response_is_not_reported_as_a_conflict():
        """The tool resends the change and finds that it already took effect."""


@pytest.fixture
def apply(run, settings, tmp_path):
    def apply_version(version, revision):
        names = ('templates.json', 'deployments.json', 'customers.json')
        for name in names:
            text = (settings / name).read_text()
            text = text.replace('"version": "v1"', f'"version": "{version}"')
            (tmp_path / name).write_text(text)
        return run('apply', '--revision', revision, tmp_path)

    return apply_version


@given('revision 1 is in force and two operators have seen it')
def put_in_force(admin, apply):
    apply('v1', 0)


@given('the answer to the next change is lost')
def lose_answer(admin):
    admin.lost_answers = 1


@when(
    parsers.parse(
        'the first applies version "{one}" and the second applies version "{two}"'
    ),
    target_fixture='results',
)
def race(apply, one, two):
    return {'first': apply(one, 1), 'second': apply(two, 1)}


@when(parsers.parse('the second applies version "{version}" to revision {seen:d}'))
def apply_again(apply, version, seen):
    apply(version, seen)


@then(parsers.parse('the first is told that revision {revision:d} is in force'))
def see_success(results, revision):
    assert results['first'][:2] == (0, f'in force as revision {revision}\n')


@then(
    parsers.parse('the second exits with code {code:d} and sees "{one}" beside "{two}"')
)
def see_conflict(results, code, one, two):
    exit_code, out, err = results['second']
    assert exit_code == code
    assert err.endswith('nothing was changed\n')
    assert f'-      "version": "{one}"' in out
    assert f'+      "version": "{two}"' in out


@then(parsers.parse('version "{version}" is in force as revision {revision:d}'))
def see_in_force(admin, version, revision):
    assert admin.revision == revision
    assert admin.configuration['deployments'][0]['version'] == version
