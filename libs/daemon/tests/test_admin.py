"""Tests of the operators' interface."""

from datetime import UTC, datetime, timedelta

from local_cluster import DOMAINS, TOKEN, make_configuration, wait_until


def propose(cluster, number, configuration, expected, change):
    body = {
        'expected_revision': expected,
        'change_id': change,
        'configuration': configuration.model_dump(mode='json'),
    }
    return cluster.admin(number, 'PUT', '/admin/configuration', body)


def read_revision(cluster, number):
    return cluster.admin(number, 'GET', '/admin/configuration').json()['revision']


class TestConfiguration:
    """Proposals by operators who race, err or lose answers."""

    def test_of_two_operators_one_wins_and_the_other_sees_both_sides(self, cluster):
        """Two operators propose against the revision that both saw.

        The first is accepted and in force at both daemons; the second gets a
        conflict with the configuration in force, and nothing is changed.
        """
        seen = read_revision(cluster, 0)
        first = propose(cluster, 0, make_configuration(), seen, 'first')
        assert first.status == 200
        accepted = first.json()['revision']
        wait_until(lambda: read_revision(cluster, 1) == accepted)
        second = propose(cluster, 1, make_configuration(), seen, 'second')
        assert second.status == 409
        assert second.json()['current_revision'] == accepted
        assert second.json()['configuration']['deployments']

    def test_configuration_that_contradicts_itself_is_refused(self, cluster):
        good = make_configuration()
        twice = good.model_copy(update={'deployments': good.deployments * 2})
        answer = propose(cluster, 0, twice, read_revision(cluster, 0), 'twice')
        assert answer.status == 400
        assert 'deployments' in answer.json()['error']['message']

    def test_move_whose_date_has_passed_is_refused(self, cluster):
        past = datetime.now(UTC) - timedelta(days=1)
        document = make_configuration().model_dump(mode='json')
        move = {'to_version': 'v2', 'move_by': past.isoformat()}
        document['deployments'][0]['move'] = move
        body = {
            'expected_revision': read_revision(cluster, 0),
            'change_id': 'past',
            'configuration': document,
        }
        assert cluster.admin(0, 'PUT', '/admin/configuration', body).status == 400


class TestStatus:
    """What operators see."""

    def test_status_names_revision_by_failure_domain(self, cluster):
        status = cluster.admin(0, 'GET', '/admin/status').json()
        domains = {one['failure_domain'] for one in status['failure_domains']}
        assert domains == set(DOMAINS)
        assert status['invariant_violations'] == 0

    def test_wrong_token_sees_nothing(self, cluster):
        address = cluster.daemons[0].describe()['admin']
        headers = {'Authorization': f'Bearer {TOKEN}x'}
        url = f'http://{address}/admin/status'
        assert cluster.http.request('GET', url, headers=headers).status == 401

    def test_burn_is_summed_over_daemons(self, cluster):
        for number in (0, 1):
            cluster.client(number).chat.completions.create(
                model='assistant',
                messages=[{'role': 'user', 'content': 'x'}],
                max_tokens=2,
            )
        burn = cluster.admin(0, 'GET', '/admin/burn').json()
        assert set(burn['failure_domains']) == set(DOMAINS)
        assert burn['rows']

    def test_drained_server_gets_no_new_work_anywhere(self, fresh_cluster):
        """The operator drains one engine at one daemon.

        The mark spreads by peers; the other daemon stops using the engine too.
        """
        servers = fresh_cluster.admin(0, 'GET', '/admin/status').json()[
            'backend_servers'
        ]
        name = servers[0]['server']
        instance = name.split('/')[0]
        answer = fresh_cluster.admin(1, 'POST', '/admin/drain', {'instance': instance})
        assert answer.status == 200

        def is_unlisted():
            status = fresh_cluster.admin(0, 'GET', '/admin/status').json()
            return name not in {one['server'] for one in status['backend_servers']}

        wait_until(is_unlisted)
