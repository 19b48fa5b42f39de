"""Tests of loading settings, especially of error reporting."""

from pathlib import Path

import pytest

from fireflyhitch_model.clock import ManualClock
from fireflyhitch_settings.errors import SettingsErrors
from fireflyhitch_settings.loader import load_configuration, load_daemon_settings

EXAMPLES = Path(__file__).parents[3] / 'examples'
KEY = 'a' * 64

TEMPLATES = """{
  "templates": {
    "pool": {
      "parameters": {
        "name": {"type": "string"},
        "domains": {"type": "strings", "default": ["gent", "brugge"]},
        "size": {"type": "integer", "default": 3},
      },
      "deployment": {
        "kind": "model",
        "name": "pool-${name}",
        "failure_domains": "${domains}",
        "version": "v1",
        "capacity": {"min_servers": "${size}"},
      },
    },
  },
}
"""


@pytest.fixture
def load(tmp_path):
    def load_texts(*texts):
        paths = []
        for index, text in enumerate(texts):
            paths.append(tmp_path / f'{index}.json')
            paths[-1].write_text(text)
        return load_configuration(paths, ManualClock())

    return load_texts


@pytest.fixture
def complain(load, tmp_path):
    def list_errors(*texts):
        caught = pytest.raises(SettingsErrors, load, *texts)
        errors = caught.value.exceptions
        return [str(error).replace(f'{tmp_path}/', '') for error in errors]

    return list_errors


class TestExamples:
    """The example settings of this repository."""

    @pytest.mark.parametrize('firm', ['brandveilig', 'zapestnice'])
    def test_example_deployments_are_valid(self, firm):
        configuration = load_configuration([EXAMPLES / firm], ManualClock())
        model, service = configuration.deployments
        assert (model.kind, service.kind) == ('model', 'service')
        assert len(model.failure_domains) == 4
        assert len(model.prices) == 8
        assert len(configuration.customers) == 5

    def test_daemon_settings_are_valid(self):
        settings = load_daemon_settings(EXAMPLES / 'daemon.json')
        assert settings.failure_domain == 'gent'


class TestTemplates:
    """Template parameters and their values."""

    def test_values_replace_placeholders(self, load):
        used = '{deployments: [{template: "pool", parameters: {name: "a", size: 5}}]}'
        deployment = load(TEMPLATES, used).deployments[0]
        assert deployment.name == 'pool-a'
        assert deployment.failure_domains == ('gent', 'brugge')
        assert deployment.capacity.min_servers == 5

    def test_every_invalid_value_is_reported(self, complain):
        used = """{deployments: [
  {template: "pool", parameters: {size: "five", colour: 1}},
  {template: "pond"},
]}"""
        assert complain(TEMPLATES, used) == [
            '1.json:2:34: deployments[0].parameters.name: '
            'missing: template pool needs this parameter',
            '1.json:2:41: deployments[0].parameters.size: '
            'input should be a valid integer',
            '1.json:2:49: deployments[0].parameters.colour: '
            'unknown: template pool has no such parameter',
            "1.json:3:14: deployments[1].template: there is no template 'pond'",
        ]

    def test_undeclared_placeholder_is_reported_for_the_template(self, complain):
        broken = TEMPLATES.replace('${size}', '${sise}')
        errors = complain(broken)
        assert len(errors) == 1
        assert errors[0].startswith(
            '0.json:14:37: templates.pool: the template declares'
        )

    def test_invalid_value_is_reported_in_its_own_file(self, complain):
        used = """{deployments: [{template: "pool",
  parameters: {name: "a", size: -1}}]}"""
        assert complain(TEMPLATES, used) == [
            '1.json:2:33: deployments[0].capacity.min_servers: '
            'input should be greater than or equal to 0',
        ]


