"""What travels between routers and sidecars, and how it is encoded."""
