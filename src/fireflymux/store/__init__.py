"""The platform's table service, object store and live list, and the configuration in them."""
