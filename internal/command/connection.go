package command

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"rockwind.example/rockwind/internal/controlclient"
	"rockwind.example/rockwind/internal/fault"
	"rockwind.example/rockwind/internal/rockwindpb"
)

// Connection holds the flags for connecting to the control machines.
type Connection struct {
	ControlAddresses []string      `name:"control" env:"ROCKWIND_CONTROL" placeholder:"IP:PORT" help:"Internal addresses of the control machines; repeat the flag or use commas."`
	Timeout          time.Duration `default:"30s" help:"Time after which a call is given up."`
	Certificate      string        `name:"tls-certificate" env:"ROCKWIND_TLS_CERTIFICATE" placeholder:"FILE" help:"Certificate shown to the daemons; turns on TLS."`
	Key              string        `name:"tls-key" env:"ROCKWIND_TLS_KEY" placeholder:"FILE" help:"Key of the certificate."`
	Authority        string        `name:"tls-ca" env:"ROCKWIND_TLS_CA" placeholder:"FILE" help:"Certificate of the authority that signed those of the daemons; turns on TLS."`
}

// Validate is called by kong after parsing.
func (c *Connection) Validate() error {
	if c.Timeout <= 0 {
		return fmt.Errorf("--timeout is %v; write a time above zero, for example 30s", c.Timeout)
	}
	return nil
}

func (c *Connection) secure() bool {
	return c.Certificate != "" || c.Key != "" || c.Authority != ""
}

// machines parses the addresses. It also accepts the format of the settings,
// "machine=ip:port@zone", because both use the same environment variable.
func (c *Connection) machines() ([]*rockwindpb.ControlMachine, error) {
	if len(c.ControlAddresses) == 0 {
		return nil, fault.New(fault.InvalidArgument, "no control machine is given", "use --control IP:PORT or set ROCKWIND_CONTROL")
	}
	var machines []*rockwindpb.ControlMachine
	for _, text := range c.ControlAddresses {
		machine, err := parseMachine(strings.TrimSpace(text))
		if err != nil {
			return nil, err
		}
		machines = append(machines, machine)
	}
	return machines, nil
}

func parseMachine(text string) (*rockwindpb.ControlMachine, error) {
	name, rest, named := strings.Cut(text, "=")
	if !named {
		rest = text
	}
	address, zone, _ := strings.Cut(rest, "@")
	if err := checkAddress(address); err != nil {
		return nil, err
	}
	if !named {
		name = address
	}
	return &rockwindpb.ControlMachine{Machine: name, Address: address, Zone: zone}, nil
}

func checkAddress(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		return fault.Newf(fault.InvalidArgument, "write an IP number and a port, for example 10.0.0.1:7000", "%q is not an address", address)
	}
	return nil
}

// httpClient returns the HTTP client for all calls of a command.
func (c *Connection) httpClient() (*http.Client, error) {
	transport := controlclient.NewTransport()
	if c.secure() {
		settings, err := c.tlsSettings()
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = settings
	}
	return &http.Client{Transport: transport}, nil
}

func (c *Connection) tlsSettings() (*tls.Config, error) {
	settings := &tls.Config{MinVersion: tls.VersionTLS13}
	if (c.Certificate == "") != (c.Key == "") {
		return nil, fault.New(fault.InvalidArgument, "only one of --tls-certificate and --tls-key is given", "give both or none")
	}
	if c.Certificate != "" {
		pair, err := tls.LoadX509KeyPair(c.Certificate, c.Key)
		if err != nil {
			return nil, fault.Newf(fault.InvalidArgument, "check --tls-certificate and --tls-key", "the certificate cannot be used: %v", err)
		}
		settings.Certificates = []tls.Certificate{pair}
	}
	if c.Authority == "" {
		return settings, nil
	}
	encoded, err := os.ReadFile(c.Authority)
	if err != nil {
		return nil, fault.Newf(fault.InvalidArgument, "check --tls-ca", "the authority's certificate cannot be read: %v", err)
	}
	settings.RootCAs = x509.NewCertPool()
	if !settings.RootCAs.AppendCertsFromPEM(encoded) {
		return nil, fault.New(fault.InvalidArgument, "the file of --tls-ca holds no certificate", "give a file in PEM form")
	}
	return settings, nil
}

func (c *Connection) baseURL(address string) string {
	if c.secure() {
		return "https://" + address
	}
	return "http://" + address
}

// client returns a client that uses all control machines.
func (s *session) client() (*controlclient.Client, error) {
	machines, err := s.connection.machines()
	if err != nil {
		return nil, err
	}
	httpClient, err := s.connection.httpClient()
	if err != nil {
		return nil, err
	}
	return controlclient.New(controlclient.Options{
		Machines:    machines,
		HTTPClient:  httpClient,
		Secure:      s.connection.secure(),
		CallTimeout: s.connection.Timeout,
	}), nil
}

// peer holds the services of one control machine, without retries.
type peer struct {
	address string
	replica rockwindpb.ReplicaService
	fleet   rockwindpb.FleetService
	// segments is the service for stored bodies.
	segments rockwindpb.SegmentService
}

// peers returns the services of each control machine separately.
func (s *session) peers() ([]peer, error) {
	machines, err := s.connection.machines()
	if err != nil {
		return nil, err
	}
	httpClient, err := s.connection.httpClient()
	if err != nil {
		return nil, err
	}
	var peers []peer
	for _, machine := range machines {
		base := s.connection.baseURL(machine.GetAddress())
		peers = append(peers, peer{
			address: machine.GetAddress(),
			replica: rockwindpb.NewReplicaServiceProtobufClient(base, httpClient),
			fleet:   rockwindpb.NewFleetServiceProtobufClient(base, httpClient),

			segments: rockwindpb.NewSegmentServiceProtobufClient(base, httpClient),
		})
	}
	return peers, nil
}

// admin returns the administration service of a daemon.
func (s *session) admin(address string) (rockwindpb.AdminService, error) {
	if err := checkAddress(address); err != nil {
		return nil, err
	}
	httpClient, err := s.connection.httpClient()
	if err != nil {
		return nil, err
	}
	return rockwindpb.NewAdminServiceProtobufClient(s.connection.baseURL(address), httpClient), nil
}
