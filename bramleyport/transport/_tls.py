"""Mutual TLS between processes."""

import ssl
from dataclasses import dataclass
from ipaddress import ip_address


@dataclass(frozen=True, slots=True, kw_only=True)
class TlsContexts:
    """Describe the TLS contexts of accepted and opened connections."""

    server: ssl.SSLContext
    client: ssl.SSLContext


def build_tls(certificate_file: str, key_file: str, ca_file: str) -> TlsContexts:
    """Load a certificate, its key and the CA that signs the certificates of peers."""
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    # Processes are authenticated by the private CA, not by name: hosts are addressed by
    # IP address and can be replaced at any time.
    client.check_hostname = False
    for context in (server, client):
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_verify_locations(ca_file)
        context.load_cert_chain(certificate_file, key_file)
    return TlsContexts(server=server, client=client)


def is_loopback(address: str) -> bool:
    """Return whether an address is reachable only from this host."""
    try:
        return ip_address(address).is_loopback
    except ValueError:
        return address == "localhost"