class TestErrors:
    """Error reports with source positions."""

    def test_syntax_error_does_not_hide_errors_in_other_files(self, complain):
        errors = complain('{"deployments": [1 2]}', '{"customers": [\n {}]}')
        assert [error.split(': ')[0] for error in errors] == [
            '0.json:1:20',
            '1.json:2:2',
            '1.json:2:2',
        ]

    def test_truncated_file_is_reported_at_its_end(self, complain):
        errors = complain('{"customers": [],\n "templates": {')
        assert len(errors) == 1
        assert errors[0].startswith('0.json:2:16: not JSON')

    def test_duplicate_key_is_an_error(self, complain):
        errors = complain('{"customers": [],\n "customers": []}')
        assert len(errors) == 1
        assert (
            errors[0] == '0.json:2:2: customers: the key stands twice, first at line 1'
        )

    def test_entries_are_checked_against_each_other(self, complain):
        """Each value is valid by itself but inconsistent with the others."""
        text = f"""{{
  deployments: [
    {{kind: "model", name: "m", failure_domains: ["gent"], version: "v1",
     prices: [{{failure_domain: "genk", machine_class: "on-demand", price: 1}}],
     move: {{to_version: "v1", move_by: "2025-01-01T00:00:00Z"}}}},
    {{kind: "service", name: "m", failure_domains: ["gent", "gent"], version: "v1",
     non_repeatable_methods: ["post"], customers: ["b"],
     capacity: {{min_servers: 9, max_servers: 8}}}},
  ],
  customers: [
    {{customer_id: "a", api_key_sha256: "{KEY}"}},
    {{customer_id: "a", api_key_sha256: "{KEY}"}},
  ],
}}"""
        keys = [error.split(': ')[1] for error in complain(text)]
        assert keys == [
            'deployments[0].prices[0].failure_domain',
            'deployments[0].move.to_version',
            'deployments[0].move.move_by',
            'deployments[1].name',
            'deployments[1].failure_domains[1]',
            'deployments[1].non_repeatable_methods[0]',
            'deployments[1].customers[0]',
            'deployments[1].capacity.min_servers',
            'customers[1].customer_id',
            'customers[1].api_key_sha256',
        ]

    def test_move_date_needs_a_time_zone(self, complain):
        text = """{deployments: [{kind: "service", name: "s",
  failure_domains: ["gent"], version: "v1",
  move: {to_version: "v2", move_by: "2030-01-01T00:00:00"}}]}"""
        errors = complain(text)
        assert len(errors) == 1
        assert errors[0].startswith('0.json:3:37: deployments[0].move.move_by: ')

    def test_missing_file_and_empty_directory_are_reported(self, tmp_path):
        with pytest.raises(SettingsErrors) as caught:
            load_configuration([tmp_path / 'none.json', tmp_path])
        assert len(caught.value.exceptions) == 2

    def test_unknown_daemon_key_is_reported(self, tmp_path):
        path = tmp_path / 'daemon.json'
        text = (EXAMPLES / 'daemon.json').read_text()
        path.write_text(text.replace('"seeds"', '"seed"'))
        caught = pytest.raises(SettingsErrors, load_daemon_settings, path)
        error = caught.value.exceptions[0]
        assert error.key == 'seed'
        assert error.position.line == 13

    def test_every_daemon_setting_is_checked(self, tmp_path):
        path = tmp_path / 'daemon.json'
        text = (EXAMPLES / 'daemon.json').read_text()
        for right, wrong in (
            ('http://127.0.0.1:2379', '127.0.0.1:2379'),
            ('replace-this-by-32-random-bytes-of-hex', 'short'),
            ('127.0.0.1:8092', '127.0.0.1'),
            ('8081', '81081'),
        ):
            text = text.replace(right, wrong)
        path.write_text(text)
        caught = pytest.raises(SettingsErrors, load_daemon_settings, path)
        keys = [error.key for error in caught.value.exceptions]
        assert keys == ['admin.port', 'peer_key', 'seeds[0]', 'platform.key_value']
        assert 'short' not in str(caught.value.exceptions[1])

    def test_secrets_are_hidden_in_repr(self):
        settings = load_daemon_settings(EXAMPLES / 'daemon.json')
        assert settings.peer_key not in repr(settings)
        assert settings.admin_token_sha256 not in repr(settings)
