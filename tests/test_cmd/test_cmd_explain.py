"""Tests of asking a node where a request would go."""

import http.server
import json
import sys
import threading

import pytest

from trefoilwind.cmd import explain

_DOCUMENT = {
    "configuration": 3,
    "evacuated": ["e"],
    "refusal": {
        "reason": "no-route",
        "status": 404,
    },
}


class _Handler(http.server.BaseHTTPRequestHandler):
    def do_GET(self) -> None:  # noqa: N802
        is_known = "path=%2Fa%3Fb%3D1&" in self.path
        document = _DOCUMENT if is_known else {"error": "malformed query"}
        body = json.dumps(document).encode()
        self.send_response(200 if is_known else 400)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_) -> None:
        """Write no log."""


@pytest.mark.parametrize(
    ("arguments", "code", "expected"),
    [
        (["/a?b=1"], 0, "evacuated: e\nrefused with 404: no-route\n"),
        (["/a?b=1", "--json"], 0, json.dumps(_DOCUMENT)),
        (["b"], 1, "malformed query"),
    ],
)
def test_answer_of_the_node_is_not_printed(
    arguments, code, expected, monkeypatch, capsys
):
    server = http.server.HTTPServer(("127.0.0.1", 0), _Handler)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    url = f"http://127.0.0.1:{server.server_port}"
    try:
        argv = ["trefoilwind-explain", "where", url, "a.example", *arguments]
        monkeypatch.setattr(sys, "argv", argv)
        with pytest.raises(SystemExit) as ended:
            explain.main()
            raise SystemExit(0)
    finally:
        server.shutdown()
        thread.join()
        server.server_close()
    captured = capsys.readouterr()
    assert ended.value.code == code
    assert expected in captured.out + captured.err
