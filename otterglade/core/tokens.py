"""Signed session tokens, by which a gateway can trust what a viewer presents about an unknown session.

A token names viewer, title, host, set-up key and expiry of a session. It is authenticated but not encrypted:
a viewer can read it but not change it. Format: KEY-ID.PAYLOAD.MAC in base64url; the MAC is keyed BLAKE2b
(RFC 7693) and compared in constant time.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
from collections.abc import Mapping

import msgspec

MAC_BYTES = 16
MAX_TOKEN_CHARACTERS = 1024
"""Longer tokens are rejected unread."""
MIN_KEY_BYTES = 16
"""Length of the shortest key allowed."""


class TokenError(ValueError):
    """A malformed, forged, foreign or expired token; the cause goes to the log, not to the viewer."""


class TokenClaims(msgspec.Struct, frozen=True, array_like=True):
    """Content of a token."""

    viewer: str
    session_class: str
    title: str
    top: int
    rung: int
    server: int
    setup: str
    expires_at: int
    """Unix seconds."""


class TokenSigner:
    """Signs with one key and accepts several.

    For a key rotation, all gateways accept the new key before any signs with it.
    """

    def __init__(self, keys: Mapping[str, bytes], sign_with: str) -> None:
        """`keys` by key id. Raises ValueError for invalid ids, key lengths or an unknown `sign_with`."""
        for name, key in keys.items():
            if not name.isalnum() or not name.isascii() or len(name) > 16:
                raise ValueError(f"tokens.keys: found the name {name!r}; allowed: 1 to 16 letters and digits")
            if not MIN_KEY_BYTES <= len(key) <= 64:
                raise ValueError(
                    f"tokens.keys.{name}: found {len(key)} bytes; allowed: {MIN_KEY_BYTES} to 64"
                )
        if sign_with not in keys:
            raise ValueError(f"tokens.sign_with: found {sign_with!r}; allowed: one of {', '.join(keys)}")
        self._keys, self._sign_with = dict(keys), sign_with

    def _mac(self, name: str, payload: str) -> str:
        text = f"{name}.{payload}".encode()
        mac = hashlib.blake2b(text, key=self._keys[name], digest_size=MAC_BYTES, person=b"otterglade-v1")
        return base64.urlsafe_b64encode(mac.digest()).rstrip(b"=").decode()

    def sign(self, claim: TokenClaims) -> str:
        """Encode and sign a token's content."""
        payload = base64.urlsafe_b64encode(msgspec.msgpack.encode(claim)).rstrip(b"=").decode()
        return f"{self._sign_with}.{payload}.{self._mac(self._sign_with, payload)}"

    def verify(self, token: str, now: float) -> TokenClaims:
        """Return the content of an authentic token that is valid at Unix time `now`. Raises TokenError."""
        parts = token.split(".") if len(token) <= MAX_TOKEN_CHARACTERS and token.isascii() else []
        if len(parts) != 3:
            raise TokenError("malformed token")
        name, payload, mac = parts
        if name not in self._keys:
            raise TokenError("signed with a key that is not known here")
        if not hmac.compare_digest(mac.encode(), self._mac(name, payload).encode()):
            raise TokenError("forged or damaged")
        try:
            data = base64.urlsafe_b64decode(payload + "=" * (-len(payload) % 4))
            claim = msgspec.msgpack.decode(data, type=TokenClaims)
        except (binascii.Error, msgspec.MsgspecError) as error:
            raise TokenError(f"payload cannot be decoded, possibly from another version: {error}") from error
        if now > claim.expires_at:
            raise TokenError("expired")
        return claim
