"""The platform's question whether an entry instance takes new connections."""

#: Path of the question; any answer but 200 takes the instance out after two in a row.
READINESS_PATH = b'/api/readyz'
