"""Path at which the platform probes whether an entry instance takes new connections."""

#: Path of the probe; two responses in a row with a status other than 200 take the instance out.
READINESS_PATH = b'/api/readyz'
