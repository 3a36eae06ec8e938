package secure

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

// handshakeTimeout bounds the handshake of a connection that this side opened.
const handshakeTimeout = 2 * time.Second

// Protocols that are agreed on in the handshake.
const (
	protocolHTTP1 = "http/1.1"
	protocolHTTP2 = "h2"
)

// ServerConfig returns the configuration of a listener, for http.Server.ServeTLS.
// Each connection gets the certificates in force when it is made. Where there is
// an authority, clients without a certificate of its are refused. Callers may
// speak HTTP/2; rockwind's own processes do not.
func (s *CertificateSource) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.serverConfig(), nil
		},
	}
}

func (s *CertificateSource) serverConfig() *tls.Config {
	made := s.current.Load()
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{made.certificate},
		NextProtos:   []string{protocolHTTP2, protocolHTTP1},
		// A resumed session would skip the check against newer authorities.
		SessionTicketsDisabled: true,
	}
	if s.use == Internal {
		config.MinVersion = tls.VersionTLS13
		config.NextProtos = []string{protocolHTTP1}
	}
	if made.authorities != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = made.authorities
	}
	return config
}

// clientConfig is the configuration of one connection to a host.
func (s *CertificateSource) clientConfig(host string) *tls.Config {
	made := s.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ServerName:   host,
		Certificates: []tls.Certificate{made.certificate},
		RootCAs:      made.authorities,
		NextProtos:   []string{protocolHTTP1},
	}
}

// Transport makes a transport open its TLS connections with the certificates in
// force at the time, and returns it. A failed handshake is reported as a failed
// dial: no byte of the call was sent.
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
	s.keep(transport)
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
