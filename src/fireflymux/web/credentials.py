"""Checks credentials in constant time."""

import hashlib
import hmac

BEARER_PREFIX = 'Bearer '


def digest_key(secret: str) -> str:
    """Computes the digest of a secret that a contract stores.

    Args:
        secret: The secret part of a caller's key.

    Returns:
        SHA-256 in hexadecimal.
    """
    return hashlib.sha256(secret.encode()).hexdigest()


def matches_digest(secret: str, digest: str) -> bool:
    """Compares a secret with a stored digest in constant time.

    Args:
        secret: What the caller sent.
        digest: Digest stored in the contract.

    Returns:
        Whether they belong together.
    """
    return hmac.compare_digest(digest_key(secret), digest)


def parse_caller_key(authorization: str) -> tuple[str, str]:
    """Splits the Authorization header of a caller into account and secret.

    Args:
        authorization: Header value, `Bearer ACCOUNT.SECRET`.

    Returns:
        Account and secret; both are empty if the header has another form.
    """
    if not authorization.startswith(BEARER_PREFIX):
        return '', ''
    account, _, secret = authorization[len(BEARER_PREFIX) :].partition('.')
    return account, secret


def is_fleet_key(authorization: str, key: str) -> bool:
    """Checks the credential on a link between two processes.

    Args:
        authorization: Header value, `Bearer KEY`.
        key: The key from the settings.

    Returns:
        Whether the header carries the key.
    """
    return hmac.compare_digest(authorization.encode(), (BEARER_PREFIX + key).encode())
