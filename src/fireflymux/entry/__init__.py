"""The entry role: takes callers' requests and sends them to endpoints, with no sidecar."""
