"""The entry role: sends callers' requests to endpoints directly, without sidecars.

`instance` builds and runs an entry instance. A request passes through `listeners`, `exchange`,
`calls`, `service_queue` and `attempt`, the events of its response through `event_relay`. What the
instance knows is in `state`: `store_follower` and `peer_snapshot` keep the configuration and the
endpoints up to date, `peer_link` exchanges reports of load and usage with the other instances.
"""
