"""Mutual TLS between the system's processes."""

import ssl
from dataclasses import dataclass
from ipaddress import ip_address


@dataclass(frozen=True, slots=True, kw_only=True)
class TlsContexts:
    """Hold the contexts for accepted and opened connections."""

    server: ssl.SSLContext
    client: ssl.SSLContext


def build_tls(certificate_file: str, key_file: str, ca_file: str) -> TlsContexts:
    """Load the certificate, its key and the CA that signs all processes."""
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    # Hosts are replaced at any time and addressed by IP, so membership of the private
    # CA is what authenticates a process, not a name.
    client.check_hostname = False
    for context in (server, client):
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_verify_locations(ca_file)
        context.load_cert_chain(certificate_file, key_file)
    return TlsContexts(server=server, client=client)


def is_loopback(address: str) -> bool:
    """Return whether an address is reachable from this host alone."""
    try:
        return ip_address(address).is_loopback
    except ValueError:
        return address == "localhost"
