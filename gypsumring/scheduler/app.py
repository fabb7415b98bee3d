"""HTTP view of a scheduler: health, metrics and status."""

from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from gypsumring.scheduler.node import SchedulerNode

__all__ = ["SchedulerApp"]


class SchedulerApp:
    """Answer GET requests about one scheduler node."""

    def __init__(self, node: "SchedulerNode"):
        self.node = node

    async def __call__(self, scope: dict[str, Any], receive, send) -> None:
        """Handle one ASGI connection."""
        if scope["type"] == "lifespan":
            await self.answer_lifespan(receive, send)
        elif scope["type"] == "http":
            status, value = self.answer(scope["method"], scope["path"])
            body = msgspec.json.encode(value) + b"\n"
            headers = [
                (b"content-type", b"application/json"),
                (b"content-length", str(len(body)).encode()),
            ]
            await send(
                {"type": "http.response.start", "status": status, "headers": headers}
            )
            is_head = scope["method"] == "HEAD"
            await send({"type": "http.response.body", "body": b"" if is_head else body})

    async def answer_lifespan(self, receive, send) -> None:
        """Follow the start and the end of the server."""
        while True:
            event = await receive()
            await send({"type": f"{event['type']}.complete"})
            if event["type"] == "lifespan.shutdown":
                return

    def answer(self, method: str, path: str) -> tuple[int, object]:
        """Return the status and the value to encode for a request."""
        if method not in ("GET", "HEAD"):
            return 405, {"error": "method not allowed"}
        match path:
            case "/health":
                reason = self.node.unready_reason()
                if reason is None:
                    return 200, {"health": "ready"}
                return 503, {"health": "unready", "reason": reason}
            case "/metrics":
                self.node.metrics.set_gauge("scheduler.shards", len(self.node.shards))
                return 200, self.node.metrics.snapshot()
            case "/status":
                return 200, self.node.describe()
        return 404, {"error": "not found"}
