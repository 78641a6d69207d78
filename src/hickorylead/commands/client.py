"""The operators' client: speaks to any entry over HTTP."""

from __future__ import annotations

import asyncio
import os
from typing import Any
import uuid

import attrs
import orjson

from hickorylead import errors
from hickorylead.configuration import changes, model

ENTRY_VARIABLE = "HICKORYLEAD_ENTRY"
TOKEN_VARIABLE = "HICKORYLEAD_OPERATOR_TOKEN"  # noqa: S105 - a name
TIMEOUT_S = 10.0
ATTEMPTS = 4
PAUSE_S = 1.0


@attrs.frozen
class Response:
    """An entry's answer."""

    status: int
    body: dict[str, Any]


class Client:
    """Speaks to one entry."""

    def __init__(self, *, entry: str | None, token: str | None) -> None:
        """Makes a client.

        Args:
            entry: URL of an entry; by default from the environment.
            token: Operators' bearer token; by default from the environment.

        Raises:
            errors.SettingsError: One of them is not given at all.
        """
        self._entry = (entry or os.environ.get(ENTRY_VARIABLE, "")).rstrip("/")
        self._token = token or os.environ.get(TOKEN_VARIABLE, "")
        problems = []
        if not self._entry.startswith(("http://", "https://")):
            problems.append(f"--entry ({ENTRY_VARIABLE}) is no URL of an entry")
        if not self._token:
            problems.append(f"--token ({TOKEN_VARIABLE}) is required")
        if problems:
            raise errors.SettingsError("\n".join(problems))

    def get(self, path: str) -> dict[str, Any]:
        """Returns the answer to a question.

        Raises:
            errors.RefusedError: The entry refused it.
            errors.UnreachableError: No answer came.
        """
        answer = asyncio.run(self._call("GET", path, b""))
        if answer.status != 200:
            raise errors.RefusedError(_describe(answer))
        return answer.body

    def post(self, path: str) -> Response:
        """Returns the answer to a request without a body."""
        return asyncio.run(self._call("POST", path, b""))

    def get_configuration(self) -> model.Configuration:
        """Returns the configuration in force."""
        from hickorylead.runtime import json_codec

        found = self.get("/admin/configuration")
        return json_codec.read_configuration(found).unwrap()

    def submit(
        self, operation: changes.Operation, expected_version: int | None
    ) -> int:
        """Submits a change, again if the answer is lost; returns the version.

        Args:
            operation: What to change.
            expected_version: Version it is made against; by default the one
                in force now.

        Raises:
            errors.ConflictError: Another change won.
            errors.RefusedError: The change cannot be taken.
            errors.UnreachableError: Whether it took effect is not known.
        """
        from hickorylead.runtime import json_codec

        if expected_version is None:
            expected_version = self.get_configuration().version
        change_id = uuid.uuid4().hex
        body = orjson.dumps(
            {
                "change_id": change_id,
                "expected_version": expected_version,
                "operation": json_codec.dump_operation(operation),
            }
        )
        answer = asyncio.run(self._submit(body, change_id))
        if answer.status == 200:
            return int(answer.body["version"])
        if answer.status == 409:
            raise errors.ConflictError(
                f"version {answer.body.get('version')} won:"
                f" {answer.body.get('detail')}"
            )
        raise errors.RefusedError(_describe(answer))

    async def _submit(self, body: bytes, change_id: str) -> Response:
        problem = ""
        for attempt in range(ATTEMPTS):
            if attempt:
                await asyncio.sleep(PAUSE_S)
            try:
                answer = await self._call("POST", "/admin/changes", body)
            except errors.UnreachableError as error:
                problem = str(error)
                continue
            if answer.status != 504:
                return answer
            problem = _describe(answer)
        raise errors.UnreachableError(
            f"change {change_id} may have taken effect: {problem}"
        )

    async def _call(self, method: str, path: str, body: bytes) -> Response:
        import aiohttp

        headers = {"Authorization": f"Bearer {self._token}"}
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method, self._entry + path, data=body, headers=headers
                ) as response,
            ):
                text = await response.read()
                return Response(response.status, _load(text))
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise errors.UnreachableError(
                f"{self._entry} does not answer:"
                f" {str(error) or type(error).__name__}"
            ) from error


def _load(text: bytes) -> dict[str, Any]:
    try:
        found = orjson.loads(text)
    except orjson.JSONDecodeError:
        return {"detail": text.decode(errors="replace")[:200]}
    return found if isinstance(found, dict) else {"detail": str(found)}


def _describe(answer: Response) -> str:
    code = answer.body.get("code") or answer.body.get("reason")
    detail = answer.body.get("detail", "")
    return f"{code or answer.status}: {detail}"
