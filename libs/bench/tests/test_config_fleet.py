"""Randomised runs of the configuration keepers."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fireflyhitch_bench.config_fleet import DOMAINS, Fleet, is_accepted
from fireflyhitch_membership.configuration import Accepted
from fireflyhitch_model.ids import ABSENT
from fireflyhitch_model.invariants import count_violations
from fireflyhitch_standins.faults import Fault

seats = st.integers(0, 5)


class ConfigurationMachine(RuleBasedStateMachine):
    """Operators, faults and restarts in any order on six daemons."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet()
        assert is_accepted(self.fleet.propose(0, 'base', ABSENT))
        self.fleet.run_round()
        self.accepted = {}
        self.number = 0
        self.violations = count_violations()

    @rule(seat=seats, behind=st.integers(0, 1))
    def propose(self, seat, behind):
        self.number += 1
        expected = self.fleet.seats[seat].revision() - behind
        name = f'change-{self.number}'
        result = self.fleet.propose(seat, name, expected)
        if isinstance(result, Accepted):
            assert result.revision not in self.accepted
            self.accepted[result.revision] = name

    @rule(
        operation=st.sampled_from(('get', 'get_prefix', 'put_if', 'watch')),
        fault=st.sampled_from(Fault),
    )
    def fail_next_calls(self, operation, fault):
        self.fleet.store.faults.queue(operation, fault, fault)

    @rule()
    def run_round(self):
        self.fleet.run_round()

    @rule(seat=seats)
    def restart(self, seat):
        self.fleet.restart(seat)

    @rule(one=seats, other=seats)
    def cut_link(self, one, other):
        ids = [seat.daemon.daemon_id for seat in self.fleet.seats]
        self.fleet.peers.disconnect(ids[one], ids[other])

    @rule(domain=st.sampled_from(DOMAINS), cut=st.booleans())
    def cut_store(self, domain, cut):
        for seat in self.fleet.of_domain(domain):
            seat.gate.cut = cut

    @rule()
    def compact(self):
        self.fleet.store.compact()

    @rule()
    def heal_links(self):
        self.fleet.peers.cut.clear()

    @invariant()
    def nothing_goes_back(self):
        for seat in self.fleet.seats:
            assert seat.applied == sorted(set(seat.applied))
        assert count_violations() == self.violations

    @invariant()
    def what_was_accepted_is_what_is_in_force(self):
        for seat in self.fleet.seats:
            in_force = seat.keeper.in_force()
            if in_force and in_force.revision in self.accepted:
                assert in_force.change_id == self.accepted[in_force.revision]

    def teardown(self):
        self.heal_links()
        self.fleet.store.faults.clear_all()
        for domain in DOMAINS:
            self.cut_store(domain, cut=False)
        for _ in range(5):
            self.fleet.run_round()
        assert self.fleet.agree()


ConfigurationMachine.TestCase.settings = settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    suppress_health_check=(HealthCheck.too_slow,),
)
TestConfigurationFleet = ConfigurationMachine.TestCase
