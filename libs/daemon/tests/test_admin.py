"""Tests of the HTTP API for operators."""

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
    """Concurrent and invalid proposals of operators."""

    def test_second_of_two_proposals_gets_a_conflict(self, cluster):
        """Two operators propose a configuration with the same expected revision.

        The first is accepted and in force at both daemons; the second gets a
        conflict with the configuration in force, and changes nothing.
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

    def test_inconsistent_configuration_is_rejected(self, cluster):
        good = make_configuration()
        twice = good.model_copy(update={'deployments': good.deployments * 2})
        answer = propose(cluster, 0, twice, read_revision(cluster, 0), 'twice')
        assert answer.status == 400
        assert 'deployments' in answer.json()['error']['message']

    def test_move_with_a_past_date_is_rejected(self, cluster):
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
    """Status, burn and drain."""

    def test_status_lists_failure_domains(self, cluster):
        status = cluster.admin(0, 'GET', '/admin/status').json()
        domains = {one['failure_domain'] for one in status['failure_domains']}
        assert domains == set(DOMAINS)
        assert status['invariant_violations'] == 0

    def test_wrong_token_is_rejected(self, cluster):
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

    def test_drained_server_is_unlisted_at_all_daemons(self, fresh_cluster):
        """The operator drains one engine at one daemon.

        The leaving mark is broadcast; the other daemon stops using the engine too.
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
