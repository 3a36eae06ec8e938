package secure

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

// handshakeTimeout bounds the handshakes of outgoing connections.
const handshakeTimeout = 2 * time.Second

// ALPN protocol ids.
const (
	protocolHTTP1 = "http/1.1"
	protocolHTTP2 = "h2"
)

// ServerConfig returns the TLS configuration of a listener, for http.Server.ServeTLS.
// Each connection uses the certificates that are current at its handshake. If there
// is a certificate authority, clients need a certificate that it signed. Callers may
// use HTTP/2, rockwind's own processes use HTTP/1.1 only.
func (s *CertificateSource) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.serverConfig(), nil
		},
	}
}

func (s *CertificateSource) serverConfig() *tls.Config {
	parsed := s.current.Load()
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{parsed.certificate},
		NextProtos:   []string{protocolHTTP2, protocolHTTP1},
		// A resumed session would not be verified against reloaded authorities.
		SessionTicketsDisabled: true,
	}
	if s.use == Internal {
		config.MinVersion = tls.VersionTLS13
		config.NextProtos = []string{protocolHTTP1}
	}
	if parsed.authorities != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = parsed.authorities
	}
	return config
}

// clientConfig returns the TLS configuration of one connection to a host.
func (s *CertificateSource) clientConfig(host string) *tls.Config {
	parsed := s.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ServerName:   host,
		Certificates: []tls.Certificate{parsed.certificate},
		RootCAs:      parsed.authorities,
		NextProtos:   []string{protocolHTTP1},
	}
}

// Transport configures a transport to open TLS connections with the current
// certificates, and returns it. A failed handshake is reported as a dial error,
// since no byte of the request was sent.
func (s *CertificateSource) Transport(transport *http.Transport) *http.Transport {
	transport.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		plain, err := transport.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		secured, err := s.handshake(ctx, plain, address)
		if err != nil {
			plain.Close()
			return nil, &net.OpError{Op: "dial", Net: network, Addr: plain.RemoteAddr(), Err: err}
		}
		return secured, nil
	}
	s.closeIdleOnReload(transport)
	return transport
}

func (s *CertificateSource) handshake(ctx context.Context, plain net.Conn, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	secured := tls.Client(plain, s.clientConfig(host))
	return secured, secured.HandshakeContext(ctx)
}
