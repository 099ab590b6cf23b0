"""Program that runs a node with the platform's settings."""

import asyncio
import functools
import logging
import signal

from trefoilwind import errors
from trefoilwind.gateway import http_server
from trefoilwind.gateway import metrics_page
from trefoilwind.gateway import node as node_lib
from trefoilwind.gateway import node_settings
from trefoilwind.gateway import placement_preview
from trefoilwind.gateway import streams
from trefoilwind.gateway import supervision
from trefoilwind.model import mesh
from trefoilwind.platform import documents
from trefoilwind.platform import endpoints
from trefoilwind.platform import headers
from trefoilwind.platform import settings as settings_lib
from trefoilwind.platform import store as store_lib
from trefoilwind.routing import shared_budget

logger = logging.getLogger(__name__)

# Seconds between heartbeats on an idle peer stream, and seconds of silence
# after which it is replaced; the defaults of the project's settings `streams`.
HEARTBEAT_INTERVAL_S = 1.0
SILENCE_TIMEOUT_S = 3.0
# Seconds between two checks of the settings file.
FILE_CHECK_INTERVAL_S = 1.0
_LISTEN_BACKLOG = 64
_BYTES_PER_MB = 1_000_000
# Limits of the addresses of the machine; a heartbeat has some hundred bytes.
_ENDPOINT_LIMITS = mesh.CallerLimits(max_body_bytes=1024 * 1024)


def mesh_settings(
    settings: settings_lib.PlatformSettings,
) -> node_settings.MeshSettings:
    """Return the settings of the node from those of the platform."""
    machine = settings.machine
    listen = settings.network.listen
    bounds = settings.terms.bounds
    return node_settings.MeshSettings(
        node_id=machine.node,
        data_centre=machine.zone,
        region=machine.region,
        service=machine.service,
        caller_address=settings_lib.address(listen.outbound),
        peer_address=settings_lib.address(listen.inbound),
        backend_address=settings_lib.address(machine.app_addr),
        operator_topic=store_lib.OPERATOR_TOPIC,
        status_topic=store_lib.STATUS_TOPIC,
        stream_times=streams.StreamTimes(
            HEARTBEAT_INTERVAL_S, SILENCE_TIMEOUT_S
        ),
        budget=shared_budget.BudgetTerms(
            bounds.budget_ratio,
            bounds.budget_window_s,
            bounds.budget_extra_retries,
        ),
        stop_timeout_s=bounds.grace_s,
        heartbeat_interval_s=settings.platform.heartbeat_interval_s,
        customers=node_settings.CustomerTerms(
            bounds.strict_revoke,
            bounds.revoke_s,
            bounds.quota_window_s,
            bounds.quota_overage,
            bounds.quota_slack,
        ),
        cold=node_settings.ColdTerms(bounds.cold_overage, bounds.cold_slack),
        evacuation_s=bounds.evacuation_s,
        data_centres=settings.network.zones,
        process=node_settings.ProcessLimits(
            int(machine.limits.memory_mb * _BYTES_PER_MB),
            machine.limits.max_fds,
        ),
    )


async def run(
    settings: settings_lib.PlatformSettings, metrics_port: int = 0
) -> errors.Error | None:
    """Run a node until SIGTERM.

    Args:
        settings: Settings of the platform.
        metrics_port: Port of the metrics; 0 for none.

    Returns:
        The error that prevented the start, or None after a stop.
    """
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    if signal.SIGTERM in signal.sigpending():
        logger.info("node: received SIGTERM before the start")
        return None
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGTERM})
    address = settings_lib.address(settings.platform.platform.address)
    node = node_lib.MeshNode(
        mesh_settings(settings),
        store_lib.PlatformStore(address),
        headers.port(),
        node_lib.OperatorPort(
            functools.partial(
                documents.decode_operator_record,
                routes=documents.RouteCache(),
            ),
            documents.encode_rollout_status,
            documents.is_removable,
        ),
    )
    problem = await node.start() or await _serve_platform(node, settings)
    if problem is not None:
        return problem
    if metrics_port:
        host = settings_lib.address(settings.network.listen.outbound).host
        await _serve_metrics(node, host, metrics_port)
    loop.add_signal_handler(signal.SIGHUP, lambda: _reload(node))
    watcher = loop.create_task(supervision.supervise(lambda: _watch_file(node)))
    await stopped.wait()
    watcher.cancel()
    logger.info("node: received SIGTERM; stopping")
    await node.stop()
    # At its end the event loop would restore the default actions, which end
    # the process.
    for number in (signal.SIGTERM, signal.SIGHUP):
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
    return None


def _reload(node: node_lib.MeshNode) -> None:
    """Reload the settings; an invalid file changes nothing."""
    settings = settings_lib.load_from_environment()
    if isinstance(settings, errors.Error):
        logger.warning("node: settings not reloaded; %s", settings)
        return
    node.update(mesh_settings(settings))


async def _watch_file(node: node_lib.MeshNode) -> None:
    """Reload when the file changes, as SIGHUP may not be sent for it."""
    last_signature = settings_lib.file_signature()
    while True:
        await asyncio.sleep(FILE_CHECK_INTERVAL_S)
        signature = settings_lib.file_signature()
        if signature != last_signature:
            last_signature = signature
            _reload(node)


async def _serve_metrics(node: node_lib.MeshNode, host: str, port: int) -> None:
    """Serve the metrics; if that fails, the node still serves callers."""
    page = metrics_page.MetricsPage(
        node.counts,
        lambda: node.gauges,
        {placement_preview.PATH: node.preview.serve},
    )
    server = http_server.HttpServer(
        page.serve, lambda: _ENDPOINT_LIMITS, node.account
    )
    try:
        await server.listen(host, port, _LISTEN_BACKLOG)
    except OSError as error:
        logger.warning("node: no metrics at port %d; %s", port, error)


async def _serve_platform(
    node: node_lib.MeshNode, settings: settings_lib.PlatformSettings
) -> errors.Error | None:
    machine = settings.machine
    listen = settings.network.listen
    heartbeats = endpoints.Heartbeats(
        node, settings_lib.address(machine.app_addr), machine.service
    )
    readiness = endpoints.Readiness(lambda: node.is_ready)
    handlers = {
        listen.ready: readiness.serve,
        listen.control: heartbeats.serve,
    }
    for text, handler in handlers.items():
        address = settings_lib.address(text)
        server = http_server.HttpServer(
            handler, lambda: _ENDPOINT_LIMITS, node.account
        )
        try:
            await server.listen(address.host, address.port, _LISTEN_BACKLOG)
        except OSError as error:
            return errors.Error(
                errors.Reason.ADDRESS_IN_USE,
                "node.listen",
                text,
                error.strerror or str(error),
            )
    return None
