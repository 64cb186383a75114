"""Parses and checks credentials; all comparisons take constant time."""

import hashlib
import hmac

BEARER_PREFIX = 'Bearer '


def compute_key_digest(secret: str) -> str:
    """Computes the digest that a contract stores instead of the secret.

    Args:
        secret: Secret part of a caller's key.

    Returns:
        The SHA-256 digest in hexadecimal.
    """
    return hashlib.sha256(secret.encode()).hexdigest()


def matches_digest(secret: str, digest: str) -> bool:
    """Tells whether a secret has the digest that the contract stores.

    Args:
        secret: Secret that the caller sent.
        digest: Digest from the contract.

    Returns:
        Whether the digests are equal.
    """
    return hmac.compare_digest(compute_key_digest(secret), digest)


def parse_caller_key(authorization: str) -> tuple[str, str]:
    """Parses the Authorization header of a caller.

    Args:
        authorization: Value of the header, `Bearer ACCOUNT.SECRET`.

    Returns:
        Account and secret; both are empty if the header uses another scheme.
    """
    if not authorization.startswith(BEARER_PREFIX):
        return '', ''
    account, _, secret = authorization[len(BEARER_PREFIX) :].partition('.')
    return account, secret


def has_fleet_key(authorization: str, key: str) -> bool:
    """Tells whether a request was sent by another process of the fleet.

    Args:
        authorization: Value of the Authorization header, `Bearer KEY`.
        key: Fleet key from the settings.

    Returns:
        Whether the header holds the fleet key.
    """
    return hmac.compare_digest(authorization.encode(), (BEARER_PREFIX + key).encode())
