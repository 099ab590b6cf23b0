"""A node started from the platform's settings."""

import asyncio
import logging
import signal

from trefoilwind import errors
from trefoilwind.gateway import http_server
from trefoilwind.gateway import metrics_page
from trefoilwind.gateway import node as node_lib
from trefoilwind.gateway import node_settings
from trefoilwind.gateway import streams
from trefoilwind.model import mesh
from trefoilwind.platform import documents
from trefoilwind.platform import endpoints
from trefoilwind.platform import headers
from trefoilwind.platform import settings as settings_lib
from trefoilwind.platform import store as store_lib
from trefoilwind.routing import shared_budget

logger = logging.getLogger(__name__)

# Seconds between heartbeats on an idle peer stream, and of silence after
# which it is replaced: settings `streams` of the project.
HEARTBEAT_INTERVAL_S = 1.0
SILENCE_TIMEOUT_S = 3.0
# Seconds between two looks at the settings file.
FILE_CHECK_S = 1.0
_BACKLOG = 64


def mesh_settings(
    settings: settings_lib.PlatformSettings,
) -> node_settings.MeshSettings:
    """Return what a node is started with."""
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
    )


async def run(
    settings: settings_lib.PlatformSettings, metrics_port: int = 0
) -> errors.Error | None:
    """Run a node until SIGTERM; return why it could not start, or None.

    Args:
        settings: What the platform says.
        metrics_port: Port of the metrics; 0 for none.
    """
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    address = settings_lib.address(settings.platform.platform.address)
    node = node_lib.MeshNode(
        mesh_settings(settings),
        store_lib.PlatformStore(address),
        headers.port(),
        node_lib.OperatorPort(
            documents.decode_operator_record, documents.encode_rollout_status
        ),
    )
    problem = await node.start() or await _serve_platform(node, settings)
    if problem is not None:
        return problem
    if metrics_port:
        host = settings_lib.address(settings.network.listen.outbound).host
        await _serve_metrics(node, host, metrics_port)
    loop.add_signal_handler(signal.SIGHUP, lambda: _reload(node))
    watch = loop.create_task(_watch_file(node))
    await stopped.wait()
    watch.cancel()
    logger.info("node: asked to stop")
    await node.stop()
    return None


def _reload(node: node_lib.MeshNode) -> None:
    """Read the settings again; a bad file changes nothing."""
    settings = settings_lib.load_from_environment()
    if isinstance(settings, errors.Error):
        logger.warning("node: settings kept as they are; %s", settings)
        return
    node.update(mesh_settings(settings))


async def _watch_file(node: node_lib.MeshNode) -> None:
    """Reload when the file changes, as no signal may tell of it."""
    seen = settings_lib.file_stamp()
    while True:
        await asyncio.sleep(FILE_CHECK_S)
        stamp = settings_lib.file_stamp()
        if stamp != seen:
            seen = stamp
            _reload(node)


async def _serve_metrics(node: node_lib.MeshNode, host: str, port: int) -> None:
    """Serve the metrics; a node without them still serves callers."""
    page = metrics_page.MetricsPage(node.counts, lambda: node.gauges)
    server = http_server.HttpServer(page.serve, mesh.CallerLimits)
    try:
        await server.listen(host, port, _BACKLOG)
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
    served = {
        listen.ready: readiness.serve,
        listen.control: heartbeats.serve,
    }
    for text, handler in served.items():
        address = settings_lib.address(text)
        server = http_server.HttpServer(handler, mesh.CallerLimits)
        try:
            await server.listen(address.host, address.port, _BACKLOG)
        except OSError as error:
            return errors.Error(
                errors.Reason.ADDRESS_IN_USE,
                "node.listen",
                text,
                error.strerror or str(error),
            )
    return None
