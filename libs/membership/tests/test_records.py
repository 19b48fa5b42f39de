"""Tests of configuration records and differences between two records."""

import json

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from fireflyhitch_membership.records import (
    EMPTY_RECORD,
    ConfigurationRecord,
    apply_difference,
    pack,
    pack_difference,
    parse_configuration,
    unpack,
    write_canonical,
)
from fireflyhitch_settings.schema import (
    Configuration,
    Customer,
    ModelDeployment,
    ServiceDeployment,
)

names = st.lists(st.sampled_from('abcdef'), unique=True, max_size=5)


def make_configuration(services, customers, version='1'):
    domains = ('gent',)
    return Configuration(
        deployments=(
            ModelDeployment(name='chat', failure_domains=domains, version=version),
            *(
                ServiceDeployment(name=one, failure_domains=domains, version=version)
                for one in services
            ),
        ),
        customers=tuple(
            Customer(customer_id=one, api_key_sha256='0' * 64) for one in customers
        ),
    )


class TestDifference:
    """Differences sent to a peer that is a few changes behind."""

    @settings(
        derandomize=True,
        max_examples=100,
        deadline=None,
        suppress_health_check=(HealthCheck.too_slow,),
    )
    @given(before=names, after=names, version=st.sampled_from('12'))
    def test_applied_difference_is_exact_or_detectably_wrong(
        self, before, after, version
    ):
        old = EMPTY_RECORD.follow(1, 'one', make_configuration(before, after))
        new = old.follow(2, 'two', make_configuration(after, before, version))
        made = apply_difference(old, pack_difference(old, new), 2, 'two')
        if made.content == new.content:
            assert made == new
        else:
            # Only the order differs. The hashes differ too, so the whole is pulled.
            local, remote = json.loads(made.text), json.loads(new.text)
            for key in ('deployments', 'customers'):
                assert sorted(map(str, local[key])) == sorted(map(str, remote[key]))

    def test_difference_is_small(self):
        many = [f's{number}' for number in range(200)]
        old = EMPTY_RECORD.follow(1, 'one', make_configuration(many, ()))
        new = old.follow(2, 'two', make_configuration([*many, 'more'], ()))
        assert len(pack_difference(old, new)) < len(pack(new)) / 2

    def test_unreadable_difference_is_none(self):
        assert apply_difference(EMPTY_RECORD, b'no', 1, 'x') is None


class TestRecord:
    """The serialized format."""

    def test_round_trip_keeps_fields_of_a_later_release(self):
        text = write_canonical({'deployments': [], 'customers': [], 'later': 1})
        record = ConfigurationRecord(3, 'x', (('x', 3),), text)
        assert unpack(pack(record), 'peer') == record

    def test_fields_of_a_later_release_are_ignored_at_any_depth(self):
        wanted = make_configuration(['a'], ['b'])
        document = wanted.model_dump(mode='json')
        document['later'] = 1
        document['deployments'][0]['later'] = 2
        document['deployments'][0]['capacity']['later'] = 3
        document['customers'][0]['limits']['later'] = [4]
        assert parse_configuration(json.dumps(document)) == wanted
