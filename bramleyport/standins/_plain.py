"""Stand-in for a plain service whose POST requests may not be repeated."""

from klein import Klein
from twisted.web.server import Request

from bramleyport.standins._http import read_body, reply_json


class PlainStandin:
    """Represent a ledger that records postings and reports their number."""

    def __init__(self) -> None:
        self.postings: list[str] = []
        self.app = Klein()
        self.app.route("/postings", methods=["POST"])(self._post)
        self.app.route("/balance", methods=["GET"])(self._balance)

    def _post(self, request: Request) -> bytes:
        self.postings.append(read_body(request).decode(errors="replace"))
        return reply_json(request, 201, {"posting": len(self.postings)})

    def _balance(self, request: Request) -> bytes:
        return reply_json(request, 200, {"postings": len(self.postings)})
