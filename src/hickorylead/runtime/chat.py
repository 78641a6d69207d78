"""Chat completions in the format of existing client libraries."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any

import attrs
import orjson
from returns import result

if TYPE_CHECKING:
    from hickorylead.requests import model

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS = 1_000_000
MAX_PREFIXES = 16
# Number of characters at the beginning of a prompt of one message that count as
# its prefix. Such a prompt has no message boundary, but its beginning may still
# be shared with other prompts.
FIRST_PREFIX_CHARACTERS = 256
CHARACTERS_PER_TOKEN = 4
DONE = b"data: [DONE]\n\n"


@attrs.frozen
class ChatRequest:
    """The parts of a chat completion request that the system uses.

    Attributes:
        service: Requested service, from `model`.
        streamed: Whether the response is streamed.
        with_usage: Whether a streamed response ends with the token counts.
        max_tokens: Maximum number of tokens in the response.
        prompt_tokens: Estimated number of tokens in the prompt.
        prefixes: Hashes of growing prefixes of the prompt.
    """

    service: str
    streamed: bool
    with_usage: bool
    max_tokens: int
    prompt_tokens: int
    prefixes: tuple[str, ...]


def decode_chat_request(body: bytes) -> result.Result[ChatRequest, str]:
    """Returns a chat completion request, or what is wrong with it."""
    try:
        fields = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return result.Failure(f"the body is not JSON: {error}")
    if not isinstance(fields, dict):
        return result.Failure("the body is not a JSON object")
    service, messages = fields.get("model"), fields.get("messages")
    if not isinstance(service, str) or not service:
        return result.Failure("model is missing")
    if not isinstance(messages, list) or not messages:
        return result.Failure("messages is missing or empty")
    if not all(isinstance(message, dict) for message in messages):
        return result.Failure("a message is not a JSON object")
    max_tokens = fields.get(
        "max_completion_tokens", fields.get("max_tokens", DEFAULT_MAX_TOKENS)
    )
    if type(max_tokens) is not int or not 1 <= max_tokens <= MAX_TOKENS:
        return result.Failure(f"max_tokens is not within 1..{MAX_TOKENS}")
    options = fields.get("stream_options")
    with_usage = isinstance(options, dict) and bool(
        options.get("include_usage")
    )
    texts = [orjson.dumps(message) for message in messages]
    return result.Success(
        ChatRequest(
            service=service,
            streamed=bool(fields.get("stream")),
            with_usage=with_usage,
            max_tokens=max_tokens,
            prompt_tokens=sum(map(len, texts)) // CHARACTERS_PER_TOKEN,
            prefixes=_hash_prefixes(texts),
        )
    )


def _hash_prefixes(texts: list[bytes]) -> tuple[str, ...]:
    if len(texts) == 1:
        texts = [texts[0][:FIRST_PREFIX_CHARACTERS], b""]
    hashed = hashlib.blake2b(digest_size=8)
    prefixes = []
    for text in texts[:-1][:MAX_PREFIXES]:
        hashed.update(text)
        prefixes.append(hashed.hexdigest())
    return tuple(prefixes)


def render_completion(
    request_id: str,
    service: str,
    created: int,
    text: str,
    finish_reason: str,
    usage: model.Usage,
) -> bytes:
    """Returns the body of a complete response."""
    return orjson.dumps(
        {
            "id": request_id,
            "object": "chat.completion",
            "created": created,
            "model": service,
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": finish_reason,
                }
            ],
            "usage": _render_usage(usage),
        }
    )


class ChunkRenderer:
    """Renders the chunks of one streamed response."""

    def __init__(self, request_id: str, service: str, created: int) -> None:
        """Makes a renderer.

        Args:
            request_id: Id of the request.
            service: Requested service.
            created: Start of the response, in Unix seconds.
        """
        self._base: dict[str, Any] = {
            "id": request_id,
            "object": "chat.completion.chunk",
            "created": created,
            "model": service,
        }
        # Everything in a chunk except its text is the same for each token.
        head = orjson.dumps(self._base)[:-1]
        self._head = (
            b"data: " + head + b',"choices":[{"index":0,"delta":{"content":'
        )

    def render_text(self, text: str) -> bytes:
        """Returns the chunk for a part of the text."""
        tail = b'},"finish_reason":null}]}\n\n'
        return self._head + orjson.dumps(text) + tail

    def render_finish(
        self, finish_reason: str, usage: model.Usage, with_usage: bool
    ) -> bytes:
        """Returns the last chunks."""
        choice = {"index": 0, "delta": {}, "finish_reason": finish_reason}
        chunks = [{**self._base, "choices": [choice]}]
        if with_usage:
            chunks.append(
                {**self._base, "choices": [], "usage": _render_usage(usage)}
            )
        return b"".join(map(_render_event, chunks)) + DONE

    def render_problem(self, problem: dict[str, Any]) -> bytes:
        """Returns the last chunk of a response that is aborted.

        The usual end marker does not follow, so that no client treats the
        chunks as a complete response.
        """
        return _render_event({"error": problem})


def _render_event(chunk: dict[str, Any]) -> bytes:
    return b"data: " + orjson.dumps(chunk) + b"\n\n"


def _render_usage(usage: model.Usage) -> dict[str, Any]:
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
    }
