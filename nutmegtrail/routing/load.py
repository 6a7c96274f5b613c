"""Estimated load of upstreams, from delayed reports and local requests."""

from nutmegtrail.routing import const
from nutmegtrail.routing import models


def add_request(load: models.Load, upstream: str) -> models.Load:
    """Return the load after sending a request to an upstream."""
    return _change(load, upstream, 1)


def remove_request(load: models.Load, upstream: str) -> models.Load:
    """Return the load after a request to an upstream has ended."""
    return _change(load, upstream, -1)


def apply_report(
    load: models.Load,
    upstream: str,
    in_flight: int,
    now_seconds: float,
) -> models.Load:
    """Return the load after an upstream has reported its requests in flight."""
    local_count = load.local_in_flight_by_upstream.get(upstream, 0)
    report = models.Report(in_flight, now_seconds, local_count)
    reports = load.reports_by_upstream.set(upstream, report)
    return load._replace(reports_by_upstream=reports)


def estimate(load: models.Load, upstream: str, now_seconds: float) -> float:
    """Return the estimated number of requests in flight at an upstream.

    A report includes the requests of other entries. Requests that this
    entry has started or ended since the report are added or subtracted. A
    report that is too old is ignored.
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
    """Return the load with a changed count of local requests."""
    local_count = load.local_in_flight_by_upstream.get(upstream, 0) + change
    counts = load.local_in_flight_by_upstream.set(upstream, max(local_count, 0))
    return load._replace(local_in_flight_by_upstream=counts)
