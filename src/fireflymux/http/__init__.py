"""HTTP/1.1 on trio's sockets: one server side and one client side for the entry role."""
