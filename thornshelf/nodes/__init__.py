"""Node ports: one for the platform's binary messages, one for gRPC."""
