"""Tests of the commands and their exit codes."""

import json

import pytest

from fireflyhitch_cli.commands import ExitCode
from fireflyhitch_cli.main import main
from fireflyhitch_cli.options import ADMIN_VARIABLE, TOKEN_VARIABLE
from fireflyhitch_model.clock import ManualClock
from fireflyhitch_telemetry.burn import BurnRecorder, BurnTarget


class TestCheck:
    """Checking settings files without a daemon."""

    def test_valid_settings_are_counted(self, run, settings):
        code, out, _ = run('check', settings)
        assert code == ExitCode.DONE
        assert out == 'no errors: 2 deployments, 5 customers\n'

    def test_each_error_is_one_line(self, run, tmp_path):
        wrong = tmp_path / 'wrong.json'
        wrong.write_text('{"customers": [{}], "shops": []}')
        code, out, err = run('check', wrong)
        assert code == ExitCode.WRONG_SETTINGS
        assert not out
        lines = err.splitlines()
        assert lines[0] == f'{wrong}:1:16: customers[0].api_key_sha256: field required'
        assert lines[2] == f'{wrong}:1:21: shops: unknown key'
        assert lines[3] == '3 errors in settings'
        _, out, _ = run('--json', 'check', wrong)
        assert len(json.loads(out)['errors']) == 3


class TestApply:
    """Applying a configuration."""

    def test_expected_revision_is_replaced(self, run, admin, settings):
        code, out, _ = run('apply', '--revision', 0, settings)
        assert (code, out) == (ExitCode.DONE, 'in force as revision 1\n')
        assert len(admin.configuration['customers']) == 5

    def test_lost_response_is_resolved_by_a_retry(self, run, admin, settings):
        """The write takes effect but its response is lost.

        The client resends the change and gets a conflict whose current
        configuration equals its own. The conflict is with its first attempt, so
        the operator sees success.
        """
        admin.lost_answers = 1
        code, out, _ = run('apply', '--revision', 0, settings)
        assert (code, out) == (ExitCode.DONE, 'in force as revision 1\n')
        changes = {body['change_id'] for _, _, body in admin.requests}
        assert (len(admin.requests), len(changes)) == (2, 1)

    def test_no_response_is_reported_as_unknown(self, run, admin, settings):
        admin.lost_answers = 99
        code, _, err = run('apply', '--revision', 0, settings)
        assert code == ExitCode.UNKNOWN
        assert 'it may have taken effect' in err

    def test_certain_refusal_is_not_retried(self, run, admin, settings):
        admin.unavailable = 'not-run'
        code, _, err = run('apply', '--revision', 0, settings)
        assert code == ExitCode.NOT_DONE
        assert 'store is down' in err
        assert len(admin.requests) == 1

    def test_dry_run_changes_nothing(self, run, admin, settings):
        code, out, _ = run('apply', '--dry-run', '--revision', 0, settings)
        assert code == ExitCode.DONE
        assert '+++ yours' in out
        assert admin.revision == 0


class TestReports:
    """Read-only commands."""

    def test_show_prints_revision_and_configuration(self, run, admin, settings):
        run('apply', '--revision', 0, settings)
        code, out, _ = run('show')
        assert code == ExitCode.DONE
        assert out.startswith('revision: 1\n{\n  "deployments": [')
        _, out, _ = run('--json', 'show')
        assert json.loads(out)['revision'] == 1

    @pytest.mark.parametrize('command', ['status', 'moves'])
    def test_documents_are_printed_as_tables(self, run, admin, command):
        rows = [{'name': 'a', 'share': 0.25}, {'name': 'bc', 'late': True}]
        admin.documents[f'/admin/{command}'] = {'ready': True, 'rows': rows}
        code, out, _ = run(command)
        assert code == ExitCode.DONE
        assert out.splitlines() == [
            'ready: yes',
            'rows:',
            '  name  share  late',
            '  a     0.25   -',
            '  bc    -      yes',
        ]

    def test_burn_report_as_table_and_html_page(self, run, admin, tmp_path):
        recorder = BurnRecorder(ManualClock(), 'gent')
        recorder.set_targets({'summaries': BurnTarget(first_token_seconds=1)})
        recorder.record('bakery', 'summaries', 'chat', 'v1', ok=True, first_token=0.1)
        admin.documents['/admin/burn'] = recorder.snapshot().model_dump(mode='json')
        page = tmp_path / 'burn.html'
        code, out, _ = run('report', 'burn', '--html', page)
        assert code == ExitCode.DONE
        assert 'bakery' in out
        assert 'bakery' in page.read_text()
        _, out, _ = run('--json', 'report', 'burn')
        assert json.loads(out)['rows'][0]['customer'] == 'bakery'

    def test_burn_report_lacking_a_failure_domain_is_incomplete(self, run, admin):
        snapshot = BurnRecorder(ManualClock(), 'gent').snapshot()
        burn = snapshot.model_copy(update={'unreached': ('aalst',)})
        admin.documents['/admin/burn'] = burn.model_dump(mode='json')
        code, _, err = run('report', 'burn')
        assert code == ExitCode.INCOMPLETE
        assert err == 'could not be asked: aalst\n'


class TestDrain:
    """Draining an instance or a daemon."""

    @pytest.mark.parametrize(
        ('target', 'instance'),
        [(('--daemon',), None), (('--instance', 'gent-3'), 'gent-3')],
    )
    def test_target_is_sent(self, run, admin, target, instance):
        admin.documents['/admin/drain'] = {}
        assert run('drain', *target)[0] == ExitCode.DONE
        assert admin.requests[-1] == ('POST', '/admin/drain', {'instance': instance})


class TestConnection:
    """Authentication and connection errors."""

    def test_wrong_token_is_reported_without_showing_it(self, run, admin, monkeypatch):
        monkeypatch.setenv(TOKEN_VARIABLE, 'guess')
        code, _, err = run('status')
        assert code == ExitCode.NOT_DONE
        assert err.startswith('the token is not accepted (at report with http')
        assert 'guess' not in err

    def test_token_is_read_from_a_file(self, run, admin, monkeypatch, tmp_path):
        monkeypatch.delenv(TOKEN_VARIABLE)
        token_file = tmp_path / 'token'
        token_file.write_text('operator-token\n')
        assert run('--token-file', token_file, 'show')[0] == ExitCode.DONE

    def test_unreachable_daemon_is_not_run(self, run, admin, settings):
        unused = 'http://127.0.0.1:1'
        command = ('--admin', unused, 'apply', '--revision', 0, settings)
        code, _, err = run(*command)
        assert code == ExitCode.NOT_DONE
        assert 'cannot connect' in err

    def test_certificate_requires_a_trusted_authority(self, run, authority):
        assert run('--authority', authority, 'show')[0] == ExitCode.DONE
        code, _, err = run('show')
        assert code == ExitCode.NOT_DONE
        assert 'certificate verify failed' in err

    def test_missing_address_is_a_usage_error(self, monkeypatch):
        monkeypatch.delenv(ADMIN_VARIABLE, raising=False)
        with pytest.raises(SystemExit) as caught:
            main(['status'])
        assert caught.value.code == ExitCode.USAGE
