"""HTTP/1.1 server and client on trio sockets, used by the entry role."""
