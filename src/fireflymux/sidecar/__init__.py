"""The sidecar role: admits, runs and records the calls to one endpoint."""
