"""Fakes for tests of the administration API."""

import dataclasses
import io
import json
from typing import Any

from trefoilwind import clock as clock_lib
from trefoilwind import environment as environment_lib
from trefoilwind import settings as settings_lib
from trefoilwind.admin import api
from trefoilwind.cmd import demo

TOKEN = "the-token"


class FakeActor:
    """Actor that records the messages it receives."""

    def __init__(self) -> None:
        self.received: list[Any] = []

    def tell(self, message: Any) -> None:
        """Record a message."""
        self.received.append(message)


@dataclasses.dataclass(frozen=True)
class Answer:
    """Response of the application."""

    status: int
    headers: dict[str, str]
    data: bytes

    @property
    def plain(self) -> Any:
        """JSON document in the body."""
        return json.loads(self.data)


class FakeNode:
    """Administration API with an environment, without threads or sockets."""

    def __init__(self, token: str = TOKEN):
        settings = settings_lib.NodeSettings(
            node_id="node-a",
            data_centre="perth-a",
            region="perth",
            log=settings_lib.LogSettings(url=""),
            admin_token=token,
        )
        self.clock = clock_lib.VirtualClock()
        self.environment = environment_lib.make(settings, self.clock, seed=1)
        self.publish_state = self.environment.blackboard.state.claim("test")
        self.control = FakeActor()
        self.log_actor = FakeActor()
        self._application = api.AdminApplication(
            self.environment, self.control, self.log_actor
        )

    def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        authorization: str = f"Bearer {TOKEN}",
        **environ: str,
    ) -> Answer:
        """Return the response to one request."""
        path, _, query = path.partition("?")
        answers = []
        chunks = self._application(
            {
                "REQUEST_METHOD": method,
                "PATH_INFO": path,
                "QUERY_STRING": query,
                "REMOTE_ADDR": "127.0.0.1",
                "CONTENT_LENGTH": str(len(body)),
                "HTTP_AUTHORIZATION": authorization,
                "wsgi.input": io.BytesIO(body),
                **environ,
            },
            lambda status, headers: answers.append((status, headers)),
        )
        ((status, headers),) = answers
        return Answer(int(status.split()[0]), dict(headers), b"".join(chunks))


def configuration() -> Any:
    """Return a valid configuration."""
    return demo.configuration()
