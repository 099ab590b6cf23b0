"""A complete node: builds its parts, then starts their threads."""

import contextlib
import dataclasses
import logging
import threading

from cheroot import server as cheroot_server
from cheroot import wsgi
import pykka

from trefoilwind import clock as clock_lib
from trefoilwind import environment as environment_lib
from trefoilwind import errors
from trefoilwind import events
from trefoilwind import settings as settings_lib
from trefoilwind.admin import api as api_lib
from trefoilwind.admin import observations
from trefoilwind.admin import requests
from trefoilwind.distribution import frames
from trefoilwind.distribution import transport as transport_lib
from trefoilwind.log import port
from trefoilwind.model import addresses
from trefoilwind.node import control as control_lib
from trefoilwind.node import control_actor
from trefoilwind.node import http_log
from trefoilwind.node import log_actor as log_actor_lib
from trefoilwind.node import messages
from trefoilwind.proxy import callers as callers_lib
from trefoilwind.proxy import calls
from trefoilwind.proxy import dispatcher as dispatcher_lib
from trefoilwind.proxy import http_server
from trefoilwind.proxy import remote as remote_lib
from trefoilwind.proxy import target as target_lib
from trefoilwind.rollout import controller as rollout_lib

logger = logging.getLogger(__name__)

TICK_S = 0.1
ADMIN_THREADS = 4
# Shorter than the announcement lease, so that slow clients of the
# administration API do not delay announcements until it expires.
ADMIN_READ_TIMEOUT_S = 1.0
SERVER_STOP_TIMEOUT_S = 1.0
LISTEN_BACKLOG = 128
# While this many connections are open, a connection is closed after its answer.
MAX_KEEP_ALIVE_CONNECTIONS = 1024
_DRAIN_CHECK_S = 0.05
_FLUSH_TIMEOUT_S = 1.0
_TARGET_FRAMES = (frames.CallOpen, frames.CallBody, frames.Cancel)


@dataclasses.dataclass(frozen=True)
class Addresses:
    """Addresses on which a node listens."""

    caller: addresses.Address
    peer: addresses.Address
    admin: addresses.Address


