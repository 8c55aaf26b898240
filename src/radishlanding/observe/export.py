"""Export of counters through OpenTelemetry."""


def start_export(*, counters, endpoint, program, process_id):
    """Export the counters every 10 s if an endpoint is set.

    The SDK is imported only then, because it takes several megabytes of
    memory.

    :param counters: The :class:`Counters` of the process.
    :param endpoint: OTLP/HTTP URL, or an empty string for no export.
    :param program: Name of the program.
    :param process_id: Identity of this process in the site.
    :returns: The meter provider, or None without an endpoint.
    """
    if not endpoint:
        return None
    from opentelemetry.exporter.otlp.proto.http import metric_exporter
    from opentelemetry.metrics import Observation
    from opentelemetry.sdk.metrics import export
    from opentelemetry.sdk.metrics import MeterProvider
    from opentelemetry.sdk.resources import Resource

    reader = export.PeriodicExportingMetricReader(
        metric_exporter.OTLPMetricExporter(endpoint=endpoint),
        export_interval_millis=10_000,
    )
    resource = Resource.create(
        {"service.name": program, "service.instance.id": process_id}
    )
    provider = MeterProvider(metric_readers=[reader], resource=resource)

    def observe(_options):
        counts = counters.snapshot()
        return [Observation(val, {"name": key}) for key, val in counts.items()]

    provider.get_meter("radishlanding").create_observable_counter(
        "radishlanding.events", callbacks=[observe]
    )
    return provider
