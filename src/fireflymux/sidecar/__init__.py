"""The sidecar role: the slots of one endpoint, its runs, claims and orders."""
