"""Tests of the commands and of what their exit codes promise."""

import json

import pytest

from fireflyhitch_cli.commands import ExitCode
from fireflyhitch_cli.main import main
from fireflyhitch_cli.options import ADMIN_VARIABLE, TOKEN_VARIABLE
from fireflyhitch_model.clock import ManualClock
from fireflyhitch_telemetry.burn import BurnRecorder, BurnTarget


class TestCheck:
    """Settings files, without a daemon."""

    def test_right_settings_are_counted(self, run, settings):
        code, out, _ = run('check', settings)
        assert code == ExitCode.DONE
        assert out == 'no errors: 2 deployments, 5 customers\n'

    def test_every_error_is_one_line(self, run, tmp_path):
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
    """Putting a configuration in force."""

    def test_revision_seen_is_replaced(self, run, admin, settings):
        code, out, _ = run('apply', '--revision', 0, settings)
        assert (code, out) == (ExitCode.DONE, 'in force as revision 1\n')
        assert len(admin.configuration['customers']) == 5

    def test_lost_answer_is_settled_by_sending_again(self, run, admin, settings):
        """The write takes effect and its answer is lost.

        The client sends the same change again. The daemon now holds another
        revision than expected, with this very configuration: the conflict is
        with the client's own first attempt, and the operator sees success.
        """
        admin.lost_answers = 1
        code, out, _ = run('apply', '--revision', 0, settings)
        assert (code, out) == (ExitCode.DONE, 'in force as revision 1\n')
        changes = {body['change_id'] for _, _, body in admin.requests}
        assert (len(admin.requests), len(changes)) == (2, 1)

    def test_no_answer_at_all_is_said_to_be_unknown(self, run, admin, settings):
        admin.lost_answers = 99
        code, _, err = run('apply', '--revision', 0, settings)
        assert code == ExitCode.UNKNOWN
        assert 'it may have taken effect' in err

    def test_certain_refusal_is_not_sent_again(self, run, admin, settings):
        admin.unavailable = 'not-run'
        code, _, err = run('apply', '--revision', 0, settings)
        assert code == ExitCode.NOT_DONE
        assert 'store is down' in err
        assert len(admin.requests) == 1

    def test_dry_run_only_shows(self, run, admin, settings):
        code, out, _ = run('apply', '--dry-run', '--revision', 0, settings)
        assert code == ExitCode.DONE
        assert '+++ yours' in out
        assert admin.revision == 0


class TestReports:
    """What is only read."""

    def test_show_tells_revision_and_parts(self, run, admin, settings):
        run('apply', '--revision', 0, settings)
        code, out, _ = run('show')
        assert code == ExitCode.DONE
        assert out.startswith('revision: 1\n{\n  "deployments": [')
        _, out, _ = run('--json', 'show')
        assert json.loads(out)['revision'] == 1

    @pytest.mark.parametrize('command', ['status', 'moves'])
    def test_documents_become_tables(self, run, admin, command):
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

    def test_burn_is_a_table_and_a_page(self, run, admin, tmp_path):
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

    def test_burn_without_some_failure_domain_is_incomplete(self, run, admin):
        snapshot = BurnRecorder(ManualClock(), 'gent').snapshot()
        burn = snapshot.model_copy(update={'unreached': ('aalst',)})
        admin.documents['/admin/burn'] = burn.model_dump(mode='json')
        code, _, err = run('report', 'burn')
        assert code == ExitCode.INCOMPLETE
        assert err == 'could not be asked: aalst\n'


class TestDrain:
    """Letting an instance leave."""

    @pytest.mark.parametrize(
        ('target', 'instance'),
        [(('--daemon',), None), (('--instance', 'gent-3'), 'gent-3')],
    )
    def test_target_is_named(self, run, admin, target, instance):
        admin.documents['/admin/drain'] = {}
        assert run('drain', *target)[0] == ExitCode.DONE
        assert admin.requests[-1] == ('POST', '/admin/drain', {'instance': instance})


class TestConnection:
    """A daemon that cannot be asked."""

    def test_wrong_token_is_named_and_not_shown(self, run, admin, monkeypatch):
        monkeypatch.setenv(TOKEN_VARIABLE, 'guess')
        code, _, err = run('status')
        assert code == ExitCode.NOT_DONE
        assert err.startswith('the token is not accepted (at report with http')
        assert 'guess' not in err

    def test_token_comes_from_a_file(self, run, admin, monkeypatch, tmp_path):
        monkeypatch.delenv(TOKEN_VARIABLE)
        token_file = tmp_path / 'token'
        token_file.write_text('operator-token\n')
        assert run('--token-file', token_file, 'show')[0] == ExitCode.DONE

    def test_absent_daemon_has_changed_nothing(self, run, admin, settings):
        unused = 'http://127.0.0.1:1'
        command = ('--admin', unused, 'apply', '--revision', 0, settings)
        code, _, err = run(*command)
        assert code == ExitCode.NOT_DONE
        assert 'cannot connect' in err

    def test_certificate_needs_a_known_authority(self, run, authority):
        assert run('--authority', authority, 'show')[0] == ExitCode.DONE
        code, _, err = run('show')
        assert code == ExitCode.NOT_DONE
        assert 'certificate verify failed' in err

    def test_missing_address_is_a_usage_error(self, monkeypatch):
        monkeypatch.delenv(ADMIN_VARIABLE, raising=False)
        with pytest.raises(SystemExit) as caught:
            main(['status'])
        assert caught.value.code == ExitCode.USAGE