class Node:
    """One node of the mesh."""

    def __init__(
        self,
        settings: settings_lib.NodeSettings,
        log: port.LogPort,
        clock: clock_lib.Clock | None = None,
    ):
        self._environment = environment_lib.make(
            settings, clock or clock_lib.SystemClock()
        )
        self._log = log
        self._stopped = threading.Event()
        self._transport = transport_lib.Transport(self._environment)
        self._target = target_lib.Target(self._environment)
        self._remote = remote_lib.RemoteCaller(
            self._transport, settings.streams.credit_window_bytes
        )
        self._rollout = rollout_lib.RolloutController(self._environment)
        self._dispatcher = dispatcher_lib.Dispatcher(
            self._environment, self._target, self._remote, self._observe
        )
        self._callers = callers_lib.CallerApplication(
            self._environment, self._dispatcher
        )
        self._servers: list[cheroot_server.HTTPServer] = []

    @property
    def environment(self) -> environment_lib.Environment:
        """Environment of the node's parts."""
        return self._environment

    def start(self) -> Addresses | errors.Error:
        """Listen, start all threads and return the addresses."""
        peer_address = self._transport.listen()
        if isinstance(peer_address, errors.Error):
            return peer_address
        self._start_actors()
        self._connect_call_threads()
        servers = self._start_servers()
        if isinstance(servers, errors.Error):
            self.stop()
            return servers
        self._connect_transport()
        self._start_threads()
        self._environment.events.emit(events.NODE_STARTED)
        caller_address, admin_address = servers
        return Addresses(caller_address, peer_address, admin_address)

    @property
    def in_flight(self) -> int:
        """Number of calls of callers and peers in flight."""
        return self._callers.in_flight + self._target.in_flight

    def drain(self) -> None:
        """Accept no new calls; return once the calls in flight have ended.

        It returns at the stop deadline at the latest; `stop` then cancels the
        remaining calls.
        """
        clock = self._environment.clock
        timeout_s = self._environment.settings.proxy.stop_timeout_s
        deadline = clock.monotonic() + timeout_s
        self._control.ask(messages.Drain(deadline))
        self._target.send_go_away(self._transport.streams)
        # Wait before the first check, so that calls which were admitted just
        # before the drain are counted.
        while not self._stopped.wait(_DRAIN_CHECK_S):
            if self.in_flight == 0 or clock.monotonic() >= deadline:
                break
        flush_deadline = clock.monotonic() + _FLUSH_TIMEOUT_S
        self._transport.finish(min(deadline, flush_deadline))

    def stop(self) -> None:
        """Cancel the remaining calls and end all threads."""
        self._environment.events.emit(events.NODE_STOPPED)
        self._stopped.set()
        self._callers.stop()
        self._target.stop()
        stoppers = [
            threading.Thread(target=server.stop) for server in self._servers
        ]
        for stopper in stoppers:
            stopper.start()
        for stopper in stoppers:
            stopper.join()
        self._transport.stop()
        self._control.stop(block=False)
        self._log_actor.stop(block=False)

    def _observe(self, observation: calls.Observation) -> None:
        observations.count(self._environment, observation)
        self._rollout.observe(observation)

    def _start_actors(self) -> None:
        self._log_actor = log_actor_lib.LogActor.start(
            self._environment, self._log
        )
        control = control_lib.Control(
            self._environment,
            self._transport,
            self._target,
            self._rollout,
            self._log_actor.tell,
        )
        self._control = control_actor.ControlActor.start(control)

    def _start_servers(
        self,
    ) -> tuple[addresses.Address, addresses.Address] | errors.Error:
        settings = self._environment.settings
        admin_application = api_lib.AdminApplication(
            self._environment, self._control, self._log_actor
        )
        caller_address = self._serve(
            settings.caller_address,
            self._create_caller_server(settings.caller_address),
        )
        if isinstance(caller_address, errors.Error):
            return caller_address
        address = settings.admin_address
        admin_server = wsgi.Server(
            (address.host, address.port),
            admin_application,
            numthreads=ADMIN_THREADS,
            max=ADMIN_THREADS,
        )
        admin_server.max_request_body_size = requests.MAX_BODY_BYTES
        admin_server.timeout = ADMIN_READ_TIMEOUT_S
        admin_address = self._serve(address, admin_server)
        if isinstance(admin_address, errors.Error):
            return admin_address
        return caller_address, admin_address

    def _create_caller_server(
        self, address: addresses.Address
    ) -> cheroot_server.HTTPServer:
        threads = self._environment.settings.proxy.caller_threads
        self._callers.start()
        return http_server.CallerServer(address, self._callers.gateway, threads)

    def _serve(
        self, address: addresses.Address, server: cheroot_server.HTTPServer
    ) -> addresses.Address | errors.Error:
        server.error_log = http_log.write
        server.shutdown_timeout = SERVER_STOP_TIMEOUT_S
        server.request_queue_size = LISTEN_BACKLOG
        server.keep_alive_conn_limit = MAX_KEEP_ALIVE_CONNECTIONS
        server.max_request_header_size = (
            self._environment.settings.proxy.max_header_bytes
        )
        try:
            server.prepare()
        except OSError as error:
            return errors.Error(
                errors.Reason.ADDRESS_IN_USE,
                "node.listen",
                str(address),
                error.strerror or str(error),
            )
        self._servers.append(server)
        threading.Thread(
            target=server.serve, name=f"http-{address}", daemon=True
        ).start()
        return addresses.Address(address.host, server.bind_addr[1])

    def _connect_call_threads(self) -> None:
        def post(message) -> None:
            own_id = self._environment.node_id
            self._send_to_control(messages.PeerMessage(own_id, message))

        self._dispatcher.keys.post = post
        self._target.guard.post = post

    def _connect_transport(self) -> None:
        self._transport.on_message = lambda peer, message: (
            self._send_to_control(messages.PeerMessage(peer, message))
        )
        self._transport.on_connected = lambda peer: self._send_to_control(
            messages.PeerConnected(peer)
        )
        self._transport.on_lost = lambda peer: self._send_to_control(
            messages.PeerLost(peer)
        )
        self._transport.on_call_frame = self._handle_call_frame
        self._transport.on_stream_closed = self._handle_stream_closed
        self._transport.start()

    def _deliver_and_wait(self, message) -> None:
        with contextlib.suppress(pykka.ActorDeadError):
            self._control.ask(message)

    def _send_to_control(self, message) -> None:
        # Streams and timers may outlive the actor during a stop.
        with contextlib.suppress(pykka.ActorDeadError):
            self._control.tell(message)

    def _handle_call_frame(self, stream, frame) -> None:
        if isinstance(frame, _TARGET_FRAMES):
            self._target.handle_frame(stream, frame)
        elif isinstance(frame, frames.GoAway):
            self._remote.handle_go_away(stream)
        elif isinstance(frame, frames.Credit) and frame.of_answer:
            self._target.handle_frame(stream, frame)
        else:
            self._remote.handle_frame(stream, frame)

    def _handle_stream_closed(self, stream) -> None:
        self._remote.stream_closed(stream)
        self._target.stream_closed(stream)

    def _start_threads(self) -> None:
        for target in (self._tick, self._read_log):
            threading.Thread(
                target=target, name=target.__name__, daemon=True
            ).start()

    def _tick(self) -> None:
        while not self._stopped.wait(TICK_S):
            self._send_to_control(messages.Tick())

    def _read_log(self) -> None:
        reader = log_actor_lib.Reader(self._environment, self._log)
        while not self._stopped.is_set():
            if not reader.read_page(self._deliver_and_wait):
                self._stopped.wait(reader.idle_wait_s)
