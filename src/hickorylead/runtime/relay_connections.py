"""Frames on the connections between a gateway and its relays."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from returns import result

from hickorylead.relaying import messages
from hickorylead.runtime import shared_buffer
from hickorylead.wire import codec, frame

if TYPE_CHECKING:
    from collections.abc import Callable

# Maximum size of the data in one frame, in bytes.
MAX_DATA_BYTES = 256 * 1024


class RelayProtocol(shared_buffer.SharedBufferProtocol):
    """One end of a connection between a gateway and a relay."""

    def __init__(self, warn: Callable[..., None]) -> None:
        """Makes an end that is not connected yet.

        Args:
            warn: Called with a description of malformed input.
        """
        self._warn = warn
        self._frames = frame.FrameReader()
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        """Records the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Handles bytes from the other end."""
        try:
            payloads = self._frames.feed(data)
        except frame.FrameError as error:
            self._reject(str(error))
            return
        for payload in payloads:
            match codec.decode_envelope(payload):
                case result.Success(envelope):
                    self.handle_message(envelope.message)
                case result.Failure(problem):
                    self._reject(problem)
                    return

    def handle_message(self, message: messages.ConnectionMessage) -> None:
        """Handles a message from the other end."""
        raise NotImplementedError

    def send(self, message: messages.ConnectionMessage) -> None:
        """Sends a message to the other end."""
        if self.transport is None or self.transport.is_closing():
            return
        envelope = codec.Envelope("", "", message)
        self.transport.write(frame.pack_frame(codec.encode_envelope(envelope)))

    def send_data(self, data: bytes) -> None:
        """Sends bytes of a request or response to the other end."""
        for start in range(0, len(data), MAX_DATA_BYTES):
            part = data[start : start + MAX_DATA_BYTES]
            self.send(messages.RelayData(part))

    def abort(self) -> None:
        """Closes the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def _reject(self, problem: str) -> None:
        self._warn("bad frame of a relay connection", detail=problem)
        self.abort()
