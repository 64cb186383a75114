"""Steps for the routes and the rate of reports between entry instances."""

from behave import then, when
from hypothesis import given as generate
from hypothesis import strategies

from features.steps.decision_steps import _PROPERTY_SETTINGS
from fireflymux.decisions.report_routes import (
    KnownInstance,
    choose_receivers,
    choose_relay_targets,
    choose_report_interval,
)


@when('instances of any failure domains send reports')
def send_reports(context):
    @_PROPERTY_SETTINGS
    @generate(strategies.lists(strategies.sampled_from('abcd'), min_size=1, max_size=20))
    def run(domains):
        fleet = [
            KnownInstance('10.{0}.0.{1}'.format(ord(domain), number), domain)
            for number, domain in enumerate(domains)
        ]
        for sender in fleet:
            others = [instance for instance in fleet if instance is not sender]
            domain_of = {instance.host: instance.failure_domain for instance in others}
            receivers = choose_receivers(
                others, host=sender.host, failure_domain=sender.failure_domain
            )
            receivers_reached = list(receivers)
            for host in receivers:
                known = [instance for instance in fleet if instance.host != host]
                receivers_reached.extend(
                    choose_relay_targets(known, origin=sender, failure_domain=domain_of[host])
                )
            assert sorted(receivers_reached) == sorted(domain_of)
            in_other_domains = [
                host for host in receivers if domain_of[host] != sender.failure_domain
            ]
            assert len(in_other_domains) == len(set(domains) - {sender.failure_domain})

    run()


@when('fleets of {least:d} to {most:d} instances report to each other')
def compute_report_rates(context, least, most):
    context.rates = {
        count: (count - 1) / choose_report_interval(count - 1) for count in range(least, most + 1)
    }
    context.small_interval = choose_report_interval(least - 1)


@then(
    'each instance receives at most {most:d} reports a second, and small fleets report every 20 ms'
)
def check_report_rates(context, most):
    assert max(context.rates.values()) <= most + 0.001, max(context.rates.values())
    assert context.small_interval == 0.02, context.small_interval
