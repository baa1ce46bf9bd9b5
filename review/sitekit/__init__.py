"""Stand-ins of the review: store, backend servers, clients and a small deployment."""
