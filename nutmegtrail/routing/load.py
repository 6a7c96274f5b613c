"""Estimated load of the upstreams: lagging reports plus own requests."""

from nutmegtrail.routing import const
from nutmegtrail.routing import models


def add_request(load: models.Load, upstream: str) -> models.Load:
    """Return the load after sending a request."""
    return _change(load, upstream, 1)


def remove_request(load: models.Load, upstream: str) -> models.Load:
    """Return the load after the end of a request."""
    return _change(load, upstream, -1)


def apply_report(
    load: models.Load,
    upstream: str,
    in_flight: int,
    now_seconds: float,
) -> models.Load:
    """Return the load after an upstream's report."""
    own = load.own_in_flight_by_upstream.get(upstream, 0)
    report = models.Report(in_flight, now_seconds, own)
    reports = load.reports_by_upstream.set(upstream, report)
    return load._replace(reports_by_upstream=reports)


def estimate(load: models.Load, upstream: str, now_seconds: float) -> float:
    """Return the requests at an upstream, as far as this entry can know.

    A report counts others' requests; what this entry has sent or ended
    since is added, and a report that is too old counts no more.
    """
    own = load.own_in_flight_by_upstream.get(upstream, 0)
    report = load.reports_by_upstream.get(upstream)
    if report is None:
        return float(own)
    age_seconds = now_seconds - report.received_at_seconds
    if age_seconds > const.REPORT_LAG_SECONDS:
        return float(own)
    since_report = own - report.own_in_flight
    return float(max(report.in_flight + since_report, own))


def _change(load: models.Load, upstream: str, change: int) -> models.Load:
    """Return the load with a changed count of own requests."""
    own = load.own_in_flight_by_upstream.get(upstream, 0) + change
    counts = load.own_in_flight_by_upstream.set(upstream, max(own, 0))
    return load._replace(own_in_flight_by_upstream=counts)
