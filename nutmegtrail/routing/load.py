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
    local_count = load.local_in_flight_by_upstream.get(upstream, 0)
    report = models.Report(in_flight, now_seconds, local_count)
    reports = load.reports_by_upstream.set(upstream, report)
    return load._replace(reports_by_upstream=reports)


def estimate(load: models.Load, upstream: str, now_seconds: float) -> float:
    """Return the requests at an upstream, as far as this entry can know.

    A report counts others' requests; what this entry has sent or ended
    since is added, and a report that is too old counts no more.
    """
    local_count = load.local_in_flight_by_upstream.get(upstream, 0)
    report = load.reports_by_upstream.get(upstream)
    if report is None:
        return float(local_count)
    age_seconds = now_seconds - report.received_at_seconds
    if age_seconds > const.REPORT_MAX_AGE_SECONDS:
        return float(local_count)
    since_report = local_count - report.local_in_flight
    return float(max(report.in_flight + since_report, local_count))


def _change(load: models.Load, upstream: str, change: int) -> models.Load:
    """Return the load with a changed count of own requests."""
    local_count = load.local_in_flight_by_upstream.get(upstream, 0) + change
    counts = load.local_in_flight_by_upstream.set(upstream, max(local_count, 0))
    return load._replace(local_in_flight_by_upstream=counts)
